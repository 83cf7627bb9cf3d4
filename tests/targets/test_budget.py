"""Tests of `lavendertide.targets.budget`."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lavendertide.targets.budget import HOLDERS_MAX, connection_budget


class ConnectionBudgetTest(unittest.TestCase):
    """Two generations of two holders stay within a target's cap."""

    @given(st.integers(1, 64), st.integers(2, 500))
    def test_all_holders_together_keep_the_cap(
        self, slots: int, connections: int
    ) -> None:
        budget = connection_budget(slots, connections)
        self.assertLessEqual(
            HOLDERS_MAX * (budget.working + budget.control), connections
        )
        self.assertLessEqual(budget.working, slots)

    def test_the_sizes_of_today_get_a_connection_for_each_slot(self) -> None:
        for slots, connections in ((2, 25), (6, 110), (3, 40)):
            self.assertEqual(connection_budget(slots, connections).working, slots)
