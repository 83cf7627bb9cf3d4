"""Plays a short soak, and each seed that has ever found something."""

import unittest

from soak.faults import GatewayStopped, draw_plan
from soak.run import run_soak

# As few seconds as hold several faults that overlap.
DURATION_S = 6.0
SEED = 1


class SoakTest(unittest.TestCase):
    """Nothing that is promised breaks under overlapping faults from outside."""

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
