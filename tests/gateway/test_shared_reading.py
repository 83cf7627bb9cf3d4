"""Tests of `lavendertide.gateway.shared_reading` and of its waits."""

import random
import unittest
from collections import Counter
from dataclasses import replace
from typing import Any, cast

from returns.result import Failure, Result, Success

from lavendertide.encodings.routes_json import decode_table, encode_table
from lavendertide.errors import Refusal, unreachable
from lavendertide.fleet.roster import Roster
from lavendertide.gateway.follower import (
    Follower,
    HistoryLost,
    PublicationBatch,
    TargetPublished,
    TargetWithdrawn,
)
from lavendertide.gateway.gateway import KnownRoutes
from lavendertide.gateway.reading_times import PAUSE_S, ReadingTimes
from lavendertide.gateway.shared_reading import (
    FOLLOWERS_MAX,
    RegistrySource,
    SharedReader,
    source_of,
)
from lavendertide.ids import TargetId
from lavendertide.messages import (
    MemberRecord,
    MemberState,
    RegistryPull,
    RegistryPush,
)
from lavendertide.registry.registry import TargetRegistry
from lavendertide.routes.active_routes import ActiveRoutes
from lavendertide.routes.replication import RouteReplication
from lavendertide.runtime import clock, tasks
from standins.forwarding_records import route, table, target
from tests.fleet.members import member
from tests.virtual_time import VirtualTimeTestCase

TIMES = ReadingTimes(leaving_s=3.0)
# Hosts between the reader of a failure domain and the last of 585 that follow it.
LEVELS = 3


def fleet(own: int, *capacities: int) -> Roster:
    """Returns one member's roster of hosts of one failure domain."""
    hosts = [
        replace(member(3 * n), capacity=capacity)
        for n, capacity in enumerate(capacities)
    ]
    roster = Roster(hosts[own])
    roster.apply_records(hosts, 0.0)
    return roster


