"""Tests of `lavendertide.forwarding.deadlines`."""

import unittest
from dataclasses import replace

from lavendertide.forwarding.deadlines import (
    DELAY_VARIATION,
    KNOWN_MARGIN_SHARE_MAX,
    PROCESSING_S,
    RESPONSE_MARGIN_MAX_S,
    RESPONSE_MARGIN_SHARE,
    response_deadlines,
)
from standins.forwarding_records import request, route


class ResponseDeadlinesTest(unittest.TestCase):
    """A response leaves early enough to reach its caller within the objective."""

    def test_a_short_objective_reserves_a_share_for_the_network(self) -> None:
        times = response_deadlines(request(10.0), route(objective_s=0.08), None)
        expected_s = 10.0 + 0.08 * (1 - RESPONSE_MARGIN_SHARE)
        self.assertAlmostEqual(times.objective_at_s, expected_s)

    def test_connecting_request_and_response_fit_into_the_margin(self) -> None:
        # Three one-way delays of 3 ms to connect and send the request and one for the
        # response, each up to 30% longer.
        one_way_total_s = 4 * 0.003 * 1.3
        times = response_deadlines(request(0.0), route(objective_s=0.0883), None)
        self.assertLess(times.objective_at_s + one_way_total_s, 0.0883)

    def test_the_margin_of_a_long_objective_is_bounded(self) -> None:
        times = response_deadlines(request(0.0), route(objective_s=5.0), None)
        self.assertAlmostEqual(times.objective_at_s, 5.0 - RESPONSE_MARGIN_MAX_S)

    def test_the_route_limit_and_the_caller_timeout_bound_the_end(self) -> None:
        without_timeout = response_deadlines(
            request(0.0, 9.0), route(wait_max_s=1.0), None
        )
        self.assertEqual(without_timeout.ends_at_s, 1.0)
        with_timeout = response_deadlines(
            request(0.0, 0.3), route(wait_max_s=1.0), None
        )
        self.assertLess(with_timeout.ends_at_s, 0.3)


class KnownCallerTimeTest(unittest.TestCase):
    """The objective counts from the caller's first moment, if that is known.

    Guards against partial responses that leave long before they have to, and against
    late ones to callers that have looked up an address and opened a connection first.
    """

    def margin_s(self, used_s: float | None, round_trip_s: float | None) -> float:
        """Returns what is reserved of an objective of 90 ms."""
        caller_request = replace(request(10.0, 10.6), round_trip_s=round_trip_s)
        times = response_deadlines(caller_request, route(objective_s=0.09), used_s)
        return 10.0 + 0.09 - times.objective_at_s

    def test_a_caller_with_an_open_connection_needs_only_the_way(self) -> None:
        expected_s = DELAY_VARIATION * 0.006 + PROCESSING_S
        self.assertAlmostEqual(self.margin_s(0.0, 0.006), expected_s)

    def test_what_the_caller_has_used_is_reserved(self) -> None:
        expected_s = 0.02 + DELAY_VARIATION * 0.015 + PROCESSING_S
        self.assertAlmostEqual(self.margin_s(0.02, 0.015), expected_s)

    def test_the_reserve_is_bounded(self) -> None:
        self.assertAlmostEqual(self.margin_s(0.09, 0.2), KNOWN_MARGIN_SHARE_MAX * 0.09)

    def test_without_either_the_share_of_the_objective_is_reserved(self) -> None:
        expected_s = RESPONSE_MARGIN_SHARE * 0.09
        self.assertAlmostEqual(self.margin_s(None, 0.006), expected_s)
        self.assertAlmostEqual(self.margin_s(0.0, None), expected_s)

    def test_the_response_arrives_before_the_caller_leaves(self) -> None:
        caller_request = replace(request(0.0, 0.3), round_trip_s=0.04)
        times = response_deadlines(caller_request, route(wait_max_s=1.0), 0.0)
        expected_s = 0.3 - DELAY_VARIATION * 0.04 - PROCESSING_S
        self.assertAlmostEqual(times.ends_at_s, expected_s)
