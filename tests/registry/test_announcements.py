"""Tests of `lavendertide.registry.announcements`, through the registry that uses it."""

import unittest

from lavendertide.ids import TargetId
from lavendertide.registry.announcements import LEAVING_MAX, UNDATED_LEAVING_S
from lavendertide.registry.record import TargetRecord, TargetRun
from lavendertide.registry.registry import REREGISTRATION_S, TargetRegistry
from standins.forwarding_records import DESK, target

LAST_RESORT_S = 1.5


class AnnouncementsTest(unittest.TestCase):
    """Sets up a registry with two targets of a service."""

    def setUp(self) -> None:
        self.registry = TargetRegistry(LAST_RESORT_S)
        self.put(target("a"), target("b"))

    def put(self, *records: TargetRecord) -> None:
        """Publishes targets."""
        self.registry.put(*records)

    def available(self, now_s: float) -> set[str]:
        """Returns the names of the targets that get new requests."""
        return {record.target for record in self.registry.ready_targets(DESK, now_s)}


class LeavingTest(AnnouncementsTest):
    """A run that has said that it is leaving gets nothing new, whatever is published.

    Guards against an entry that says "ready", lapses or returns while its target is
    leaving.
    """

    def setUp(self) -> None:
        super().setUp()
        self.assertTrue(self.registry.record_leaving(target("a").run, 1.0))

    def test_it_gets_nothing_while_its_entry_says_ready(self) -> None:
        self.assertEqual(self.available(1.0), {"b"})
        self.put(target("a"))
        self.assertEqual(self.available(1.1), {"b"})

    def test_it_is_new_only_once(self) -> None:
        self.assertFalse(self.registry.record_leaving(target("a").run, 1.2))

    def test_it_outlives_an_entry_that_lapses_and_returns(self) -> None:
        self.registry.record_platform_return(10.0)
        self.registry.replace([target("b")], 10.0)
        self.registry.expire(10.0 + REREGISTRATION_S)
        self.put(target("a"))
        self.assertEqual(self.available(60.0), {"b"})

    def test_a_later_run_under_the_same_name_is_used(self) -> None:
        self.put(target("a", started_at_ms=2))
        self.assertEqual(self.available(1.1), {"a", "b"})

    def test_without_a_start_time_it_ends_after_a_while(self) -> None:
        self.put(target("c", started_at_ms=0))
        self.registry.record_leaving(target("c", started_at_ms=0).run, 2.0)
        self.assertEqual(self.available(2.0 + UNDATED_LEAVING_S - 0.1), {"b"})
        self.assertEqual(self.available(2.0 + UNDATED_LEAVING_S), {"b", "c"})

    def test_the_last_targets_of_a_service_are_used_for_a_short_time(self) -> None:
        self.registry.record_leaving(target("b").run, 2.0)
        self.assertEqual(self.available(2.1), {"a", "b"})
        self.assertEqual(self.available(1.0 + LAST_RESORT_S), {"b"})
        self.assertEqual(self.available(2.0 + LAST_RESORT_S), set())

    def test_the_oldest_of_too_many_are_forgotten(self) -> None:
        for number in range(LEAVING_MAX):
            run = TargetRun(TargetId(f"other-{number}"), 1)
            self.registry.record_leaving(run, 3.0)
        self.assertEqual(self.available(3.0), {"a", "b"})

    def test_only_ready_entries_are_reported_as_unlisted(self) -> None:
        self.assertEqual(self.registry.unlisted_leaving(1.0), (target("a").run,))
        self.registry.remove(TargetId("a"), 1.1)
        self.assertEqual(self.registry.unlisted_leaving(1.1), ())


class PauseTest(AnnouncementsTest):
    """A full target gets nothing from this host for as long as it has said."""

    def test_it_gets_nothing_until_the_pause_is_over(self) -> None:
        self.registry.record_pause(target("a").run, 3.0, 1.0)
        self.assertEqual(self.available(2.9), {"b"})
        self.assertEqual(self.available(3.0), {"a", "b"})

    def test_a_shorter_pause_does_not_end_a_longer_one(self) -> None:
        self.registry.record_pause(target("a").run, 3.0, 1.0)
        self.registry.record_pause(target("a").run, 1.5, 1.1)
        self.assertEqual(self.available(2.9), {"b"})

    def test_a_pausing_target_outlives_a_lapsed_entry(self) -> None:
        self.registry.record_pause(target("a").run, 5.0, 1.0)
        self.registry.remove(TargetId("a"), 1.1)
        self.put(target("a"))
        self.assertEqual(self.available(4.9), {"b"})

    def test_a_later_run_is_used_at_once(self) -> None:
        self.registry.record_pause(target("a").run, 5.0, 1.0)
        self.put(target("a", started_at_ms=2))
        self.assertEqual(self.available(1.1), {"a", "b"})

    def test_a_service_is_available_again_when_its_first_pause_ends(self) -> None:
        self.assertIsNone(self.registry.pause_end_s(DESK, 1.0))
        self.registry.record_pause(target("a").run, 3.0, 1.0)
        self.registry.record_pause(target("b").run, 2.0, 1.0)
        self.assertEqual(self.available(1.5), set())
        self.assertEqual(self.registry.pause_end_s(DESK, 1.5), 2.0)

    def test_a_leaving_target_is_used_while_the_others_pause(self) -> None:
        self.registry.record_leaving(target("a").run, 1.0)
        self.registry.record_pause(target("b").run, 9.0, 1.0)
        self.assertEqual(self.available(1.1), {"a"})
        self.assertEqual(self.available(1.0 + LAST_RESORT_S), set())
