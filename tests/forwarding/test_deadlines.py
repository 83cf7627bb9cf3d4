"""Tests of `lavendertide.forwarding.deadlines`."""

import unittest

from lavendertide.forwarding.deadlines import (
    RESPONSE_MARGIN_MAX_S,
    RESPONSE_MARGIN_SHARE,
    response_deadlines,
)
from standins.forwarding_records import request, route


class ResponseDeadlinesTest(unittest.TestCase):
    """A response leaves early enough to reach its caller within the objective."""

    def test_a_short_objective_reserves_a_share_for_the_network(self) -> None:
        times = response_deadlines(request(10.0), route(objective_s=0.08))
        expected_s = 10.0 + 0.08 * (1 - RESPONSE_MARGIN_SHARE)
        self.assertAlmostEqual(times.objective_at_s, expected_s)

    def test_connecting_request_and_response_fit_into_the_margin(self) -> None:
        # Three one-way delays of 3 ms to connect and send the request and one for the
        # response, each up to 30% longer.
        one_way_total_s = 4 * 0.003 * 1.3
        times = response_deadlines(request(0.0), route(objective_s=0.0883))
        self.assertLess(times.objective_at_s + one_way_total_s, 0.0883)

    def test_the_margin_of_a_long_objective_is_bounded(self) -> None:
        times = response_deadlines(request(0.0), route(objective_s=5.0))
        self.assertAlmostEqual(times.objective_at_s, 5.0 - RESPONSE_MARGIN_MAX_S)

    def test_the_route_limit_and_the_caller_timeout_bound_the_end(self) -> None:
        without_timeout = response_deadlines(request(0.0, 9.0), route(wait_max_s=1.0))
        self.assertEqual(without_timeout.ends_at_s, 1.0)
        with_timeout = response_deadlines(request(0.0, 0.3), route(wait_max_s=1.0))
        self.assertLess(with_timeout.ends_at_s, 0.3)
