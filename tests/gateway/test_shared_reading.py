"""Tests of `lavendertide.gateway.shared_reading` and of its timeouts."""

import random
import unittest
from collections import Counter
from dataclasses import replace
from typing import Any, cast
from unittest import mock

from returns.result import Failure, Result, Success

from lavendertide.encodings.routes_json import decode_table, encode_table
from lavendertide.errors import Refusal, unreachable
from lavendertide.evacuation.evacuated_domains import EvacuatedDomains, Evacuation
from lavendertide.fleet.roster import Roster
from lavendertide.gateway.fleet_links import ServableRoutes
from lavendertide.gateway.follower import Follower
from lavendertide.gateway.publications import (
    HistoryLost,
    PublicationBatch,
    TargetPublished,
    TargetWithdrawn,
)
from lavendertide.gateway.reading_times import PAUSE_S, ReadingTimes
from lavendertide.gateway.shared_reading import (
    DIRECT_READ_S,
    FOLLOWERS_MAX,
    RegistrySource,
    SharedReader,
    select_source,
)
from lavendertide.ids import ExchangeId, StoreEra, TargetId
from lavendertide.messages import (
    MemberRecord,
    MemberState,
    RegistryPull,
    RegistryPush,
)
from lavendertide.registry.record import TargetState
from lavendertide.registry.registry import REREGISTRATION_S, TargetRegistry
from lavendertide.restoration.position import Position
from lavendertide.routes.active_routes import ActiveRoutes
from lavendertide.routes.replication import RouteReplication
from lavendertide.runtime import clock, tasks
from lavendertide.warmup.cold_targets import ColdTargets
from standins.forwarding_records import DESK, LOCAL_DOMAIN, at, route, table, target
from tests.fleet.members import member
from tests.virtual_time import VirtualTimeTestCase

TIMES = ReadingTimes(leaving_s=3.0)
# Levels of the tree below the reader of a failure domain, enough for 585 hosts.
LEVELS = 3


def fleet(own: int, *capacities: int) -> Roster:
    """Returns one host's roster of a failure domain, with these capacities."""
    hosts = [
        replace(member(3 * n), capacity=capacity)
        for n, capacity in enumerate(capacities)
    ]
    roster = Roster(hosts[own])
    roster.apply_records(hosts, 0.0)
    return roster


