"""Tests of the division of a plan, with claims, allocators and held shares together."""

import unittest
from dataclasses import dataclass, field

from hypothesis import example, given, settings, strategies as st

from lavendertide.ids import (
    DaemonId,
    ExchangeId,
    Incarnation,
)
from lavendertide.messages import PlanClaims
from lavendertide.plans.allocation import NEW_HOLDERS_SHARE, Presence
from lavendertide.plans.allocator import PlanAllocator
from lavendertide.plans.allocators import Allocators
from lavendertide.plans.shares import FLOOR_SHARES_SUM, HeldShares
from tests.plans.members import PLAN, record

NAMES = tuple(DaemonId(f"{region}-{n}") for region in ("east", "west") for n in "abc")
NO_SPLIT_BOUND = 1.0 + NEW_HOLDERS_SHARE + FLOOR_SHARES_SUM
SPLIT_BOUND = NO_SPLIT_BOUND + NEW_HOLDERS_SHARE


@dataclass
class FakeDaemon:
    """Objects of one daemon that take part in the division of the plan."""

    allocators: Allocators
    allocator: PlanAllocator
    held: HeldShares = field(default_factory=HeldShares)


class FakeFleet:
    """Daemons that exchange claims by calls, with network splits and crashes."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.is_split = False
        self.alive = set(NAMES)
        self.listed = set(NAMES)
        self.incarnations = dict.fromkeys(NAMES, 1)
        self.daemons = {name: self._make_daemon(name) for name in NAMES}

    def _make_daemon(self, name: DaemonId) -> FakeDaemon:
        allocators = Allocators()
        allocator = PlanAllocator(
            lambda _: PLAN.rate_per_s,
            lambda other: self._presence(name, other),
            self.now_s,
        )
        return FakeDaemon(allocators, allocator)

    def _presence(self, viewer: DaemonId, other: DaemonId) -> Presence:
        if other not in self.listed:
            return Presence.GONE
        return Presence.PRESENT if self.reaches(viewer, other) else Presence.SILENT

    def restart(self, name: DaemonId) -> None:
        """Restarts a killed daemon with a new incarnation and empty state."""
        if name not in self.alive:
            self.incarnations[name] += 1
            self.daemons[name] = self._make_daemon(name)
            self.alive.add(name)
            self.listed.add(name)

    def reaches(self, one: DaemonId, other: DaemonId) -> bool:
        """Returns whether two daemons can exchange messages."""
        is_cut = self.is_split and one.split("-")[0] != other.split("-")[0]
        return not is_cut and {one, other} <= self.alive

    def run_round(self, arrivals: dict[DaemonId, int]) -> None:
        """Simulates one second: queries arrive, then all daemons claim."""
        self.now_s += 1.0
        members = [record(name) for name in NAMES if name in self.listed]
        for name in NAMES:
            daemon = self.daemons[name]
            if name not in self.alive:
                continue
            for _ in range(arrivals.get(name, 0)):
                daemon.held.count_arrival(PLAN, self.now_s)
            daemon.held.update_demand(self.now_s)
            daemon.held.remove_idle(self.now_s)
            daemon.allocator.remove_absent(self.now_s)
            if daemon.allocators.update_members(members):
                daemon.allocator.record_members_changed(self.now_s)
                daemon.held.mark_all_due()
            daemon.allocator.record_silent_members(self.listed, self.now_s)
            self._claim(name, daemon)

    def _claim(self, name: DaemonId, daemon: FakeDaemon) -> None:
        claims = tuple(daemon.held.due_claims(daemon.allocators.reach_of, self.now_s))
        if not claims:
            return
        incarnation = Incarnation(self.incarnations[name])
        message = PlanClaims(ExchangeId("1"), name, incarnation, claims)
        for member in daemon.allocators.allocators_of(PLAN.plan):
            if not self.reaches(name, member.daemon):
                daemon.allocators.record_silence(member.daemon)
                daemon.held.mark_due(claims)
                continue
            grants = self.daemons[member.daemon].allocator.handle(message, self.now_s)
            for grant in grants.grants:
                if grant.is_settled:
                    daemon.held.record_reply(claims[0], member.daemon)
                if daemon.allocators.record_grant(
                    member.daemon, grant.plan, grant.is_settled
                ):
                    daemon.held.apply_grant(grant.plan, grant.share)

    def granted(self) -> float:
        """Returns the sum of the shares that all live daemons use."""
        return sum(
            daemon.held.share_of(PLAN.plan, len(self.listed))
            for name, daemon in self.daemons.items()
            if name in self.alive
        )


Event = tuple[str, DaemonId, int]


def events_of(*described: str) -> list[Event]:
    """Parses events written as `kind daemon` or `kind daemon count`."""
    events: list[Event] = []
    for event in described:
        kind, name, *count = event.split()
        events.append((kind, DaemonId(name), int(count[0]) if count else 1))
    return events


START_IN_A_SPLIT = events_of(
    "arrive east-a",
    "kill east-b",
    "kill west-b",
    "drop east-a",
    "split east-a",
    "arrive west-a",
    "start west-b",
    *3 * ["arrive east-a"],
)
FIRST_CLAIMS_AT_A_SPLIT = events_of(
    *2 * ["arrive east-a"],
    "arrive east-b",
    "arrive west-a 188",
    "split east-a",
    *3 * ["arrive east-a"],
)
EVENTS = st.lists(
    st.tuples(
        st.sampled_from([*3 * ["arrive"], "split", "heal", "kill", "drop", "start"]),
        st.sampled_from(NAMES),
        st.integers(1, 300),
    ),
    max_size=40,
)


class DivisionTest(unittest.TestCase):
    """Guards against shares that add up to more than the stated bounds.

    Splits, crashes, restarts and removals leave daemons with different views of who
    holds a share, so that both sides of a split may raise their shares.
    """

    def apply(self, fleet: FakeFleet, event: Event) -> dict[DaemonId, int]:
        """Applies one event; returns the arrivals of its round."""
        match event:
            case "arrive", name, count:
                return {name: count}
            case "split", _, _:
                fleet.is_split = True
            case "heal", _, _:
                fleet.is_split = False
            case "kill", name, _:
                fleet.alive.discard(name)
            case "start", name, _:
                fleet.restart(name)
            case "drop", _, _:
                if not fleet.is_split:
                    fleet.listed &= fleet.alive
        return {}

    @settings(max_examples=500)
    @given(EVENTS)
    @example(START_IN_A_SPLIT)
    @example(FIRST_CLAIMS_AT_A_SPLIT)
    def test_a_fleet_under_faults_keeps_the_split_bound(
        self, events: list[Event]
    ) -> None:
        fleet = FakeFleet()
        for event in events:
            fleet.run_round(self.apply(fleet, event))
            self.assertLessEqual(fleet.granted(), SPLIT_BOUND + 1e-9, events)

    @given(st.lists(st.dictionaries(st.sampled_from(NAMES), st.integers(1, 300))))
    def test_a_fleet_without_faults_keeps_the_no_split_bound(
        self, rounds: list[dict[DaemonId, int]]
    ) -> None:
        fleet = FakeFleet()
        for arrivals in rounds:
            fleet.run_round(arrivals)
            self.assertLessEqual(fleet.granted(), NO_SPLIT_BOUND + 1e-9)

    def test_steady_use_receives_the_full_plan(self) -> None:
        fleet = FakeFleet()
        for _ in range(12):
            fleet.run_round({NAMES[0]: 80, NAMES[4]: 80})
        for name in (NAMES[0], NAMES[4]):
            share = fleet.daemons[name].held.share_of(PLAN.plan, len(NAMES))
            self.assertAlmostEqual(share, 0.5, places=2)

    def test_both_sides_of_a_split_keep_their_shares(self) -> None:
        fleet = FakeFleet()
        for _ in range(12):
            fleet.run_round({NAMES[0]: 80, NAMES[4]: 80})
        fleet.is_split = True
        for _ in range(60):
            fleet.run_round({NAMES[0]: 80, NAMES[4]: 80})
        for name in (NAMES[0], NAMES[4]):
            share = fleet.daemons[name].held.share_of(PLAN.plan, len(NAMES))
            self.assertGreaterEqual(share, 0.49)
        self.assertLessEqual(fleet.granted(), SPLIT_BOUND)

    def test_a_split_side_that_never_used_the_plan_is_still_served(self) -> None:
        fleet = FakeFleet()
        for _ in range(12):
            fleet.run_round({NAMES[0]: 200})
        fleet.is_split = True
        for _ in range(10):
            fleet.run_round({NAMES[0]: 200, NAMES[4]: 200})
        share = fleet.daemons[NAMES[4]].held.share_of(PLAN.plan, len(NAMES))
        self.assertGreaterEqual(share, NEW_HOLDERS_SHARE - 1e-9)
