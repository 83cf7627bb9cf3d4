"""Tests of the division of plans between daemons."""

import unittest
from dataclasses import dataclass, field

from hypothesis import example, given, settings
from hypothesis import strategies as st
from returns.result import Success

from lavendertide.configuration.catalog import Plan
from lavendertide.ids import (
    DaemonId,
    ExchangeId,
    Incarnation,
    OwnerId,
    PlanClass,
    PlanId,
)
from lavendertide.messages import PlanClaim, PlanClaims
from lavendertide.plans.admission import WAIT_MAX_S, WAIT_SHARE_MAX, Allowance
from lavendertide.plans.allocation import NEWCOMERS_PART, Presence
from lavendertide.plans.allocator import PlanAllocator
from lavendertide.plans.allocators import Allocators, Reach
from lavendertide.plans.shares import FLOORS_PART, IDLE_S, HeldShares
from tests.plans.members import record

PLAN = Plan(
    PlanId("clerk"), OwnerId("association"), PlanClass("counter"), 100.0, 20, 16
)
NAMES = tuple(DaemonId(f"{region}-{n}") for region in ("east", "west") for n in "abc")
CALM_BOUND = 1.0 + NEWCOMERS_PART + FLOORS_PART
SPLIT_BOUND = CALM_BOUND + NEWCOMERS_PART


@dataclass
class Side:
    """One daemon's part in the division of the plan."""

    allocators: Allocators
    allocator: PlanAllocator
    held: HeldShares = field(default_factory=HeldShares)


