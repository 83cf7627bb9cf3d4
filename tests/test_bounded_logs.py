"""Tests of `lavendertide.bounded_logs`."""

import logging
import unittest

from lavendertide.bounded_logs import (
    BURST_LINES,
    ENDED_LINES,
    ENDED_REQUESTS,
    LINES_PER_S,
    WARNING_LINES,
    LineBudget,
    LineKind,
    kind_of,
)


def record(logger: str, level: int) -> logging.LogRecord:
    """Builds a log record of a logger and a level."""
    return logging.LogRecord(logger, level, __file__, 1, "message", (), None)


class LineBudgetTest(unittest.TestCase):
    """The log stays within its rate, and reserved lines stay for important kinds.

    Without the limit, a flood of lines uses up processor time; without the reserves it
    displaces warnings and the ends of requests.
    """

    def setUp(self) -> None:
        self.budget = LineBudget(0.0)

    def spend_all(self, kind: LineKind) -> int:
        """Spends the budget on lines of a kind; returns how many were written."""
        written = 0
        while self.budget.try_spend(kind, 0.0):
            written += 1
        return written

    def test_a_flood_of_lines_is_bounded(self) -> None:
        for kind in LineKind:
            with self.subTest(kind=kind):
                budget = LineBudget(0.0)
                steps = range(10_000)
                written = sum(budget.try_spend(kind, step / 1_000) for step in steps)
                self.assertLessEqual(written, BURST_LINES + 10 * LINES_PER_S)
                self.assertEqual(budget.pop_dropped_count(), 10_000 - written)
                self.assertEqual(budget.pop_dropped_count(), 0)

    def test_ends_of_requests_are_written_after_other_lines_are_dropped(self) -> None:
        self.spend_all(LineKind.OTHER)
        self.assertEqual(self.spend_all(LineKind.ENDED_REQUEST), ENDED_LINES)

    def test_warnings_are_written_after_all_others_are_dropped(self) -> None:
        self.spend_all(LineKind.OTHER)
        self.spend_all(LineKind.ENDED_REQUEST)
        self.assertEqual(self.spend_all(LineKind.WARNING), WARNING_LINES)

    def test_every_end_is_written_during_a_flood_of_other_lines(self) -> None:
        """Guards against lost ends while many targets change for a minute."""
        ended, per_s = 0, 50
        for step in range(60 * per_s):
            now_s = step / per_s
            for _ in range(20):
                self.budget.try_spend(LineKind.OTHER, now_s)
            ended += self.budget.try_spend(LineKind.ENDED_REQUEST, now_s)
        self.assertEqual(ended, 60 * per_s)


class LineKindTest(unittest.TestCase):
    """A line's kind follows from its level and its logger."""

    def test_lines_are_classified(self) -> None:
        cases = {
            LineKind.WARNING: record("lavendertide.gateway", logging.WARNING),
            LineKind.ENDED_REQUEST: record(ENDED_REQUESTS, logging.INFO),
            LineKind.OTHER: record("lavendertide.registry", logging.INFO),
        }
        for kind, line in cases.items():
            with self.subTest(kind=kind):
                self.assertIs(kind_of(line), kind)
