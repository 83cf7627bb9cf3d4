"""Runs a short soak with fixed seeds."""

import itertools
import unittest
from typing import get_args

from soak.faults import (
    ConfigurationChange,
    Fault,
    GatewayStopped,
    SettingsReloaded,
    StoreRestored,
    draw_plan,
)
from soak.run import run_soak

# The shortest run that holds several overlapping faults.
DURATION_S = 6.0
SEED = 1
# This run cut off requests that outlived their class of priority, before 9651a26.
CHANGES_DURATION_S = 12.0
CHANGES_SEED = 2


# Gateways of 91b8922 missed a change in this run.
RESTORATION_SEED = 28


class SoakTest(unittest.TestCase):
    """Overlapping external faults break no promise, and a seed repeats its faults."""

    def test_a_plan_is_the_same_for_the_same_seed(self) -> None:
        self.assertEqual(draw_plan(SEED, 60.0, 8, 3), draw_plan(SEED, 60.0, 8, 3))
        self.assertNotEqual(
            draw_plan(SEED, 60.0, 8, 3), draw_plan(SEED + 1, 60.0, 8, 3)
        )
        faults = [planned.fault for planned in draw_plan(SEED, 60.0, 8, 3)]
        self.assertTrue(any(isinstance(fault, GatewayStopped) for fault in faults))

    def test_a_plan_holds_faults_of_each_kind(self) -> None:
        faults = [planned.fault for planned in draw_plan(SEED, 120.0, 8, 3)]
        for kind in get_args(Fault):
            self.assertTrue(any(isinstance(fault, kind) for fault in faults), kind)
        reloads = [each for each in faults if isinstance(each, SettingsReloaded)]
        found = {(each.signals, each.is_stopped) for each in reloads}
        self.assertEqual(found, {(1, False), (1, True), (2, False), (2, True)})

    def test_changes_overlap(self) -> None:
        planned = draw_plan(CHANGES_SEED, CHANGES_DURATION_S, 8, 3)
        changes = [
            each for each in planned if isinstance(each.fault, ConfigurationChange)
        ]
        gaps_s = [
            later.at_s - earlier.at_s for earlier, later in itertools.pairwise(changes)
        ]
        self.assertLess(min(gaps_s), 0.3)

    def test_a_short_soak_breaks_no_promise(self) -> None:
        finding = run_soak(SEED, DURATION_S)
        self.assertEqual(finding.broken, ())
        self.assertGreater(finding.statuses[200], 100)

    def test_restorations_of_the_store_overlap_with_other_faults(self) -> None:
        """Plays what a gateway misses that goes on from its old revision."""
        planned = draw_plan(RESTORATION_SEED, CHANGES_DURATION_S, 8, 3)
        kinds = [type(each.fault) for each in planned]
        self.assertGreaterEqual(kinds.count(StoreRestored), 2)
        finding = run_soak(RESTORATION_SEED, CHANGES_DURATION_S)
        self.assertEqual(finding.broken, ())
        self.assertGreater(finding.statuses[200], 100)

    def test_changes_of_priorities_break_no_promise(self) -> None:
        finding = run_soak(CHANGES_SEED, CHANGES_DURATION_S)
        self.assertEqual(finding.broken, ())
        self.assertGreater(finding.statuses[200], 100)