class SourceOfTest(unittest.TestCase):
    """All hosts of a failure domain agree on who reads for them."""

    def test_everyone_names_the_same_one(self) -> None:
        readers = {source_of(fleet(own, 1, 1, 1, 1), 0.0).daemon for own in range(4)}
        self.assertEqual(len(readers), 1)

    def test_a_large_host_reads(self) -> None:
        self.assertEqual(source_of(fleet(0, 50, 215, 50), 0.0).capacity, 215)

    def test_hosts_of_other_domains_read_for_themselves(self) -> None:
        roster = fleet(0, 50)
        roster.apply_records([replace(member(1), capacity=500)], 0.0)
        self.assertEqual(source_of(roster, 0.0), roster.own)

    def test_one_that_is_not_reached_is_passed_over(self) -> None:
        roster = fleet(0, 50, 215, 100)
        roster.contacts.record_disconnect(member(3).daemon)
        self.assertEqual(source_of(roster, 0.0).capacity, 100)

    def sources(self, count: int, unreached: dict[int, set[int]]) -> list[int]:
        """Returns whom each host asks, some of which do not reach some others."""
        sources = []
        for own in range(count):
            roster = fleet(own, *(1 + n % 3 for n in range(count)))
            for other in unreached.get(own, ()):
                roster.contacts.record_disconnect(member(3 * other).daemon)
            name = source_of(roster, 0.0).daemon
            sources.append(int(name.removeprefix("daemon-")) // 3)
        return sources

    def depth(self, sources: list[int], host: int) -> int:
        """Returns how many hosts are above one; fails if they form a ring."""
        above = 0
        while sources[host] != host:
            host, above = sources[host], above + 1
            self.assertLess(above, len(sources))
        return above

    def test_no_host_is_asked_by_too_many(self) -> None:
        for count, levels in ((9, 1), (26, 2), (73, 2), (128, 3)):
            with self.subTest(count=count):
                sources = self.sources(count, {})
                asked = Counter(sources[n] for n in range(count) if sources[n] != n)
                self.assertLessEqual(max(asked.values()), FOLLOWERS_MAX)
                depths = [self.depth(sources, host) for host in range(count)]
                self.assertEqual(depths.count(0), 1)
                self.assertEqual(max(depths), levels)

    def test_hosts_whose_rosters_differ_never_ask_each_other_in_a_ring(self) -> None:
        generator = random.Random(1)
        for _ in range(20):
            unreached = {
                own: set(generator.sample(range(24), 12)) - {own} for own in range(24)
            }
            sources = self.sources(24, unreached)
            for host in range(24):
                self.depth(sources, host)

    def test_a_host_that_has_just_started_reads_for_itself(self) -> None:
        roster = fleet(0, 50, 215)
        roster.announce(MemberState.JOINING, 0.0)
        self.assertEqual(source_of(roster, 0.0), roster.own)


class LostPlatform:
    """A platform that does not answer."""

    def read_all(self) -> Result[PublicationBatch, Refusal]:
        """Fails."""
        return Failure(unreachable("store", "timeout", "Wait."))

    def read_changes(
        self, revision: int
    ) -> Result[PublicationBatch | HistoryLost, Refusal]:
        """Fails."""
        return Failure(unreachable("store", "timeout", "Wait."))


class AnsweringLink:
    """A link to a peer that knows the targets."""

    def __init__(self, source: RegistrySource) -> None:
        self._source = source

    def pull_registry(self, pull: RegistryPull, timeout_s: float) -> RegistryPush:
        """Returns the peer's answer."""
        return self._source.answer(pull)


class PeersOfOne:
    """Peers of which one answers."""

    def __init__(self, source: RegistrySource) -> None:
        self._link = AnsweringLink(source)

    def link_to(self, record: MemberRecord) -> AnsweringLink:
        """Returns the link."""
        return self._link


class StartInAnOutageTest(unittest.TestCase):
    """A host that starts while the platform is away learns the targets from a peer."""

    def make(self, reader: Any) -> tuple[Follower, TargetRegistry]:
        """Returns a host that reads by a reader."""
        book, registry = ActiveRoutes(), TargetRegistry()
        spreading = RouteReplication(book, encode_table, decode_table, 0.0)
        return Follower(reader, book, spreading, registry, 0.0), registry

    def test_the_targets_of_a_peer_are_taken_in(self) -> None:
        informed, known = self.make(LostPlatform())
        known.put(target("a"))
        informed.history.begin(7)
        source = RegistrySource(TIMES, informed, known, ActiveRoutes())
        book = ActiveRoutes()
        spreading = RouteReplication(book, encode_table, decode_table, 0.0)
        peers: Any = PeersOfOne(source)
        reader = SharedReader(
            LostPlatform(), TIMES, fleet(0, 1, 1), peers, spreading, book
        )
        starting, registry = self.make(reader)
        self.assertFalse(starting.has_read)
        self.assertTrue(starting.read())
        self.assertTrue(starting.has_read)
        self.assertEqual(registry.targets, (target("a"),))

    def test_a_host_without_targets_does_not_count_as_serving(self) -> None:
        book = ActiveRoutes()
        book.adopt(table(4, route()), "peer", 0.0)
        self.assertEqual(KnownRoutes(book, lambda: False).version, 0)
        self.assertEqual(KnownRoutes(book, lambda: True).version, 4)


class CuttablePlatform:
    """The platform as one host reaches it; a cut one does not answer.

    Args:
        changes: What all hosts read, with the revision of each change.
    """

    def __init__(self, times: ReadingTimes, changes: list[TargetWithdrawn]) -> None:
        self._times = times
        self._changes = changes
        self.is_cut = False

    def read_all(self) -> Result[PublicationBatch, Refusal]:
        """Returns the first target."""
        return Success(PublicationBatch((TargetPublished(target("a")),), 1))

    def read_changes(
        self, revision: int
    ) -> Result[PublicationBatch | HistoryLost, Refusal]:
        """Waits for changes as a watch does."""
        began_s = clock.monotonic_s()
        while not self.is_cut and clock.monotonic_s() < began_s + self._times.watch_s:
            if self._changes and revision == 1:
                return Success(PublicationBatch(tuple(self._changes), 2))
            tasks.sleep(0.01)
        if not self.is_cut:
            return Success(PublicationBatch((), revision))
        tasks.sleep(began_s + self._times.watch_timeout_s - clock.monotonic_s())
        return Failure(unreachable("store", "timeout", "Wait."))


class CutReaderTest(VirtualTimeTestCase):
    """The pattern: a reader loses the platform, and a target leaves just after."""

    def make(self, reader: Any) -> tuple[Follower, TargetRegistry]:
        """Returns a host that reads by a reader."""
        book, registry = ActiveRoutes(), TargetRegistry()
        spreading = RouteReplication(
            book, encode_table, decode_table, clock.monotonic_s()
        )
        host = Follower(reader, book, spreading, registry, clock.monotonic_s())
        return host, registry

    def make_follower(
        self, times: ReadingTimes, direct: CuttablePlatform, source: RegistrySource
    ) -> tuple[Follower, TargetRegistry]:
        """Returns a host that asks another one."""
        peers: Any = PeersOfOne(source)
        # Host 0 is behind host 1 in the order of readers.
        roster = fleet(0, 1, 2)
        book, now_s = ActiveRoutes(), clock.monotonic_s()
        spreading = RouteReplication(book, encode_table, decode_table, now_s)
        return self.make(
            SharedReader(cast(Any, direct), times, roster, peers, spreading, book)
        )

    def noticed_after_s(self, times: ReadingTimes, cut_after_s: float) -> float:
        """Returns when the last host below a reader notices that a target leaves."""
        changes: list[TargetWithdrawn] = []
        cut = CuttablePlatform(times, changes)
        host, registry = self.make(cut)
        self.addCleanup(tasks.spawn(host.run).stop)
        for _ in range(LEVELS):
            source = RegistrySource(times, host, registry, ActiveRoutes())
            direct = CuttablePlatform(times, changes)
            host, registry = self.make_follower(times, direct, source)
            self.addCleanup(tasks.spawn(host.run).stop)
        tasks.sleep(2.0 + cut_after_s)
        self.assertEqual(registry.targets, (target("a"),))
        cut.is_cut = True
        changes.append(TargetWithdrawn(TargetId("a")))
        began_s = clock.monotonic_s()
        while registry.targets and clock.monotonic_s() < began_s + 60.0:
            tasks.sleep(0.01)
        return clock.monotonic_s() - began_s

    def test_the_log_says_that_the_source_was_lost(self) -> None:
        with self.assertLogs("lavendertide.gateway.shared_reading", "INFO") as logs:
            self.noticed_after_s(TIMES, 0.0)
        outcomes = [vars(record).get("outcome") for record in logs.records]
        self.assertIn("not_current", outcomes)

    def test_hosts_that_reach_the_platform_notice_it_in_time(self) -> None:
        for leaving_s in (3.0, 5.0):
            for step in range(10):
                with self.subTest(leaving_s=leaving_s, step=step):
                    times = ReadingTimes(leaving_s)
                    late_s = self.noticed_after_s(times, step * 0.17)
                    self.assertLess(late_s, leaving_s - PAUSE_S)
