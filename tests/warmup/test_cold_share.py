"""Tests of `lavendertide.warmup.cold_share`."""

import functools
import unittest
from collections import deque
from dataclasses import dataclass, field
from typing import Final

from hypothesis import given, settings, strategies as st

from lavendertide.fleet.fleet_size import ASSUMED_HOSTS
from lavendertide.fleet.ranking import score
from lavendertide.ids import DaemonId, TargetId
from lavendertide.warmup.allowance import WINDOW_S, SendWindow
from lavendertide.warmup.cold_share import SETTLE_S, ColdShare, FleetView

TARGET: Final = TargetId("t1")
HOSTS: Final = tuple(DaemonId(f"m{number}") for number in range(6))
SILENCE_S: Final = 1.5
REMOVAL_S: Final = 30.0
REACHED_S: Final = 4.0
STEP_S: Final = 0.5
cached_score = functools.cache(score)


@dataclass
class Process:
    """One run of a host that sends whatever it may."""

    name: DaemonId
    share: ColdShare
    is_paused: bool = False
    leaves_at_s: float | None = None
    first_heard_at_s: dict[DaemonId, float] = field(default_factory=dict)
    heard_at_s: dict[DaemonId, float] = field(default_factory=dict)
    leaving: set[DaemonId] = field(default_factory=set)
    window: SendWindow = field(default_factory=SendWindow)


class Fleet:
    """Hosts that join, end, pause and are cut off from each other.

    Their rosters learn of a host at once, notice its silence after 1.5 s and remove it
    after 30 s, also if it lives and is cut off. A process starts only where others in
    reach know all hosts that live, and keeps those in its roster until it has reached
    them for 4 s: no rule can bound what hosts spend of which a process can't learn.
    """

    def __init__(self, spendable: int, named: int) -> None:
        self.spendable = spendable
        self.named = named
        self.now_s = 0.0
        self.processes: dict[DaemonId, Process] = {}
        self.sides = dict.fromkeys(HOSTS, 0)
        self.window: deque[tuple[float, int]] = deque()
        self.most = 0

    def start(self, name: DaemonId) -> None:
        """Starts a process unless one runs."""
        if name in self.processes:
            return
        reached = [p for p in self.processes.values() if self.can_reach(p.name, name)]
        known = {host: at for p in reached for host, at in p.heard_at_s.items()}
        if not set(self.processes) <= set(known):
            return
        process = Process(name, ColdShare(name))
        process.heard_at_s = {**known, name: self.now_s}
        self.processes[name] = process

    def can_reach(self, one: DaemonId, other: DaemonId) -> bool:
        """Returns whether messages pass between two hosts."""
        return self.sides[one] == self.sides[other]

    def step(self) -> None:
        """Lets all processes send all they may, and then half a second pass."""
        sent = 0
        number = round(self.now_s / STEP_S)
        for process in list(self.processes.values()):
            if process.leaves_at_s is not None and self.now_s >= process.leaves_at_s:
                del self.processes[process.name]
        for process in self.processes.values():
            if process.is_paused:
                continue
            allowed = process.share.requests_of(TARGET, self.spendable, self.now_s)
            while process.window.count(self.now_s) < allowed:
                process.window.record(self.now_s)
                sent += 1
        for process in self.processes.values():
            if not process.is_paused:
                self.hear(process)
                # Every other step; half of the hosts update between the others.
                if number % 2 == HOSTS.index(process.name) % 2:
                    self.update(process)
        self.window.append((self.now_s, sent))
        while self.now_s - self.window[0][0] > WINDOW_S:
            self.window.popleft()
        self.most = max(self.most, sum(count for _, count in self.window))
        self.now_s += STEP_S

    def hear(self, process: Process) -> None:
        """Brings a process's roster up to date."""
        for other in self.processes.values():
            if other.is_paused or not self.can_reach(other.name, process.name):
                continue
            process.heard_at_s[other.name] = self.now_s
            process.first_heard_at_s.setdefault(other.name, self.now_s)
            if other.leaves_at_s is None:
                process.leaving.discard(other.name)
            else:
                process.leaving.add(other.name)
        for name, heard_at_s in list(process.heard_at_s.items()):
            first_s = process.first_heard_at_s.get(name, heard_at_s)
            was_reached = heard_at_s - first_s >= REACHED_S
            may_remove = was_reached or name not in self.processes
            if may_remove and self.now_s - heard_at_s >= REMOVAL_S:
                del process.heard_at_s[name]

    def update(self, process: Process) -> None:
        """Updates a process's share from its roster; not while it leaves."""
        if process.leaves_at_s is not None:
            return
        members = frozenset(process.heard_at_s)
        silent = frozenset(
            name
            for name, heard_at_s in process.heard_at_s.items()
            if self.now_s - heard_at_s > SILENCE_S
        )
        # As in the product's roster, one that is silent is no longer seen as leaving.
        leaving = frozenset(process.leaving & members) - silent
        candidates = members - silent - leaving
        ranked = sorted(candidates, key=lambda name: cached_score("named", name))
        named = frozenset(ranked[: self.named])
        view = FleetView(members, silent, leaving, named)
        process.share.update(view, self.now_s)

    def apply(self, event: str, name: DaemonId) -> None:
        """Applies one event of a schedule."""
        process = self.processes.get(name)
        match event:
            case "start":
                self.start(name)
            case "kill" if process is not None:
                del self.processes[name]
            case "restart" if process is not None:
                del self.processes[name]
                self.start(name)
            case "leave" if process is not None and process.leaves_at_s is None:
                process.leaves_at_s = self.now_s + 3.0
            case "pause" if process is not None:
                process.is_paused = True
            case "resume" if process is not None:
                process.is_paused = False
            case "cut":
                self.sides[name] = 1 - self.sides[name]
            case "split":
                half = HOSTS.index(name)
                self.sides = {h: int(i < half) for i, h in enumerate(HOSTS)}
            case "heal":
                self.sides = dict.fromkeys(HOSTS, 0)

    def run(self, duration_s: float) -> None:
        """Lets time pass."""
        for _ in range(round(duration_s / STEP_S)):
            self.step()


