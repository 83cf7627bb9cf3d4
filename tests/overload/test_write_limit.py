"""Tests of the time that callers have to accept a response."""

import unittest

from lavendertide.overload.write_limit import PROGRESS_BYTES_PER_S, WriteLimit

LONGEST_BYTES = 8_388_608


class WriteLimitTest(unittest.TestCase):
    """Guards against a time limit that starts again with each accepted byte."""

    def time_of(self, bytes_per_s: float) -> float | None:
        """Returns when a steady caller has the longest response; none if closed."""
        limit = WriteLimit(100.0, 10.0)
        now_s, accepted = 100.0, 0
        while accepted < LONGEST_BYTES:
            now_s += 0.1
            if now_s > limit.ends_at_s(accepted):
                return None
            accepted += int(0.1 * bytes_per_s)
        return now_s

    def test_a_caller_that_accepts_little_is_closed(self) -> None:
        self.assertIsNone(self.time_of(0.0))
        self.assertIsNone(self.time_of(10.0))
        self.assertIsNone(self.time_of(0.5 * PROGRESS_BYTES_PER_S))

    def test_a_steady_caller_gets_the_longest_response(self) -> None:
        self.assertIsNotNone(self.time_of(PROGRESS_BYTES_PER_S))
        self.assertIsNotNone(self.time_of(1_000_000.0))
