"""Tests of `lavendertide.queries.gate`."""

import unittest

from returns.result import Failure, Success

from lavendertide.errors import RefusalKind
from lavendertide.queries.gate import AdmissionGate
from lavendertide.queries.results_memory import ResultsMemory
from lavendertide.queries.timing import LatencyEstimate

SLOW = LatencyEstimate(
    quickest_s=0.2, straggler_s=0.5, recent_straggler_s=0.5, cap_s=1.0
)


class GateTest(unittest.TestCase):
    """A request that could not be answered in time is refused before it runs."""

    def test_requests_in_flight_are_bounded(self) -> None:
        gate = AdmissionGate(2, ResultsMemory(10_000, 1_000))
        for _ in range(2):
            self.assertEqual(gate.admit(1.0, None), Success(None))
        refused = gate.admit(1.0, None).failure()
        self.assertIs(refused.kind, RefusalKind.OVERLOADED)
        gate.release()
        self.assertEqual(gate.admit(1.0, None), Success(None))

    def test_full_memory_refuses_requests(self) -> None:
        memory = ResultsMemory(10_000, 1_000)
        memory.try_acquire(9_500)
        self.assertIsInstance(AdmissionGate(2, memory).admit(1.0, None), Failure)

    def test_a_deadline_that_nearly_no_reply_meets_is_refused(self) -> None:
        gate = AdmissionGate(2, ResultsMemory(10_000, 1_000))
        self.assertIsInstance(gate.admit(0.1, SLOW), Failure)
        self.assertIsInstance(gate.admit(0.3, SLOW), Success)
        self.assertEqual(gate.in_flight, 1)
