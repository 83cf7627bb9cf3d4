"""Tests of `lavendertide.targets.budget`."""

import unittest

from hypothesis import given, settings, strategies as st

from lavendertide.targets.budget import (
    CONNECTIONS_MIN,
    HOLDERS_MAX,
    connection_budget,
)


class ConnectionBudgetTest(unittest.TestCase):
    """Guards against holders of two generations that together exceed the cap."""

    @given(st.integers(1, 64), st.integers(2, 500))
    def test_all_holders_together_keep_the_cap(
        self, slots: int, connections: int
    ) -> None:
        budget = connection_budget(slots, connections)
        self.assertLessEqual(
            HOLDERS_MAX * (budget.working + budget.control), connections
        )
        self.assertLessEqual(budget.working, slots)

    def test_present_fleet_sizes_get_a_connection_for_each_slot(self) -> None:
        for slots, connections in ((2, 25), (6, 110), (3, 40)):
            self.assertEqual(connection_budget(slots, connections).working, slots)

    @settings(derandomize=True)
    @given(st.integers(1, 64), st.integers(CONNECTIONS_MIN, 500))
    def test_every_published_cap_leaves_one_to_work_and_one_for_control(
        self, slots: int, connections: int
    ) -> None:
        budget = connection_budget(slots, connections)
        self.assertGreaterEqual(budget.working, 1)
        self.assertEqual(budget.control, 1)

    def test_a_cap_below_the_minimum_allows_no_control_connection(self) -> None:
        self.assertEqual(connection_budget(1, CONNECTIONS_MIN - 1).control, 0)
        self.assertEqual(connection_budget(1, HOLDERS_MAX - 1).working, 0)
