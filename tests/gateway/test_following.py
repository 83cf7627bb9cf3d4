"""Tests of the follower, of reloading settings and of non-blocking log output."""

import os
import unittest
from dataclasses import replace

from returns.result import Failure, Result, Success

from lavendertide.encodings.routes_json import decode_table, encode_table
from lavendertide.errors import Refusal, unreachable
from lavendertide.evacuation.evacuated_domains import EvacuatedDomains
from lavendertide.forwarding.budget import RetryAllowance
from lavendertide.gateway.follower import Follower
from lavendertide.gateway.options import GatewayOptions
from lavendertide.gateway.publications import (
    HistoryLost,
    PublicationBatch,
    RoutesPublished,
    TargetPublished,
    TargetWithdrawn,
)
from lavendertide.gateway.reading_times import ReadingTimes
from lavendertide.gateway.settings_reloader import SettingsReloader
from lavendertide.ids import Address, FailureDomain, HostId, Region, StoreEra, TargetId
from lavendertide.registry.registry import TargetRegistry
from lavendertide.restoration.position import Position
from lavendertide.routes.active_routes import ActiveRoutes
from lavendertide.routes.replication import RouteReplication
from lavendertide.routes.route import Service
from lavendertide.runtime import clock, output
from lavendertide.warmup.cold_targets import ColdTargets
from standins.forwarding_records import DESK, at, route, table, target

LOST = Failure(unreachable("store", "timeout", "Wait."))
SOMEWHERE = Address("10.0.0.1:1")
OPTIONS = GatewayOptions(
    host=HostId("m1"),
    region=Region("north"),
    failure_domain=FailureDomain("a"),
    callers=SOMEWHERE,
    readiness=SOMEWHERE,
    directory=SOMEWHERE,
    peers=SOMEWHERE,
    metrics=SOMEWHERE,
    seeds=(),
    fleet_key="k",
    platform=SOMEWHERE,
    reading=ReadingTimes(3.0),
    retries=RetryAllowance(0.2, 56.0, 10.0),
    grace_s=6.0,
    address_lifetime_s=5.0,
    processor_share=1.0,
)


class ScriptedReader:
    """A platform that returns the results that a test has set."""

    def __init__(self) -> None:
        self.everything: Result[PublicationBatch, Refusal] = LOST
        self.changes: Result[PublicationBatch | HistoryLost, Refusal] = LOST
        self.requested_positions: list[Position] = []

    def read_all(self) -> Result[PublicationBatch, Refusal]:
        """Returns the result for everything."""
        return self.everything

    def read_changes(
        self, position: Position
    ) -> Result[PublicationBatch | HistoryLost, Refusal]:
        """Returns the result for changes, and records the position."""
        self.requested_positions.append(position)
        return self.changes


class FollowerCase(unittest.TestCase):
    """A host that has read nothing yet."""

    def setUp(self) -> None:
        self.reader = ScriptedReader()
        self.active_routes = ActiveRoutes()
        self.registry = TargetRegistry()
        self.make_follower(ColdTargets())
        published = (RoutesPublished(table(3, route())), TargetPublished(target("a")))
        self.reader.everything = Success(PublicationBatch(published, at(7)))

    def make_follower(self, cold: ColdTargets) -> None:
        """Replaces the follower by one that has read nothing yet."""
        self.follower = Follower(
            self.reader,
            self.active_routes,
            RouteReplication(self.active_routes, encode_table, decode_table, 0.0),
            self.registry,
            EvacuatedDomains(),
            0.0,
            cold,
        )

    def ready_names(self) -> set[str]:
        """Returns the names of the targets that accept requests."""
        return {record.target for record in self.registry.ready_targets(DESK, 0.0)}


