"""Tests of `lavendertide.warmup.cold_share`."""

import functools
import random
import unittest
from collections import deque
from dataclasses import dataclass, field, replace
from typing import Final

from hypothesis import given, settings, strategies as st

from lavendertide.fleet.fleet_size import ASSUMED_HOSTS
from lavendertide.fleet.ranking import score
from lavendertide.ids import DaemonId, TargetId
from lavendertide.registry.record import TargetRun
from lavendertide.warmup.allowance import WINDOW_S
from lavendertide.warmup.cold_share import SETTLE_S, ColdShare, FleetView
from lavendertide.warmup.grant_requests import ColdGrant, GrantRequests
from lavendertide.warmup.run_allowance import USE_S, RunAllowance

TARGET: Final = TargetId("t1")
RUN: Final = TargetRun(TARGET, 1)
HOSTS: Final = tuple(DaemonId(f"m{number}") for number in range(6))
SILENCE_S: Final = 1.5
REMOVAL_S: Final = 30.0
REACHED_S: Final = 4.0
STEP_S: Final = 0.5
# What becomes of a message: the delays of its copies in seconds.
FATES: Final = (
    (0.0,),
    (0.0,),
    (0.0,),
    (0.5,),
    (1.5,),
    (7.0,),
    (),
    (0.0, 0.0),
    (0.0, 1.0),
)
cached_score = functools.cache(score)


@dataclass
class Process:
    """One run of a host that sends whatever it may while it is not idle."""

    name: DaemonId
    share: ColdShare
    is_paused: bool = False
    leaves_at_s: float | None = None
    first_heard_at_s: dict[DaemonId, float] = field(default_factory=dict)
    heard_at_s: dict[DaemonId, float] = field(default_factory=dict)
    leaving: set[DaemonId] = field(default_factory=set)
    allowance: RunAllowance = field(default_factory=RunAllowance)

    def __post_init__(self) -> None:
        self.wishes = GrantRequests(self.name)