class FakeFleet:
    """Daemons that exchange claims by calls; links can be cut and members vanish."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.is_split = False
        self.alive = set(NAMES)
        self.listed = set(NAMES)
        self.incarnations = dict.fromkeys(NAMES, 1)
        self.sides = {name: self._side(name) for name in NAMES}

    def _side(self, name: DaemonId) -> Side:
        allocators = Allocators()
        allocator = PlanAllocator(
            lambda _: PLAN.rate_per_s,
            lambda other: self._presence(name, other),
            self.now_s,
        )
        return Side(allocators, allocator)

    def _presence(self, viewer: DaemonId, other: DaemonId) -> Presence:
        if other not in self.listed:
            return Presence.GONE
        return Presence.PRESENT if self.reaches(viewer, other) else Presence.SILENT

    def start_again(self, name: DaemonId) -> None:
        """Starts a dead daemon as a new run that knows nothing."""
        if name not in self.alive:
            self.incarnations[name] += 1
            self.sides[name] = self._side(name)
            self.alive.add(name)
            self.listed.add(name)

    def reaches(self, one: DaemonId, other: DaemonId) -> bool:
        """Returns whether two daemons can talk."""
        is_cut = self.is_split and one.split("-")[0] != other.split("-")[0]
        return not is_cut and {one, other} <= self.alive

    def round(self, arrivals: dict[DaemonId, int]) -> None:
        """Lets a second pass: queries arrive, then all daemons claim."""
        self.now_s += 1.0
        members = [record(name) for name in NAMES if name in self.listed]
        for name in NAMES:
            side = self.sides[name]
            if name not in self.alive:
                continue
            for _ in range(arrivals.get(name, 0)):
                side.held.arrive(PLAN, self.now_s)
            side.held.count_demand(self.now_s)
            side.held.forget_idle(self.now_s)
            side.allocator.forget_absent(self.now_s)
            if side.allocators.follow(members):
                side.allocator.note_members_changed(self.now_s)
                side.held.claim_all_again()
            side.allocator.note_silence(self.listed, self.now_s)
            self._claim(name, side)

    def _claim(self, name: DaemonId, side: Side) -> None:
        claims = tuple(side.held.claims(side.allocators.reach_of, self.now_s))
        if not claims:
            return
        incarnation = Incarnation(self.incarnations[name])
        message = PlanClaims(ExchangeId("1"), name, incarnation, claims)
        for member in side.allocators.of(PLAN.plan):
            if not self.reaches(name, member.daemon):
                side.allocators.note_silence(member.daemon)
                side.held.claim_again(claims)
                continue
            grants = self.sides[member.daemon].allocator.answer(message, self.now_s)
            for grant in grants.grants:
                if grant.is_settled:
                    side.held.note_answer(claims[0], member.daemon)
                if side.allocators.note_grant(
                    member.daemon, grant.plan, grant.is_settled
                ):
                    side.held.take_grant(grant.plan, grant.share)

    def granted(self) -> float:
        """Returns the sum of all parts that living daemons grant."""
        return sum(
            side.held.share_of(PLAN.plan, len(self.listed))
            for name, side in self.sides.items()
            if name in self.alive
        )


Event = tuple[str, DaemonId, int]


def events_of(*described: str) -> list[Event]:
    """Returns events that are written as `kind daemon` or `kind daemon count`."""
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
    """All parts together keep the stated bound, whatever happens to the fleet."""

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
                fleet.start_again(name)
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
            fleet.round(self.apply(fleet, event))
            self.assertLessEqual(fleet.granted(), SPLIT_BOUND + 1e-9, events)

    @given(st.lists(st.dictionaries(st.sampled_from(NAMES), st.integers(1, 300))))
    def test_a_calm_fleet_keeps_the_calm_bound(
        self, rounds: list[dict[DaemonId, int]]
    ) -> None:
        fleet = FakeFleet()
        for arrivals in rounds:
            fleet.round(arrivals)
            self.assertLessEqual(fleet.granted(), CALM_BOUND + 1e-9)

    def test_steady_use_is_given_the_whole_plan(self) -> None:
        fleet = FakeFleet()
        for _ in range(12):
            fleet.round({NAMES[0]: 80, NAMES[4]: 80})
        for name in (NAMES[0], NAMES[4]):
            share = fleet.sides[name].held.share_of(PLAN.plan, len(NAMES))
            self.assertAlmostEqual(share, 0.5, places=2)

    def test_both_sides_of_a_split_go_on_with_what_they_had(self) -> None:
        fleet = FakeFleet()
        for _ in range(12):
            fleet.round({NAMES[0]: 80, NAMES[4]: 80})
        fleet.is_split = True
        for _ in range(60):
            fleet.round({NAMES[0]: 80, NAMES[4]: 80})
        for name in (NAMES[0], NAMES[4]):
            share = fleet.sides[name].held.share_of(PLAN.plan, len(NAMES))
            self.assertGreaterEqual(share, 0.49)
        self.assertLessEqual(fleet.granted(), SPLIT_BOUND)

    def test_a_side_that_never_used_the_plan_is_still_served(self) -> None:
        fleet = FakeFleet()
        for _ in range(12):
            fleet.round({NAMES[0]: 200})
        fleet.is_split = True
        for _ in range(10):
            fleet.round({NAMES[0]: 200, NAMES[4]: 200})
        share = fleet.sides[NAMES[4]].held.share_of(PLAN.plan, len(NAMES))
        self.assertGreaterEqual(share, NEWCOMERS_PART - 1e-9)


ANSWERING = (DaemonId("east-a"), DaemonId("east-b"), DaemonId("west-a"))


def all_reached(_: PlanId) -> Reach:
    """Returns the reach of a daemon whose claims are all answered."""
    return Reach(len(ANSWERING), len(ANSWERING))


def answer(held: HeldShares, claim: PlanClaim, share: float) -> None:
    """Lets all allocators answer a claim."""
    held.take_grant(claim.plan, share)
    for allocator in ANSWERING:
        held.note_answer(claim, allocator)


class HeldSharesTest(unittest.TestCase):
    """Claims are sent when they matter; idle plans are given up."""

    def test_a_calm_plan_is_claimed_seldom(self) -> None:
        held = HeldShares()
        claims = 0
        for second in range(100):
            held.arrive(PLAN, float(second))
            held.count_demand(float(second))
            for claim in held.claims(all_reached, float(second)):
                claims += 1
                answer(held, claim, 1.0)
        self.assertLessEqual(claims, 25)

    def test_an_idle_plan_is_claimed_with_no_demand(self) -> None:
        held = HeldShares()
        held.arrive(PLAN, 0.0)
        (claim,) = held.claims(all_reached, 0.0)
        answer(held, claim, 1.0)
        (claim,) = held.claims(all_reached, IDLE_S + 1)
        self.assertEqual((claim.demand_per_s, claim.share), (0.0, 0.0))

    def test_a_late_grant_does_not_revive_an_idle_plan(self) -> None:
        held = HeldShares()
        held.arrive(PLAN, 0.0)
        (claim,) = held.claims(all_reached, IDLE_S + 1)
        answer(held, claim, 1.0)
        self.assertLessEqual(held.share_of(PLAN.plan, 100), FLOORS_PART / 100)

    def test_a_raise_waits_for_all_that_are_reached(self) -> None:
        held = HeldShares()
        held.arrive(PLAN, 0.0)
        (claim,) = held.claims(all_reached, 0.0)
        held.take_grant(PLAN.plan, 1.0)
        for allocator in ANSWERING[:-1]:
            held.note_answer(claim, allocator)
            self.assertLess(held.share_of(PLAN.plan, 100), 1.0)
        held.note_answer(claim, ANSWERING[-1])
        self.assertEqual(held.share_of(PLAN.plan, 100), 1.0)

    def test_an_answer_to_an_earlier_claim_does_not_count(self) -> None:
        held = HeldShares()
        held.arrive(PLAN, 0.0)
        (earlier,) = held.claims(all_reached, 0.0)
        held.claim_all_again()
        held.claims(all_reached, 1.0)
        answer(held, earlier, 1.0)
        self.assertLess(held.share_of(PLAN.plan, 100), 1.0)

    def test_a_lower_share_is_taken_at_once(self) -> None:
        held = HeldShares()
        held.arrive(PLAN, 0.0)
        (claim,) = held.claims(all_reached, 0.0)
        answer(held, claim, 1.0)
        held.claim_all_again()
        held.claims(all_reached, 1.0)
        held.take_grant(PLAN.plan, 0.5)
        self.assertEqual(held.share_of(PLAN.plan, 100), 0.5)


class AllowanceTest(unittest.TestCase):
    """A daemon grants its share and never a burst for the time it slept."""

    def admitted(self, allowance: Allowance, share: float, now_s: float) -> int:
        """Returns how many queries start at one moment, none of them waiting."""
        count = 0
        while allowance.enter(share, now_s).value_or(1.0) == 0.0:
            allowance.leave()
            count += 1
        return count

    def test_a_share_bounds_the_burst(self) -> None:
        self.assertEqual(self.admitted(Allowance(PLAN, 0.0), 0.5, 0.0), 10)

    def test_a_pause_gives_no_more_than_the_burst(self) -> None:
        allowance = Allowance(PLAN, 0.0)
        self.admitted(allowance, 1.0, 0.0)
        self.assertEqual(self.admitted(allowance, 1.0, 3_600.0), PLAN.burst)

    def test_a_share_bounds_the_concurrency(self) -> None:
        allowance = Allowance(PLAN, 0.0)
        entered = [allowance.enter(0.25, 0.0) for _ in range(10)]
        self.assertEqual(sum(isinstance(e, Success) for e in entered), 4)

    def test_a_query_that_comes_early_waits_for_its_token(self) -> None:
        allowance = Allowance(PLAN, 0.0)
        self.admitted(allowance, 1.0, 0.0)
        waits = []
        while (wait_s := allowance.enter(1.0, 0.0).value_or(None)) is not None:
            allowance.leave()
            waits.append(wait_s)
        self.assertEqual(waits, sorted(waits))
        self.assertLessEqual(len(waits), WAIT_MAX_S * PLAN.rate_per_s)
        self.assertLessEqual(max(waits), WAIT_MAX_S)

    def test_a_wait_leaves_most_of_a_short_deadline(self) -> None:
        allowance = Allowance(PLAN, 0.0)
        self.admitted(allowance, 1.0, 0.0)
        waits = []
        while (wait := allowance.enter(1.0, 0.0, 0.12).value_or(None)) is not None:
            allowance.leave()
            waits.append(wait)
        self.assertGreater(len(waits), 0)
        self.assertLessEqual(max(waits), WAIT_SHARE_MAX * 0.12)

    def test_a_raised_share_gives_no_burst_at_once(self) -> None:
        allowance = Allowance(PLAN, 0.0)
        self.admitted(allowance, 0.1, 0.0)
        self.assertEqual(self.admitted(allowance, 1.0, 0.0), 0)
