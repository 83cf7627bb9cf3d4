"""Tests of what a gateway follows: the platform, its settings, its log's reader."""

import os
import unittest
from dataclasses import replace

from returns.result import Failure, Result, Success

from lavendertide.encodings.routes_json import decode_table, encode_table
from lavendertide.errors import Refusal, unreachable
from lavendertide.forwarding.budget import RetryAllowance
from lavendertide.gateway.follower import (
    Follower,
    HistoryLost,
    PublicationBatch,
    RoutesPublished,
    TargetPublished,
    TargetWithdrawn,
)
from lavendertide.gateway.options import GatewayOptions
from lavendertide.gateway.reading_times import ReadingTimes
from lavendertide.gateway.settings_reloader import SettingsReloader
from lavendertide.ids import Address, FailureDomain, HostId, Region, TargetId
from lavendertide.registry.registry import TargetRegistry
from lavendertide.routes.active_routes import ActiveRoutes
from lavendertide.routes.replication import RouteReplication
from lavendertide.runtime import output
from standins.forwarding_records import DESK, route, table, target

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
    """A platform that answers what a test has set."""

    def __init__(self) -> None:
        self.everything: Result[PublicationBatch, Refusal] = LOST
        self.changes: Result[PublicationBatch | HistoryLost, Refusal] = LOST
        self.asked_after: list[int] = []

    def read_all(self) -> Result[PublicationBatch, Refusal]:
        """Returns everything."""
        return self.everything

    def read_changes(
        self, revision: int
    ) -> Result[PublicationBatch | HistoryLost, Refusal]:
        """Returns the changes."""
        self.asked_after.append(revision)
        return self.changes


class FollowerTest(unittest.TestCase):
    """Routes and targets follow the platform, and stay while it is away."""

    def setUp(self) -> None:
        self.reader = ScriptedReader()
        self.book = ActiveRoutes()
        self.registry = TargetRegistry()
        spreading = RouteReplication(self.book, encode_table, decode_table, 0.0)
        self.follower = Follower(self.reader, self.book, spreading, self.registry, 0.0)
        published = (RoutesPublished(table(3, route())), TargetPublished(target("a")))
        self.reader.everything = Success(PublicationBatch(published, 7))

    def ready(self) -> set[str]:
        """Returns the names of the targets that take requests."""
        return {record.target for record in self.registry.ready_targets(DESK, 0.0)}

    def test_everything_is_read_first_and_then_the_changes(self) -> None:
        self.assertTrue(self.follower.read())
        self.assertEqual((self.book.version, self.ready()), (3, {"a"}))
        changes = (TargetPublished(target("b")), TargetWithdrawn(TargetId("a")))
        self.reader.changes = Success(PublicationBatch(changes, 9))
        self.follower.read()
        self.follower.read()
        self.assertEqual(self.reader.asked_after, [7, 9])
        self.assertEqual(self.ready(), {"b"})

    def test_what_was_read_stays_while_the_platform_is_away(self) -> None:
        self.follower.read()
        self.reader.changes = LOST
        with self.assertLogs("lavendertide.gateway.follower", "WARNING") as logs:
            for _ in range(5):
                self.assertFalse(self.follower.read())
        self.assertEqual(len(logs.output), 1)
        self.assertEqual((self.book.version, self.ready()), (3, {"a"}))

    def test_lost_history_is_made_up_for_by_reading_everything(self) -> None:
        self.follower.read()
        self.reader.changes = Success(HistoryLost())
        self.reader.everything = Success(
            PublicationBatch((TargetPublished(target("b")),), 20)
        )
        self.assertTrue(self.follower.read())
        self.assertEqual(self.ready(), {"b"})

    def test_entries_that_lapsed_meanwhile_are_kept_for_a_moment(self) -> None:
        self.follower.read()
        self.reader.changes = LOST
        self.follower.read()
        self.reader.changes = Success(
            PublicationBatch((TargetWithdrawn(TargetId("a")),), 9)
        )
        self.follower.read()
        self.assertEqual(self.ready(), {"a"})


class ReloadingTest(unittest.TestCase):
    """Changed settings are taken in, and bad ones refused."""

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

    def test_settings_that_cannot_be_read_change_nothing_and_are_told_once(
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
    """A reader that has stopped reading never holds up the process."""

    def test_a_full_pipe_takes_nothing_and_does_not_wait(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        output.make_non_blocking(writer)
        while output.write_now(writer, b"x" * 65_536):
            pass
        self.assertEqual(output.write_now(writer, b"x"), 0)
