"""Tests of `lavendertide.forwarding.caller_times`."""

import unittest

from lavendertide.forwarding.caller_times import REMEMBERED, REQUESTS_MIN, CallerTimes
from lavendertide.ids import RouteName

ROUTE = RouteName("lookups")
OBJECTIVE_S = 0.1


class CallerTimesTest(unittest.TestCase):
    """What is missing from the usual remaining time was used by the caller before."""

    def setUp(self) -> None:
        self.times = CallerTimes()

    def observe(self, remaining_ms: float, route: RouteName = ROUTE) -> float | None:
        """Records a remaining time; returns the estimate."""
        return self.times.observe(route, remaining_ms / 1_000, OBJECTIVE_S)

    def learn(self, remaining_ms: float, count: int = REQUESTS_MIN) -> None:
        """Records a remaining time several times."""
        for _ in range(count):
            self.observe(remaining_ms)

    def test_the_first_requests_after_a_start_say_nothing(self) -> None:
        for _ in range(REQUESTS_MIN - 1):
            self.assertIsNone(self.observe(600))
        self.assertEqual(self.observe(600), 0.0)

    def test_a_caller_that_says_less_has_used_the_rest(self) -> None:
        self.learn(600)
        estimate = self.observe(571)
        assert estimate is not None
        self.assertAlmostEqual(estimate, 0.029)

    def test_a_caller_with_a_time_of_its_own_has_no_estimate(self) -> None:
        self.learn(600)
        for remaining_ms in (300, 30, 601, 60_000, 0, -5):
            with self.subTest(remaining_ms=remaining_ms):
                self.assertIsNone(self.observe(remaining_ms))

    def test_a_few_callers_with_more_time_do_not_change_the_others(self) -> None:
        for _ in range(REMEMBERED):
            self.learn(600, 9)
            self.observe(5_000)
        self.assertEqual(self.observe(600), 0.0)

    def test_many_callers_with_more_time_end_the_estimate_of_the_others(self) -> None:
        """It is unknown then which time the others have started with."""
        for _ in range(REMEMBERED):
            self.observe(600)
            self.observe(5_000)
        self.assertIsNone(self.observe(600))
        self.assertEqual(self.observe(5_000), 0.0)

    def test_scattered_times_of_new_connections_are_not_usual(self) -> None:
        self.learn(600, 20)
        for missing in range(8, 36):
            self.assertIsNotNone(self.observe(600 - missing))
        self.assertEqual(self.observe(600), 0.0)

    def test_a_changed_time_is_learned(self) -> None:
        self.learn(600, REMEMBERED)
        self.learn(800, REMEMBERED)
        self.assertEqual(self.observe(800), 0.0)
        self.assertIsNone(self.observe(600))

    def test_routes_have_separate_times(self) -> None:
        self.learn(600)
        self.assertIsNone(self.observe(590, RouteName("searches")))

    def test_a_removed_route_is_learned_again(self) -> None:
        self.learn(600)
        self.times.retain_only(frozenset())
        self.assertIsNone(self.observe(600))