EVENTS: Final = (
    "start",
    "kill",
    "restart",
    "leave",
    "pause",
    "resume",
    "cut",
    "split",
    "heal",
)
WAITS_S: Final = (0.0, 0.5, 1.0, 2.0, 4.0, 7.0, 34.0)
SCHEDULES: Final = st.lists(
    st.tuples(
        st.sampled_from(EVENTS), st.sampled_from(HOSTS), st.sampled_from(WAITS_S)
    ),
    min_size=3,
    max_size=9,
)


class DrawnScheduleTest(unittest.TestCase):
    """Guards against a cold target that all hosts together send too much.

    Joins, kills, restarts, announced ends, pauses and partitions come in any order.
    """

    @settings(max_examples=10_000)
    @given(
        SCHEDULES,
        st.integers(0, len(HOSTS)),
        st.sampled_from((1, 4, 9, 28)),
        st.integers(1, 3),
    )
    def test_no_window_has_more_than_the_allowance(
        self,
        schedule: list[tuple[str, DaemonId, float]],
        started: int,
        spendable: int,
        named: int,
    ) -> None:
        fleet = Fleet(spendable, named)
        for name in HOSTS[:started]:
            fleet.start(name)
        fleet.run(7.0)
        for event, name, wait_s in schedule:
            fleet.apply(event, name)
            fleet.run(wait_s)
        fleet.run(2.0)
        self.assertLessEqual(fleet.most, spendable)


class ShareTest(unittest.TestCase):
    """Guards against an allowance that is lost although all hosts run undisturbed."""

    def setUp(self) -> None:
        self.fleet = Fleet(spendable=28, named=2)
        for name in HOSTS:
            self.fleet.start(name)
        self.fleet.run(SETTLE_S + 2.0)

    def parts(self) -> list[int]:
        """Returns what each running host may send in one window."""
        return [
            process.share.requests_of(TARGET, 28, self.fleet.now_s)
            for process in self.fleet.processes.values()
        ]

    def test_the_parts_of_all_hosts_are_the_whole_allowance(self) -> None:
        self.assertEqual(sum(self.parts()), 28)

    def test_a_named_host_gets_more_than_an_even_part(self) -> None:
        self.assertEqual(sorted(self.parts())[-2:], [9, 10])

    def test_a_restarted_host_has_its_part_again_after_a_while(self) -> None:
        before = sorted(self.parts())
        self.fleet.apply("restart", HOSTS[0])
        self.assertLess(sum(self.parts()), 28)
        self.fleet.run(SETTLE_S + 2.0)
        self.assertEqual(sorted(self.parts()), before)

    def test_the_others_take_over_from_a_host_that_has_left(self) -> None:
        self.fleet.apply("leave", HOSTS[0])
        self.fleet.run(REMOVAL_S + 2 * SETTLE_S)
        self.assertEqual(len(self.parts()), 5)
        self.assertEqual(sum(self.parts()), 28)

    def test_the_sides_of_a_partition_keep_their_parts_for_as_long_as_it_lasts(
        self,
    ) -> None:
        self.fleet.apply("split", HOSTS[3])
        self.fleet.run(120.0)
        self.assertEqual(sum(self.parts()), 28)

    def test_a_paused_host_has_nothing_when_it_resumes(self) -> None:
        self.fleet.apply("pause", HOSTS[0])
        self.fleet.run(4.0)
        self.assertEqual(self.parts()[0], 0)


class StartTest(unittest.TestCase):
    """Guards against hosts that start at the same time and each take all of it."""

    def test_a_host_that_is_alone_waits(self) -> None:
        share = ColdShare(HOSTS[0])
        alone = FleetView(frozenset(HOSTS[:1]), named=frozenset(HOSTS[:1]))
        for second in range(3):
            share.update(alone, float(second))
            self.assertEqual(share.requests_of(TARGET, 28, float(second)), 0)
        share.update(alone, 3.0)
        self.assertEqual(share.requests_of(TARGET, 28, 3.0), 28 // ASSUMED_HOSTS)

    def test_a_host_that_meets_others_waits_again(self) -> None:
        share = ColdShare(HOSTS[0])
        for second in range(5):
            share.update(FleetView(frozenset(HOSTS[:1])), float(second))
        share.update(FleetView(frozenset(HOSTS)), 5.0)
        self.assertEqual(share.requests_of(TARGET, 28, 5.0), 0)
