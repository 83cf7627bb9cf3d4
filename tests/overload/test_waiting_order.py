"""Tests of `lavendertide.overload.waiting_order`."""

import unittest
from dataclasses import dataclass

from lavendertide.overload.waiting_order import find_next


@dataclass
class Call:
    """A call that waits."""

    priority: int
    queued_at_s: float
    ends_at_s: float


class WaitingOrderTest(unittest.TestCase):
    """Guards against urgent calls behind less urgent ones, and against starvation."""

    def test_the_oldest_of_the_most_urgent_calls_is_next(self) -> None:
        calls = [Call(2, 0.0, 9.0), Call(0, 0.1, 9.0), Call(0, 0.2, 9.0)]
        self.assertEqual(find_next(calls, 1.0), 1)

    def test_a_call_that_has_waited_for_half_of_its_time_is_next(self) -> None:
        calls = [Call(0, 0.0, 9.0), Call(2, 0.1, 2.1), Call(1, 0.2, 9.0)]
        self.assertEqual(find_next(calls, 1.0), 0)
        self.assertEqual(find_next(calls, 1.2), 1)

    def test_calls_without_priorities_keep_their_order(self) -> None:
        """Also if a later one has less time: deployments without priorities."""
        calls = [Call(0, 0.0, 9.0), Call(0, 0.1, 0.4)]
        self.assertEqual(find_next(calls, 1.0), 0)
