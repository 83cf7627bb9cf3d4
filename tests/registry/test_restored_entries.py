"""Tests of `lavendertide.registry.restored_entries`, through the registry."""

import unittest
from dataclasses import replace

from lavendertide.ids import Address, TargetId
from lavendertide.registry.record import TargetRecord, TargetState
from lavendertide.registry.registry import REREGISTRATION_S, TargetRegistry
from lavendertide.restoration.restorations import REWRITE_S
from standins.forwarding_records import DESK, target

A = replace(target("a"), started_at_ms=1_000)
RESTARTED = replace(A, started_at_ms=2_000, address=Address("10.0.0.9:9"))
DRAINING = replace(A, state=TargetState.DRAINING)
RESTORED_S = 100.0
SOON_S = RESTORED_S + 1.0
LATER_S = RESTORED_S + REWRITE_S


class RestoredEntriesTest(unittest.TestCase):
    """An entry that is older than what is known counts only once it is confirmed."""

    def setUp(self) -> None:
        self.registry = TargetRegistry()
        self.registry.replace([A], 0.0)

    def restore(self, *copy: TargetRecord) -> None:
        """Has the registry read the list of a restored store."""
        self.registry.record_restoration(RESTORED_S)
        self.registry.replace(copy, RESTORED_S)

    def ready(self, now_s: float) -> list[str]:
        """Returns the addresses of the targets that accept requests."""
        self.registry.expire(now_s)
        return [r.address for r in self.registry.ready_targets(DESK, now_s)]

    def test_what_the_store_confirms_in_time_counts(self) -> None:
        for known, copy in (([], A), ([DRAINING], A), ([RESTARTED], A)):
            with self.subTest(known=known):
                self.setUp()
                self.registry.replace(known, 1.0)
                before = self.ready(SOON_S)
                self.restore(copy)
                self.assertEqual(self.ready(SOON_S), before)
                self.assertEqual(self.ready(LATER_S), [A.address])

    def test_what_is_written_again_counts_at_once(self) -> None:
        self.registry.remove(A.target, 1.0)
        self.restore(A)
        self.registry.put(A)
        self.assertEqual(self.ready(SOON_S), [A.address])

    def test_a_removal_that_is_written_again_is_final(self) -> None:
        self.registry.remove(A.target, 1.0)
        self.restore(A)
        self.registry.remove(A.target, SOON_S)
        self.assertEqual(self.ready(LATER_S), [])

    def test_a_run_of_before_a_restart_that_has_left_does_not_return(self) -> None:
        self.registry.put(RESTARTED)
        self.registry.remove(A.target, 1.0)
        self.restore(A)
        self.assertEqual(self.ready(SOON_S), [])

    def test_a_restarted_target_without_start_times_is_kept(self) -> None:
        """Guards against a live run that is taken for the one that it replaced."""
        undated = replace(target("u"), started_at_ms=0)
        restarted = replace(undated, address=Address("10.0.0.8:8"))
        self.registry.put(undated)
        self.registry.put(restarted)
        self.restore(restarted)
        self.assertIn(restarted.address, self.ready(SOON_S))

    def test_a_second_restoration_gives_as_much_time(self) -> None:
        self.registry.remove(A.target, 1.0)
        self.restore(A)
        self.registry.record_restoration(LATER_S - 1.0)
        self.registry.replace([A], LATER_S - 1.0)
        self.assertEqual(self.ready(LATER_S), [])
        self.assertEqual(self.ready(LATER_S - 1.0 + REWRITE_S), [A.address])

    def test_a_list_without_a_restoration_counts_at_once(self) -> None:
        self.registry.remove(A.target, 1.0)
        self.registry.replace([A], 2.0)
        self.assertEqual(self.ready(2.0), [A.address])


class MissingEntriesTest(unittest.TestCase):
    """A target that the copy lacks has as long to register as after an outage."""

    def setUp(self) -> None:
        self.registry = TargetRegistry()
        self.registry.replace([A], 0.0)
        self.registry.record_restoration(RESTORED_S)
        self.registry.replace([], RESTORED_S)

    def test_it_is_kept_for_that_long(self) -> None:
        self.assertEqual(len(self.registry.ready_targets(DESK, SOON_S)), 1)
        self.registry.expire(RESTORED_S + REREGISTRATION_S)
        self.assertIsNone(self.registry.find(TargetId("a")))

    def test_others_are_told_that_the_store_lacks_it(self) -> None:
        self.assertEqual(self.registry.targets, (A,))
        self.assertEqual(self.registry.listed_targets, ())
