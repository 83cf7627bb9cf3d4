"""Runs a short soak with a fixed seed."""

import unittest

from soak.faults import GatewayStopped, draw_plan
from soak.run import run_soak

# The shortest run that holds several overlapping faults.
DURATION_S = 6.0
SEED = 1


class SoakTest(unittest.TestCase):
    """Overlapping external faults break no promise, and a seed repeats its faults."""

    def test_a_plan_is_the_same_for_the_same_seed(self) -> None:
        self.assertEqual(draw_plan(SEED, 60.0, 6, 3), draw_plan(SEED, 60.0, 6, 3))
        self.assertNotEqual(
            draw_plan(SEED, 60.0, 6, 3), draw_plan(SEED + 1, 60.0, 6, 3)
        )
        faults = [planned.fault for planned in draw_plan(SEED, 60.0, 6, 3)]
        self.assertTrue(any(isinstance(fault, GatewayStopped) for fault in faults))

    def test_a_short_soak_breaks_no_promise(self) -> None:
        finding = run_soak(SEED, DURATION_S)
        self.assertEqual(finding.broken, ())
        self.assertGreater(finding.statuses[200], 100)