class SelectSourceTest(unittest.TestCase):
    """The hosts of a failure domain agree on the tree of sources."""

    def test_all_hosts_select_the_same_reader(self) -> None:
        readers = {
            select_source(fleet(own, 1, 1, 1, 1), 0.0).daemon for own in range(4)
        }
        self.assertEqual(len(readers), 1)

    def test_the_largest_host_reads(self) -> None:
        self.assertEqual(select_source(fleet(0, 50, 215, 50), 0.0).capacity, 215)

    def test_hosts_of_other_domains_read_directly(self) -> None:
        roster = fleet(0, 50)
        roster.apply_records([replace(member(1), capacity=500)], 0.0)
        self.assertEqual(select_source(roster, 0.0), roster.own)

    def test_an_unreachable_host_is_skipped(self) -> None:
        roster = fleet(0, 50, 215, 100)
        roster.contacts.record_disconnect(member(3).daemon)
        self.assertEqual(select_source(roster, 0.0).capacity, 100)

    def sources(self, count: int, unreached: dict[int, set[int]]) -> list[int]:
        """Returns the source of each host, where some hosts can't reach others."""
        sources = []
        for own in range(count):
            roster = fleet(own, *(1 + n % 3 for n in range(count)))
            for other in unreached.get(own, ()):
                roster.contacts.record_disconnect(member(3 * other).daemon)
            name = select_source(roster, 0.0).daemon
            sources.append(int(name.removeprefix("daemon-")) // 3)
        return sources

    def count_levels_above(self, sources: list[int], host: int) -> int:
        """Returns how many sources are above a host; fails on a cycle."""
        above = 0
        while sources[host] != host:
            host, above = sources[host], above + 1
            self.assertLess(above, len(sources))
        return above

    def test_no_source_has_too_many_followers(self) -> None:
        for count, levels in ((9, 1), (26, 2), (73, 2), (128, 3)):
            with self.subTest(count=count):
                sources = self.sources(count, {})
                follower_counts = Counter(
                    sources[n] for n in range(count) if sources[n] != n
                )
                self.assertLessEqual(max(follower_counts.values()), FOLLOWERS_MAX)
                depths = [
                    self.count_levels_above(sources, host) for host in range(count)
                ]
                self.assertEqual(depths.count(0), 1)
                self.assertEqual(max(depths), levels)

    def test_hosts_whose_rosters_differ_never_form_a_cycle(self) -> None:
        generator = random.Random(1)
        for _ in range(20):
            unreached = {
                own: set(generator.sample(range(24), 12)) - {own} for own in range(24)
            }
            sources = self.sources(24, unreached)
            for host in range(24):
                self.count_levels_above(sources, host)

    def test_a_host_that_has_just_started_reads_directly(self) -> None:
        roster = fleet(0, 50, 215)
        roster.announce(MemberState.JOINING, 0.0)
        self.assertEqual(select_source(roster, 0.0), roster.own)


class LostPlatform:
    """A platform that is unreachable."""

    def read_all(self) -> Result[PublicationBatch, Refusal]:
        """Fails."""
        return Failure(unreachable("store", "timeout", "Wait."))

    def read_changes(
        self, position: Position
    ) -> Result[PublicationBatch | HistoryLost, Refusal]:
        """Fails."""
        return Failure(unreachable("store", "timeout", "Wait."))


class ReplyingLink:
    """A link to a peer that serves the registry."""

    def __init__(self, source: RegistrySource) -> None:
        self._source = source

    def pull_registry(self, pull: RegistryPull, timeout_s: float) -> RegistryPush:
        """Returns the peer's reply."""
        return self._source.reply_to(pull)


class PeersOfOne:
    """A fleet in which one source answers for every peer."""

    def __init__(self, source: RegistrySource) -> None:
        self._link = ReplyingLink(source)

    def link_to(self, record: MemberRecord) -> ReplyingLink:
        """Returns the link to the source."""
        return self._link


class StartInAnOutageTest(unittest.TestCase):
    """A host that starts during a platform outage pulls the targets from a peer."""

    def make(self, reader: Any) -> tuple[Follower, TargetRegistry]:
        """Returns a follower that uses a reader, and its registry."""
        active_routes, registry = ActiveRoutes(), TargetRegistry()
        route_replication = RouteReplication(
            active_routes, encode_table, decode_table, 0.0
        )
        return Follower(
            reader, active_routes, route_replication, registry, EvacuatedDomains(), 0.0
        ), registry

    def test_the_targets_of_a_peer_are_adopted(self) -> None:
        source_host, source_registry = self.make(LostPlatform())
        source_registry.put(target("a"))
        source_host.history.reset(at(7))
        source = RegistrySource(
            TIMES, source_host, source_registry, ActiveRoutes(), EvacuatedDomains()
        )
        active_routes = ActiveRoutes()
        route_replication = RouteReplication(
            active_routes, encode_table, decode_table, 0.0
        )
        peers: Any = PeersOfOne(source)
        reader = SharedReader(
            LostPlatform(),
            TIMES,
            fleet(0, 1, 1),
            peers,
            route_replication,
            active_routes,
        )
        starting_host, registry = self.make(reader)
        self.assertFalse(starting_host.knows_targets)
        self.assertTrue(starting_host.read())
        self.assertTrue(starting_host.knows_targets)
        self.assertEqual(registry.targets, (target("a"),))

    def test_a_host_without_targets_does_not_count_as_serving(self) -> None:
        active_routes = ActiveRoutes()
        active_routes.adopt(table(4, route()), "peer", 0.0)
        self.assertEqual(ServableRoutes(active_routes, lambda: False).version, 0)
        self.assertEqual(ServableRoutes(active_routes, lambda: True).version, 4)


class EvacuationsOfASourceTest(unittest.TestCase):
    """Each push has all evacuations, so a change that was missed is made good."""

    def setUp(self) -> None:
        self.source_evacuated = EvacuatedDomains()
        self.evacuated = EvacuatedDomains()
        source_host, registry = StartInAnOutageTest().make(LostPlatform())
        source_host.history.reset(at(7))
        peers: Any = PeersOfOne(
            RegistrySource(
                TIMES, source_host, registry, ActiveRoutes(), self.source_evacuated
            )
        )
        active_routes = ActiveRoutes()
        route_replication = RouteReplication(
            active_routes, encode_table, decode_table, 0.0
        )
        reader = SharedReader(
            LostPlatform(),
            TIMES,
            fleet(0, 1, 1),
            peers,
            route_replication,
            active_routes,
        )
        self.follower = Follower(
            reader,
            active_routes,
            route_replication,
            TargetRegistry(),
            self.evacuated,
            0.0,
        )

    def test_a_host_that_starts_knows_them_before_it_knows_targets(self) -> None:
        self.source_evacuated.apply((Evacuation(LOCAL_DOMAIN, at(3), True),), 0.0)
        self.assertTrue(self.follower.read())
        self.assertTrue(self.evacuated.is_evacuated(LOCAL_DOMAIN))

    def test_a_removal_that_was_missed_is_made_good(self) -> None:
        self.evacuated.apply((Evacuation(LOCAL_DOMAIN, at(3), True),), 0.0)
        self.assertTrue(self.follower.read())
        self.assertFalse(self.evacuated.is_evacuated(LOCAL_DOMAIN))


class SourceBehindTest(VirtualTimeTestCase):
    """Guards against an evacuation that ends on a host which reads ahead of its source.

    The source was cut off from the platform a moment ago, so its last answer is recent
    enough, but it was read before the order.
    """

    def test_a_list_of_before_the_order_does_not_end_it(self) -> None:
        order = Evacuation(LOCAL_DOMAIN, at(15), True)
        platform = LostPlatform()
        batch = PublicationBatch((), at(20), evacuations=(order,))
        platform.read_all = lambda: Success(batch)  # type: ignore[method-assign]
        routes, registry = ActiveRoutes(), TargetRegistry()
        replication = RouteReplication(routes, encode_table, decode_table, 0.0)
        source_host = Follower(
            LostPlatform(),
            routes,
            replication,
            registry,
            EvacuatedDomains(),
            clock.monotonic_s(),
        )
        source_host.history.reset(at(10))
        peers: Any = PeersOfOne(
            RegistrySource(TIMES, source_host, registry, routes, EvacuatedDomains())
        )
        # The other host is the larger one, so it is the source.
        reader = SharedReader(
            platform, TIMES, fleet(0, 1, 2), peers, replication, routes
        )
        evacuated = EvacuatedDomains()
        follower = Follower(
            reader, routes, replication, TargetRegistry(), evacuated, 0.0
        )
        self.assertTrue(follower.read())
        self.assertTrue(evacuated.is_evacuated(LOCAL_DOMAIN))
        self.assertTrue(follower.read())
        self.assertTrue(evacuated.is_evacuated(LOCAL_DOMAIN))


class ColdTargetsOfASourceTest(unittest.TestCase):
    """Guards against hosts that take a cold target of a peer for a warm one."""

    def test_a_push_has_the_time_that_is_left(self) -> None:
        cold = ColdTargets()
        source_host, registry = StartInAnOutageTest().make(LostPlatform())
        source_host.history.reset(at(7))
        now_s = clock.monotonic_s()
        records = tuple(replace(target(n), cold_left_ms=4_000) for n in ("a", "b"))
        registry.put(*records)
        cold.record_published(records[:1], now_s)
        source = RegistrySource(
            TIMES, source_host, registry, ActiveRoutes(), EvacuatedDomains(), cold
        )
        push = source.reply_to(RegistryPull(ExchangeId("e"), None))
        left_ms = {record.target: record.cold_left_ms for record in push.records}
        self.assertGreater(left_ms[TargetId("a")] or 0, 3_000)
        # The coldness that its entry told of is over.
        self.assertEqual(left_ms[TargetId("b")], 0)


class CuttablePlatform:
    """The platform as seen by one host, whose connection can be cut.

    Args:
        times: The timeouts of a watch call.
        changes: The changes that all hosts read, at revision 2.
    """

    def __init__(self, times: ReadingTimes, changes: list[TargetWithdrawn]) -> None:
        self._times = times
        self._changes = changes
        self.is_cut = False

    def read_all(self) -> Result[PublicationBatch, Refusal]:
        """Returns the first target."""
        return Success(PublicationBatch((TargetPublished(target("a")),), at(1)))

    def read_changes(
        self, position: Position
    ) -> Result[PublicationBatch | HistoryLost, Refusal]:
        """Waits for changes as a watch call does, until its timeout if it is cut."""
        began_s = clock.monotonic_s()
        while not self.is_cut and clock.monotonic_s() < began_s + self._times.watch_s:
            if self._changes and position == at(1):
                return Success(PublicationBatch(tuple(self._changes), at(2)))
            tasks.sleep(0.01)
        if not self.is_cut:
            return Success(PublicationBatch((), position))
        tasks.sleep(began_s + self._times.watch_timeout_s - clock.monotonic_s())
        return Failure(unreachable("store", "timeout", "Wait."))


class StillPlatform:
    """A platform that returns at once what a test has set.

    Attributes:
        reads: How often it was read.
    """

    def __init__(self) -> None:
        self.everything = PublicationBatch((), at(0))
        self.changes: PublicationBatch | HistoryLost | None = None
        self.reads = 0

    def fail(self) -> None:
        """Makes the next reads of changes fail."""
        self.changes = None

    def read_all(self) -> Result[PublicationBatch, Refusal]:
        """Returns the result for everything."""
        self.reads += 1
        return Success(self.everything)

    def read_changes(
        self, position: Position
    ) -> Result[PublicationBatch | HistoryLost, Refusal]:
        """Returns the result for changes, or a failure if there is none."""
        self.reads += 1
        if self.changes is None:
            return Failure(unreachable("store", "timeout", "Wait."))
        return Success(self.changes)


def published(*names: str) -> tuple[TargetPublished, ...]:
    """Returns the entries of ready targets."""
    return tuple(TargetPublished(target(name)) for name in names)


class CutReaderTest(VirtualTimeTestCase):
    """All hosts notice in time that a target leaves while their reader is cut off.

    Guards against waits that add up over the levels of the tree when the reader loses
    the platform and a target leaves just after.
    """

    def make(self, reader: Any) -> tuple[Follower, TargetRegistry]:
        """Returns a follower that uses a reader, and its registry."""
        active_routes, registry = ActiveRoutes(), TargetRegistry()
        route_replication = RouteReplication(
            active_routes, encode_table, decode_table, clock.monotonic_s()
        )
        host = Follower(
            reader,
            active_routes,
            route_replication,
            registry,
            EvacuatedDomains(),
            clock.monotonic_s(),
        )
        return host, registry

    def make_follower(
        self, times: ReadingTimes, direct: CuttablePlatform, source: RegistrySource
    ) -> tuple[Follower, TargetRegistry]:
        """Returns a host that pulls from a source."""
        peers: Any = PeersOfOne(source)
        # Host 0 is behind host 1 in the order of readers.
        roster = fleet(0, 1, 2)
        active_routes, now_s = ActiveRoutes(), clock.monotonic_s()
        route_replication = RouteReplication(
            active_routes, encode_table, decode_table, now_s
        )
        return self.make(
            SharedReader(
                cast(Any, direct),
                times,
                roster,
                peers,
                route_replication,
                active_routes,
            )
        )

    def measure_notice_s(self, times: ReadingTimes, cut_after_s: float) -> float:
        """Returns the seconds until the last host below a reader applies a removal."""
        changes: list[TargetWithdrawn] = []
        cut = CuttablePlatform(times, changes)
        host, registry = self.make(cut)
        self.addCleanup(tasks.spawn(host.run).stop)
        for _ in range(LEVELS):
            source = RegistrySource(
                times, host, registry, ActiveRoutes(), EvacuatedDomains()
            )
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
            self.measure_notice_s(TIMES, 0.0)
        outcomes = [vars(record).get("outcome") for record in logs.records]
        self.assertIn("not_current", outcomes)

    def test_hosts_that_reach_the_platform_notice_a_leaving_target_in_time(
        self,
    ) -> None:
        for leaving_s in (3.0, 5.0):
            for step in range(10):
                with self.subTest(leaving_s=leaving_s, step=step):
                    times = ReadingTimes(leaving_s)
                    notice_s = self.measure_notice_s(times, step * 0.17)
                    self.assertLess(notice_s, leaving_s - PAUSE_S)


class RestoredStoreTest(VirtualTimeTestCase):
    """Guards against a host that stays behind its source after a restoration.

    The source read the restored store anew, under a lower revision than that of the
    host below it, which it took for one that was ahead. So the host missed each change
    until the source had passed its revision (review/10).
    """

    def setUp(self) -> None:
        self.source_platform, self.own_platform = StillPlatform(), StillPlatform()
        source_host, source_registry = CutReaderTest().make(self.source_platform)
        self.source_host = source_host
        self.source_evacuated = EvacuatedDomains()
        self.source = RegistrySource(
            TIMES, source_host, source_registry, ActiveRoutes(), self.source_evacuated
        )
        self.host, self.registry = CutReaderTest().make_follower(
            TIMES, cast(Any, self.own_platform), self.source
        )
        for platform in (self.source_platform, self.own_platform):
            platform.everything = PublicationBatch(published("a", "b"), at(121))
        for host in (self.source_host, self.host):
            self.assertTrue(host.read())
        self.own_platform.reads = 0

    def restore_source(self, *names: str) -> None:
        """Has the source read a store that was restored with these targets."""
        self.source_platform.everything = PublicationBatch(
            published(*names), at(112, 2)
        )
        self.source_platform.changes = HistoryLost(StoreEra(2))
        self.assertTrue(self.source_host.read())

    def test_a_change_under_a_lower_revision_arrives(self) -> None:
        self.restore_source("a", "b")
        self.assertTrue(self.host.read())
        draining = replace(target("a"), state=TargetState.DRAINING)
        self.source_platform.changes = PublicationBatch(
            (TargetPublished(draining),), at(113, 2)
        )
        self.assertTrue(self.source_host.read())
        self.assertTrue(self.host.read())
        self.assertEqual(self.registry.find(draining.target), draining)
        self.assertEqual(self.host.history.position, at(113, 2))

    def test_the_store_is_read_once_for_all(self) -> None:
        """Guards against a read of everything by each host of a failure domain."""
        self.restore_source("a", "b")
        self.source_platform.changes = PublicationBatch((), at(112, 2))
        for _ in range(3):
            self.assertTrue(self.host.read())
            self.assertTrue(self.source_host.read())
        self.assertEqual(self.own_platform.reads, 0)

    def test_a_pull_that_waits_is_answered_at_once(self) -> None:
        tasks.spawn(self.restore_source, "a", "b")
        began_s = clock.monotonic_s()
        self.assertTrue(self.host.read())
        self.assertEqual(self.host.history.position, at(112, 2))
        self.assertLess(clock.monotonic_s() - began_s, TIMES.hold_s)

    def test_a_target_that_the_copy_lacks_is_lost_on_no_host(self) -> None:
        self.restore_source("a")
        self.assertTrue(self.host.read())
        now_s = clock.monotonic_s()
        self.assertEqual(len(self.registry.ready_targets(DESK, now_s)), 2)
        self.registry.expire(now_s + REREGISTRATION_S)
        self.assertEqual(self.registry.targets, (target("a"),))

    def test_a_source_of_an_earlier_era_changes_nothing(self) -> None:
        self.own_platform.everything = PublicationBatch(published("b"), at(112, 2))
        self.own_platform.changes = HistoryLost(StoreEra(2))
        self.source_platform.fail()
        self.assertFalse(self.source_host.read())
        self.assertTrue(self.host.read())
        self.assertEqual(self.host.history.position, at(112, 2))
        self.own_platform.changes = PublicationBatch((), at(112, 2))
        self.source_platform.changes = PublicationBatch((), at(130))
        self.assertTrue(self.source_host.read())
        tasks.sleep(DIRECT_READ_S)
        self.assertTrue(self.host.read())
        self.assertEqual(self.host.history.position, at(112, 2))

    def test_a_peer_of_an_earlier_release_is_read_past(self) -> None:
        """Guards against a source whose era isn't known."""
        push = self.source.reply_to(RegistryPull(ExchangeId("e"), at(121, 0)))
        self.assertTrue(push.is_full)
        self.assertEqual(push.records, ())
        self.own_platform.changes = PublicationBatch((), at(122))
        unnamed = replace(push, position=at(125, 0), is_full=False)
        with mock.patch.object(self.source, "reply_to", return_value=unnamed):
            self.assertTrue(self.host.read())
        self.assertEqual(self.host.history.position, at(122))