class Fleet:
    """Hosts that join, end, pause and are cut off from each other.

    Their rosters learn of a host at once, notice its silence after 1.5 s and remove it
    after 30 s, also if it lives and is cut off. A process starts only where others in
    reach know all hosts that live, and keeps those in its roster until it has reached
    them for 4 s: no rule can bound what hosts spend of which a process can't learn.

    Args:
        spendable: What all hosts may send in one window.
        named: Number of hosts that are named to callers.
        idle_share: Share of the time in which a host has no requests to send.
        seed: Seed of the idle times, and of which messages are lost, late or repeated.
    """

    def __init__(
        self, spendable: int, named: int, idle_share: float = 0.0, seed: int = 0
    ) -> None:
        self.spendable = spendable
        self.named = named
        self.idle_share = idle_share
        self.random = random.Random(seed)
        self.messages: list[tuple[float, DaemonId, DaemonId, ColdGrant]] = []
        self.transferred = 0
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
        busy = [
            process
            for process in self.processes.values()
            if not process.is_paused and self.is_busy(process)
        ]
        sent += self.send_all(busy)
        for process in busy:
            self.ask_others(process)
        self.deliver()
        sent += self.send_all(busy)
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

    def is_busy(self, process: Process) -> bool:
        """Returns whether a process has requests to send now."""
        return self.random.random() >= self.idle_share

    def part_of(self, process: Process) -> int:
        """Returns what a process may send in one window of its own part."""
        return process.share.requests_of(TARGET, self.spendable, self.now_s)

    def send_all(self, processes: list[Process]) -> int:
        """Lets processes send all they may; returns how many requests that are."""
        sent = 0
        for process in processes:
            part = self.part_of(process)
            while process.allowance.try_send(part, self.now_s):
                sent += 1
        return sent

    def ask_others(self, process: Process) -> None:
        """Sends a process's wishes."""
        if not process.share.may_transfer(self.now_s):
            return
        parts = process.share.givers_of(TARGET, self.spendable)
        wishes = process.wishes.select(RUN, self.spendable, parts, self.now_s)
        for giver, wish in wishes:
            self.post(process.name, giver, wish)

    def post(self, sender: DaemonId, receiver: DaemonId, grant: ColdGrant) -> None:
        """Sends a message, which may be lost, late or repeated."""
        if self.can_reach(sender, receiver):
            for delay_s in self.random.choice(FATES):
                self.messages.append((self.now_s + delay_s, sender, receiver, grant))

    def deliver(self) -> None:
        """Delivers the messages that are due, those of paused processes later."""
        while True:
            due = [
                message
                for message in self.messages
                if message[0] <= self.now_s
                and not (
                    message[2] in self.processes
                    and self.processes[message[2]].is_paused
                )
            ]
            if not due:
                return
            for message in due:
                self.messages.remove(message)
                if (process := self.processes.get(message[2])) is not None:
                    self.receive(process, message[1], message[3])

    def receive(self, process: Process, sender: DaemonId, grant: ColdGrant) -> None:
        """Lets a process handle a message as the product does."""
        if not process.share.may_transfer(self.now_s):
            return
        if grant.is_wish:
            part = self.part_of(process)
            given = process.allowance.give(part, grant.requests, self.now_s)
            if given:
                valid_ms = round(USE_S * 1_000)
                answer = replace(grant, requests=given, valid_ms=valid_ms)
                self.post(process.name, sender, answer)
            return
        accepted = process.wishes.accept(grant, sender, self.now_s)
        if accepted is not None:
            process.allowance.receive(*accepted)
            self.transferred += accepted[0]

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
    Hosts that are idle give their parts to others, by messages of which some are lost,
    late or repeated.
    """

    @settings(max_examples=10_000)
    @given(
        SCHEDULES,
        st.integers(0, len(HOSTS)),
        st.sampled_from((1, 4, 9, 28)),
        st.integers(1, 3),
        st.sampled_from((0.0, 0.4, 0.8)),
        st.integers(0, 2**32),
    )
    def test_no_window_has_more_than_the_allowance(
        self,
        schedule: list[tuple[str, DaemonId, float]],
        started: int,
        spendable: int,
        named: int,
        idle_share: float,
        seed: int,
    ) -> None:
        fleet = Fleet(spendable, named, idle_share, seed)
        for name in HOSTS[:started]:
            fleet.start(name)
        fleet.run(7.0)
        for event, name, wait_s in schedule:
            fleet.apply(event, name)
            fleet.run(wait_s)
        fleet.run(2.0)
        self.assertLessEqual(fleet.most, spendable)


class FleetOfFewBusyHosts(Fleet):
    """A fleet of which callers use two hosts."""

    def is_busy(self, process: Process) -> bool:
        """Returns whether callers use a host."""
        return process.name in HOSTS[:2]


class TransferTest(unittest.TestCase):
    """Guards against an allowance that is unused while few of many hosts are busy."""

    def setUp(self) -> None:
        self.fleet = FleetOfFewBusyHosts(28, 2, seed=1)
        for name in HOSTS:
            self.fleet.start(name)
        self.fleet.run(SETTLE_S + 2.0)

    def parts(self) -> dict[DaemonId, int]:
        """Returns what each host may send in one window of its own part."""
        return {p.name: self.fleet.part_of(p) for p in self.fleet.processes.values()}

    def test_what_a_host_knows_of_others_is_what_they_take(self) -> None:
        parts = self.parts()
        for process in self.fleet.processes.values():
            others = {name: parts[name] for name in parts if name != process.name}
            known = process.share.parts_of_others(TARGET, 28)
            self.assertEqual(dict(known), others)

    def test_each_host_is_asked_first_by_one_of_the_named_ones(self) -> None:
        """Guards against hosts that all ask the same one, of which one gets it."""
        named = [
            p
            for p in self.fleet.processes.values()
            if p.share.requests_of(TargetId("t2"), 28, self.fleet.now_s) > 5
        ]
        self.assertEqual(len(named), 2)
        first = [next(iter(p.share.givers_of(TARGET, 28))) for p in named]
        self.assertEqual(len(set(first)), 2)

    def test_idle_hosts_leave_theirs_to_busy_ones(self) -> None:
        parts = self.parts()
        own = sum(parts[name] for name in HOSTS[:2])
        sent = 0
        for _ in range(120):
            self.fleet.step()
            sent += self.fleet.window[-1][1]
        # A step is half a second, so a part is used again after three of them.
        alone = 120 / 3 * own
        self.assertGreater(sent, 1.3 * alone)
        self.assertLessEqual(self.fleet.most, 28)


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
