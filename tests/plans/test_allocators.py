"""Tests of `lavendertide.plans.allocators`."""

import unittest

from lavendertide.ids import DaemonId, PlanId
from lavendertide.plans.allocators import Allocators, Reach
from tests.plans.members import record

PLAN = PlanId("clerk")


class AllocatorsTest(unittest.TestCase):
    """Guards against using the grant of the wrong allocator.

    Only the first allocator that replies counts, and one that does not know the plan's
    holders must neither count before others nor appear as reached.
    """

    def setUp(self) -> None:
        self.allocators = Allocators()
        self.allocators.update_members(record(DaemonId(f"east-{n}")) for n in "abc")
        self.ranked = [member.daemon for member in self.allocators.allocators_of(PLAN)]

    def test_the_first_allocator_that_replies_counts(self) -> None:
        first, second, _ = self.ranked
        self.assertTrue(self.allocators.record_grant(second, PLAN, is_settled=True))
        self.assertTrue(self.allocators.record_grant(first, PLAN, is_settled=True))
        self.assertFalse(self.allocators.record_grant(second, PLAN, is_settled=True))

    def test_an_unsettled_allocator_ranks_behind_the_others(self) -> None:
        first, second, _ = self.ranked
        self.allocators.record_grant(second, PLAN, is_settled=True)
        self.assertFalse(self.allocators.record_grant(first, PLAN, is_settled=False))

    def test_an_unsettled_allocator_is_not_reached(self) -> None:
        first, second, third = self.ranked
        self.allocators.record_grant(first, PLAN, is_settled=False)
        self.allocators.record_grant(second, PLAN, is_settled=True)
        self.assertEqual(self.allocators.reach_of(PLAN), Reach(1, 3))
        self.allocators.record_grant(third, PLAN, is_settled=True)
        self.assertEqual(self.allocators.reach_of(PLAN), Reach(2, 3))

    def test_a_silent_allocator_is_not_reached(self) -> None:
        for daemon in self.ranked:
            self.allocators.record_grant(daemon, PLAN, is_settled=True)
        self.allocators.record_silence(self.ranked[0])
        self.assertEqual(self.allocators.reach_of(PLAN), Reach(2, 3))