class FollowerTest(FollowerCase):
    """Routes and targets follow the platform, and stay while it is unreachable."""

    def test_everything_is_read_first_and_then_the_changes(self) -> None:
        self.assertTrue(self.follower.read())
        self.assertEqual((self.active_routes.version, self.ready_names()), (3, {"a"}))
        changes = (TargetPublished(target("b")), TargetWithdrawn(TargetId("a")))
        self.reader.changes = Success(PublicationBatch(changes, at(9)))
        self.follower.read()
        self.follower.read()
        self.assertEqual(self.reader.requested_positions, [at(7), at(9)])
        self.assertEqual(self.ready_names(), {"b"})

    def test_the_coldness_of_published_targets_is_known(self) -> None:
        cold = ColdTargets(lambda name: Service(name, 24, 6.0, 10.0))
        self.make_follower(cold)
        self.follower.read()
        started = (
            TargetPublished(target("b")),
            TargetPublished(replace(target("c"), cold_left_ms=5_000)),
        )
        self.reader.changes = Success(PublicationBatch(started, at(9)))
        self.follower.read()
        now_s = clock.monotonic_s()
        known = [cold.is_cold(target(name), now_s) for name in "abc"]
        self.assertEqual(known, [False, True, True])

    def test_read_state_stays_in_force_while_the_platform_is_unreachable(self) -> None:
        self.follower.read()
        self.reader.changes = LOST
        with self.assertLogs("lavendertide.gateway.follower", "WARNING") as logs:
            for _ in range(5):
                self.assertFalse(self.follower.read())
        self.assertEqual(len(logs.output), 1)
        self.assertEqual((self.active_routes.version, self.ready_names()), (3, {"a"}))

    def test_everything_is_read_again_after_lost_history(self) -> None:
        self.follower.read()
        self.reader.changes = Success(HistoryLost(StoreEra(1)))
        self.reader.everything = Success(
            PublicationBatch((TargetPublished(target("b")),), at(20))
        )
        self.assertTrue(self.follower.read())
        self.assertEqual(self.ready_names(), {"b"})

    def test_entries_that_lapsed_in_an_outage_are_kept_at_first(self) -> None:
        self.follower.read()
        self.reader.changes = LOST
        self.follower.read()
        self.reader.changes = Success(
            PublicationBatch((TargetWithdrawn(TargetId("a")),), at(9))
        )
        self.follower.read()
        self.assertEqual(self.ready_names(), {"a"})


class EraTest(FollowerCase):
    """What a host does with answers of other eras than the known one."""

    def restore(self, era: int, *names: str) -> None:
        """Has the platform return from a copy with these targets."""
        published = tuple(TargetPublished(target(name)) for name in names)
        self.reader.changes = Success(HistoryLost(StoreEra(era)))
        self.reader.everything = Success(PublicationBatch(published, at(5, era)))

    def test_an_answer_of_an_earlier_era_changes_nothing(self) -> None:
        self.restore(1, "b")
        self.reader.everything = Success(
            PublicationBatch((TargetPublished(target("a")),), at(7, 2))
        )
        self.assertTrue(self.follower.read())
        with self.assertLogs("lavendertide.gateway.follower", "WARNING") as logs:
            self.assertFalse(self.follower.read())
        self.assertIn("era 1", vars(logs.records[0])["problem"])
        self.assertEqual(self.ready_names(), {"a"})
        self.assertTrue(self.follower.is_platform_lost)

    def test_a_list_of_an_earlier_era_changes_nothing(self) -> None:
        """Guards against a late answer to a read of everything."""
        self.follower.read()
        self.restore(3, "a")
        self.reader.everything = Success(PublicationBatch((), at(9, 2)))
        self.assertFalse(self.follower.read())
        self.assertEqual(self.ready_names(), {"a"})

    def test_a_peer_that_has_read_less_far_changes_nothing(self) -> None:
        """Guards against targets that left and return with a peer's older list."""
        self.follower.read()
        self.reader.changes = Success(HistoryLost(StoreEra(1)))
        older = (TargetPublished(target("gone")),)
        for position in (at(6), at(9, 0)):
            with self.subTest(position=position):
                self.reader.everything = Success(
                    PublicationBatch(older, position, is_from_peer=True)
                )
                self.assertFalse(self.follower.read())
                self.assertEqual(self.ready_names(), {"a"})
        newer = (TargetPublished(target("b")),)
        self.reader.everything = Success(
            PublicationBatch(newer, at(8), is_from_peer=True)
        )
        self.assertTrue(self.follower.read())
        self.assertEqual(self.ready_names(), {"b"})

    def test_targets_stay_known_while_the_restored_store_refuses(self) -> None:
        """Guards against a host that callers lose while it can't read everything."""
        self.follower.read()
        self.restore(2, "a")
        self.reader.everything = LOST
        for _ in range(3):
            self.assertFalse(self.follower.read())
        self.assertTrue(self.follower.knows_targets)
        self.assertEqual(self.ready_names(), {"a"})
        # The changes since the old position aren't asked for again.
        self.assertEqual(self.reader.requested_positions, [at(7)])

    def test_two_restorations_in_quick_succession(self) -> None:
        self.follower.read()
        for era in (2, 4):
            self.restore(era, "a", "b")
            self.assertTrue(self.follower.read())
        self.assertEqual(self.ready_names(), {"a", "b"})
        self.assertEqual(self.follower.history.position, at(5, 4))


