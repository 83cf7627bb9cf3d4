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

# Replies per second of one index on a daemon, at present fleet sizes.
REPLIES_PER_S = 130
QUICK_S = 0.008
SLOW_S = 0.1

# Bucket bounds are about 9 percent apart, so an estimate is at most that much too high.
BUCKET_RATIO = 1.1


def estimate_after(latencies_s: list[float]) -> LatencyEstimate | None:
    """Returns the estimate after replies with the given latencies."""
    timing = IndexTiming(0.0)
    for latency_s in latencies_s:
        timing.observe(latency_s, 1.0)
    return timing.estimate(0.95, 1.0)


def observe_evenly(
    timing: IndexTiming, latency_s: float, from_s: float, until_s: float
) -> None:
    """Records replies of equal latency at a steady rate."""
    count = int(REPLIES_PER_S * (until_s - from_s))
    for number in range(count):
        timing.observe(latency_s, from_s + number / REPLIES_PER_S)


def recent_straggler_s(timing: IndexTiming, now_s: float) -> float:
    """Returns the straggler quantile of the last seconds."""
    estimate = timing.estimate(0.95, now_s)
    assert estimate is not None
    return estimate.recent_straggler_s


class IndexTimingTest(unittest.TestCase):
    """Guards against estimates that miss a change of reply times or outlast it."""

    def test_few_replies_give_no_estimate(self) -> None:
        self.assertIsNone(estimate_after([0.005] * (SAMPLES_MIN - 1)))

    def test_the_straggler_quantile_is_estimated(self) -> None:
        estimate = estimate_after([n / 1000 for n in range(1, 1001)])
        assert estimate is not None
        self.assertGreaterEqual(estimate.straggler_s, 0.95)
        self.assertLessEqual(estimate.straggler_s, 0.95 * BUCKET_RATIO)

    def test_the_cap_lies_above_nearly_every_reply_of_a_slow_index(self) -> None:
        generator = random.Random(1)
        slow_s = [0.3 * generator.lognormvariate(0.0, 0.2) for _ in range(2_000)]
        estimate = estimate_after(slow_s)
        assert estimate is not None
        self.assertEqual(sum(s > estimate.cap_s for s in slow_s), 0)

    def test_the_cap_of_a_quick_index_has_a_floor(self) -> None:
        estimate = estimate_after([0.001] * 100)
        assert estimate is not None
        self.assertEqual(estimate.cap_s, CAP_FLOOR_S)

    def test_old_replies_are_discarded(self) -> None:
        timing = IndexTiming(0.0)
        for _ in range(100):
            timing.observe(1.0, 1.0)
        later_s = 2.5 * WINDOW_S
        for _ in range(100):
            timing.observe(0.005, later_s)
        estimate = timing.estimate(0.95, later_s)
        assert estimate is not None
        self.assertLess(estimate.straggler_s, 0.01)

    def test_a_past_burst_does_not_raise_the_recent_quantile(self) -> None:
        timing = IndexTiming(0.0)
        observe_evenly(timing, SLOW_S, 0.0, 1.0)
        observe_evenly(timing, QUICK_S, 1.0, 4.0)
        self.assertLess(recent_straggler_s(timing, 4.0), 2 * QUICK_S)

    def test_a_burst_between_quick_replies_does_not_raise_the_recent_quantile(
        self,
    ) -> None:
        timing = IndexTiming(0.0)
        observe_evenly(timing, QUICK_S, 0.0, 5.0)
        observe_evenly(timing, SLOW_S, 5.0, 5.9)
        observe_evenly(timing, QUICK_S, 5.9, 8.0)
        self.assertLess(recent_straggler_s(timing, 8.0), 2 * QUICK_S)

    def test_an_index_that_becomes_slow_raises_the_recent_quantile(self) -> None:
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

    def test_replies_before_a_long_pause_are_discarded(self) -> None:
        timing = IndexTiming(0.0)
        observe_evenly(timing, QUICK_S, 0.0, 2.0)
        later_s = 4 * WINDOW_S
        observe_evenly(timing, SLOW_S, later_s, later_s + 0.5)
        self.assertGreaterEqual(recent_straggler_s(timing, later_s + 0.5), SLOW_S)

    def test_the_previous_window_still_counts(self) -> None:
        timing = IndexTiming(0.0)
        for _ in range(100):
            timing.observe(0.005, 1.0)
        self.assertIsNotNone(timing.estimate(0.95, WINDOW_S + 1.0))

    def test_replies_out_of_range_are_counted(self) -> None:
        self.assertIsNotNone(estimate_after([0.0, 1e9] * SAMPLES_MIN))
