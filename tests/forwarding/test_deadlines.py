"""Tests of `lavendertide.forwarding.deadlines`."""

import unittest

from lavendertide.forwarding.deadlines import (
    RESPONSE_MARGIN_MAX_S,
    RESPONSE_MARGIN_SHARE,
    response_deadlines,
)
from standins.forwarding_records import request, route


class ResponseDeadlinesTest(unittest.TestCase):
    """An answer leaves early enough to be of full use where the caller is."""

    def test_a_short_objective_keeps_a_share_for_the_way(self) -> None:
        times = response_deadlines(request(10.0), route(objective_s=0.08))
        expected_s = 10.0 + 0.08 * (1 - RESPONSE_MARGIN_SHARE)
        self.assertAlmostEqual(times.objective_at_s, expected_s)

    def test_a_new_connection_and_two_ways_fit_into_the_margin(self) -> None:
        # Three ways of 3 ms to connect and ask, one back, each up to 30% longer.
        way_s = 4 * 0.003 * 1.3
        times = response_deadlines(request(0.0), route(objective_s=0.0883))
        self.assertLess(times.objective_at_s + way_s, 0.0883)

    def test_a_long_objective_keeps_no_more_than_the_way_takes(self) -> None:
        times = response_deadlines(request(0.0), route(objective_s=5.0))
        self.assertAlmostEqual(times.objective_at_s, 5.0 - RESPONSE_MARGIN_MAX_S)

    def test_the_routes_limit_and_the_callers_patience_both_bound_it(self) -> None:
        patient = response_deadlines(request(0.0, 9.0), route(wait_max_s=1.0))
        self.assertEqual(patient.ends_at_s, 1.0)
        hasty = response_deadlines(request(0.0, 0.3), route(wait_max_s=1.0))
        self.assertLess(hasty.ends_at_s, 0.3)
