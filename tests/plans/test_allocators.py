"""Tests of which allocators of a plan count."""

import unittest

from lavendertide.ids import DaemonId, PlanId
from lavendertide.plans.allocators import Allocators, Reach
from tests.plans.members import record

PLAN = PlanId("clerk")


class AllocatorsTest(unittest.TestCase):
    """Grants count by rank and by whether their allocator knows the holders."""

    def setUp(self) -> None:
        self.allocators = Allocators()
        self.allocators.update_members(record(DaemonId(f"east-{n}")) for n in "abc")
        self.ranked = [member.daemon for member in self.allocators.allocators_of(PLAN)]

    def test_the_first_one_that_answers_counts(self) -> None:
        first, second, _ = self.ranked
        self.assertTrue(self.allocators.note_grant(second, PLAN, is_settled=True))
        self.assertTrue(self.allocators.note_grant(first, PLAN, is_settled=True))
        self.assertFalse(self.allocators.note_grant(second, PLAN, is_settled=True))

    def test_one_that_does_not_know_the_holders_goes_behind(self) -> None:
        first, second, _ = self.ranked
        self.allocators.note_grant(second, PLAN, is_settled=True)
        self.assertFalse(self.allocators.note_grant(first, PLAN, is_settled=False))

    def test_one_that_does_not_know_the_holders_is_not_reached(self) -> None:
        first, second, third = self.ranked
        self.allocators.note_grant(first, PLAN, is_settled=False)
        self.allocators.note_grant(second, PLAN, is_settled=True)
        self.assertEqual(self.allocators.reach_of(PLAN), Reach(1, 3))
        self.allocators.note_grant(third, PLAN, is_settled=True)
        self.assertEqual(self.allocators.reach_of(PLAN), Reach(2, 3))

    def test_a_silent_one_is_not_reached(self) -> None:
        for daemon in self.ranked:
            self.allocators.note_grant(daemon, PLAN, is_settled=True)
        self.allocators.note_silence(self.ranked[0])
        self.assertEqual(self.allocators.reach_of(PLAN), Reach(2, 3))
