"""Tests of the metrics and log lines of the bounds on callers."""

import unittest

from prometheus_client import CollectorRegistry

from lavendertide.overload.caller_bounds import CALM_S, CallerBounds, Cause
from lavendertide.overload.response_memory import ResponseMemory

LOGGER = "lavendertide.overload.caller_bounds"


class CallerBoundsTest(unittest.TestCase):
    """Guards against a log line for each caller and against closes without a trace."""

    def setUp(self) -> None:
        self.registry = CollectorRegistry()
        self.memory = ResponseMemory(1_000, is_bounding_writes=True)
        self.bounds = CallerBounds(self.memory, 10, self.registry)

    def test_only_the_begin_and_the_end_of_closing_are_logged(self) -> None:
        with self.assertLogs(LOGGER) as logs:
            for second in range(10):
                for _ in range(100):
                    self.bounds.record(Cause.TOO_SLOW)
                self.bounds.log_changes(float(second))
            self.bounds.log_changes(9.0 + CALM_S - 0.1)
            self.assertEqual(len(logs.records), 1)
            self.bounds.log_changes(9.0 + CALM_S)
            self.bounds.log_changes(100.0)
        messages = [record.getMessage() for record in logs.records]
        self.assertEqual(
            messages, ["slow callers closed", "slow callers no longer closed"]
        )

    def test_closes_are_counted_by_cause(self) -> None:
        self.bounds.record(Cause.MEMORY)
        value = self.registry.get_sample_value(
            "lavendertide_caller_evictions_total", {"cause": "memory"}
        )
        self.assertEqual(value, 1.0)

    def test_what_is_held_is_a_metric(self) -> None:
        held = self.memory.open()
        held.try_resize(100, 0.0)
        for name, expected in (("held_bytes", 100.0), ("held_max_bytes", 1_000.0)):
            value = self.registry.get_sample_value(f"lavendertide_caller_{name}")
            self.assertEqual(value, expected)

    def test_responses_that_ended_for_lack_of_memory_are_counted(self) -> None:
        held = self.memory.open()
        self.assertFalse(held.try_resize(2_001, 0.0))
        for _ in range(2):
            self.bounds.log_changes(1.0)
        value = self.registry.get_sample_value(
            "lavendertide_caller_responses_ended_total"
        )
        self.assertEqual(value, 1.0)

    def test_without_the_setting_there_is_no_account_of_writes(self) -> None:
        self.assertIsNone(CallerBounds().memory)
        self.assertIs(self.bounds.memory, self.memory)
