"""Tests of `lavendertide.plans.admission`."""

import unittest

from returns.result import Success

from lavendertide.plans.admission import (
    WAIT_MAX_DEADLINE_SHARE,
    WAIT_MAX_S,
    PlanLimiter,
)
from tests.plans.members import PLAN


class PlanLimiterTest(unittest.TestCase):
    """Guards against admitting more than the daemon's share of a plan.

    The bucket must not exceed the burst after a pause of the process, or when a share
    is raised.
    """

    def admitted(self, limiter: PlanLimiter, share: float, now_s: float) -> int:
        """Returns how many queries are admitted at once without a wait."""
        count = 0
        while limiter.try_acquire(share, now_s).value_or(1.0) == 0.0:
            limiter.release()
            count += 1
        return count

    def test_a_share_bounds_the_burst(self) -> None:
        self.assertEqual(self.admitted(PlanLimiter(PLAN, 0.0), 0.5, 0.0), 10)

    def test_a_pause_gives_no_more_than_the_burst(self) -> None:
        limiter = PlanLimiter(PLAN, 0.0)
        self.admitted(limiter, 1.0, 0.0)
        self.assertEqual(self.admitted(limiter, 1.0, 3_600.0), PLAN.burst)

    def test_a_share_bounds_the_concurrency(self) -> None:
        limiter = PlanLimiter(PLAN, 0.0)
        results = [limiter.try_acquire(0.25, 0.0) for _ in range(10)]
        self.assertEqual(sum(isinstance(e, Success) for e in results), 4)

    def test_a_query_that_comes_early_waits_for_its_token(self) -> None:
        limiter = PlanLimiter(PLAN, 0.0)
        self.admitted(limiter, 1.0, 0.0)
        waits = []
        while (wait_s := limiter.try_acquire(1.0, 0.0).value_or(None)) is not None:
            limiter.release()
            waits.append(wait_s)
        self.assertEqual(waits, sorted(waits))
        self.assertLessEqual(len(waits), WAIT_MAX_S * PLAN.rate_per_s)
        self.assertLessEqual(max(waits), WAIT_MAX_S)

    def test_a_wait_leaves_most_of_a_short_deadline(self) -> None:
        limiter = PlanLimiter(PLAN, 0.0)
        self.admitted(limiter, 1.0, 0.0)
        waits = []
        while (wait := limiter.try_acquire(1.0, 0.0, 0.12).value_or(None)) is not None:
            limiter.release()
            waits.append(wait)
        self.assertGreater(len(waits), 0)
        self.assertLessEqual(max(waits), WAIT_MAX_DEADLINE_SHARE * 0.12)

    def test_a_raised_share_gives_no_burst_at_once(self) -> None:
        limiter = PlanLimiter(PLAN, 0.0)
        self.admitted(limiter, 0.1, 0.0)
        self.assertEqual(self.admitted(limiter, 1.0, 0.0), 0)