class RestoredColdnessTest(FollowerCase):
    """Guards against a warm target that an old entry makes cold again."""

    def test_the_copy_says_nothing_of_known_runs(self) -> None:
        cold = ColdTargets(lambda name: Service(name, 24, 6.0, 10.0))
        self.make_follower(cold)
        self.reader.everything = Success(
            PublicationBatch(
                (
                    TargetPublished(target("a", started_at_ms=1)),
                    TargetPublished(target("b", started_at_ms=9)),
                ),
                at(7),
            )
        )
        self.follower.read()
        copy = (
            TargetPublished(replace(target("a", started_at_ms=1), cold_left_ms=5_000)),
            TargetPublished(replace(target("b", started_at_ms=2), cold_left_ms=5_000)),
            TargetPublished(replace(target("c"), cold_left_ms=5_000)),
        )
        self.reader.changes = Success(HistoryLost(StoreEra(2)))
        self.reader.everything = Success(PublicationBatch(copy, at(5, 2)))
        self.follower.read()
        again = (TargetPublished(target("b", started_at_ms=9)),)
        self.reader.changes = Success(PublicationBatch(again, at(6, 2)))
        self.follower.read()
        now_s = clock.monotonic_s()
        records = (target("a"), target("b", started_at_ms=9), target("c"))
        known = [cold.is_cold(record, now_s) for record in records]
        self.assertEqual(known, [False, False, True])


class SettingsReloaderTest(unittest.TestCase):
    """Changed settings are applied, and invalid ones refused."""

    def setUp(self) -> None:
        self.read: Result[GatewayOptions, str] = Success(OPTIONS)
        self.applied: list[GatewayOptions] = []
        self.settings_reloader = SettingsReloader(
            OPTIONS, lambda: self.read, self.applied.append
        )

    def test_nothing_is_done_while_nothing_changes(self) -> None:
        self.settings_reloader.reload()
        self.assertEqual(self.applied, [])

    def test_a_change_is_applied_once(self) -> None:
        changed = replace(OPTIONS, seeds=(SOMEWHERE,))
        self.read = Success(changed)
        self.settings_reloader.reload()
        self.settings_reloader.reload()
        self.assertEqual(self.applied, [changed])

    def test_settings_that_cannot_be_read_change_nothing_and_are_logged_once(
        self,
    ) -> None:
        self.read = Failure("Add node.")
        with self.assertLogs(
            "lavendertide.gateway.settings_reloader", "WARNING"
        ) as logs:
            self.settings_reloader.reload()
            self.settings_reloader.reload()
        self.assertEqual(len(logs.output), 1)
        self.assertEqual(self.applied, [])


class OutputTest(unittest.TestCase):
    """Writing the log never blocks the process, even if nothing reads the pipe."""

    def test_a_write_to_a_full_pipe_returns_at_once(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        output.make_non_blocking(writer)
        while output.write_now(writer, b"x" * 65_536):
            pass
        self.assertEqual(output.write_now(writer, b"x"), 0)
