"""Tests of `lavendertide.queries.timing`."""

import random
import unittest

from lavendertide.queries.timing import (
    CAP_FLOOR_S,
    SAMPLES_MIN,
    WINDOW_S,
    IndexTiming,
    LatencyEstimate,
)

# Replies a second, as one daemon sees at today's sizes.
REPLIES_PER_S = 130
QUICK_S = 0.008
SLOW_S = 0.1

# Buckets end about 9 percent apart, so an estimate is that much too high at most.
BUCKET_RATIO = 1.1


def learned(latencies_s: list[float]) -> LatencyEstimate | None:
    """Returns what is known after some replies."""
    timing = IndexTiming(0.0)
    for latency_s in latencies_s:
        timing.observe(latency_s, 1.0)
    return timing.estimate(0.95, 1.0)


def observe_evenly(
    timing: IndexTiming, latency_s: float, from_s: float, until_s: float
) -> None:
    """Takes in replies that all took the same time, at a steady rate."""
    count = int(REPLIES_PER_S * (until_s - from_s))
    for number in range(count):
        timing.observe(latency_s, from_s + number / REPLIES_PER_S)


def recent_straggler_s(timing: IndexTiming, now_s: float) -> float:
    """Returns after how long a reply counts as late by the last seconds."""
    estimate = timing.estimate(0.95, now_s)
    assert estimate is not None
    return estimate.recent_straggler_s


class IndexTimingTest(unittest.TestCase):
    """Quantiles of the last replies are learned for each index."""

    def test_nothing_is_claimed_of_few_replies(self) -> None:
        self.assertIsNone(learned([0.005] * (SAMPLES_MIN - 1)))

    def test_the_straggler_quantile_is_found(self) -> None:
        estimate = learned([n / 1000 for n in range(1, 1001)])
        assert estimate is not None
        self.assertGreaterEqual(estimate.straggler_s, 0.95)
        self.assertLessEqual(estimate.straggler_s, 0.95 * BUCKET_RATIO)

    def test_the_cap_lies_above_nearly_every_reply_of_a_slow_index(self) -> None:
        draw = random.Random(1)
        slow_s = [0.3 * draw.lognormvariate(0.0, 0.2) for _ in range(2_000)]
        estimate = learned(slow_s)
        assert estimate is not None
        self.assertEqual(sum(s > estimate.cap_s for s in slow_s), 0)

    def test_the_cap_of_a_quick_index_has_a_floor(self) -> None:
        estimate = learned([0.001] * 100)
        assert estimate is not None
        self.assertEqual(estimate.cap_s, CAP_FLOOR_S)

    def test_old_replies_are_forgotten(self) -> None:
        timing = IndexTiming(0.0)
        for _ in range(100):
            timing.observe(1.0, 1.0)
        later_s = 2.5 * WINDOW_S
        for _ in range(100):
            timing.observe(0.005, later_s)
        estimate = timing.estimate(0.95, later_s)
        assert estimate is not None
        self.assertLess(estimate.straggler_s, 0.01)

    def test_a_burst_that_has_passed_hides_no_straggler(self) -> None:
        timing = IndexTiming(0.0)
        observe_evenly(timing, SLOW_S, 0.0, 1.0)
        observe_evenly(timing, QUICK_S, 1.0, 4.0)
        self.assertLess(recent_straggler_s(timing, 4.0), 2 * QUICK_S)

    def test_a_burst_within_a_calm_hides_no_straggler(self) -> None:
        timing = IndexTiming(0.0)
        observe_evenly(timing, QUICK_S, 0.0, 5.0)
        observe_evenly(timing, SLOW_S, 5.0, 5.9)
        observe_evenly(timing, QUICK_S, 5.9, 8.0)
        self.assertLess(recent_straggler_s(timing, 8.0), 2 * QUICK_S)

    def test_an_index_that_has_become_slow_is_believed(self) -> None:
        timing = IndexTiming(0.0)
        observe_evenly(timing, QUICK_S, 0.0, 5.0)
        observe_evenly(timing, SLOW_S, 5.0, 8.0)
        self.assertGreaterEqual(recent_straggler_s(timing, 8.0), SLOW_S)

    def test_a_quiet_index_has_an_estimate_from_the_long_windows(self) -> None:
        timing = IndexTiming(0.0)
        for second in range(10):
            for _ in range(5):
                timing.observe(QUICK_S, float(second))
        self.assertLess(recent_straggler_s(timing, 9.5), 2 * QUICK_S)

    def test_replies_before_a_long_pause_are_forgotten(self) -> None:
        timing = IndexTiming(0.0)
        observe_evenly(timing, QUICK_S, 0.0, 2.0)
        later_s = 4 * WINDOW_S
        observe_evenly(timing, SLOW_S, later_s, later_s + 0.5)
        self.assertGreaterEqual(recent_straggler_s(timing, later_s + 0.5), SLOW_S)

    def test_the_last_window_still_counts(self) -> None:
        timing = IndexTiming(0.0)
        for _ in range(100):
            timing.observe(0.005, 1.0)
        self.assertIsNotNone(timing.estimate(0.95, WINDOW_S + 1.0))

    def test_replies_out_of_range_are_counted(self) -> None:
        self.assertIsNotNone(learned([0.0, 1e9] * SAMPLES_MIN))
