"""Tests of how fast an order to evacuate a domain reaches all hosts."""

from bench.evacuation_times import measure, percentile_s
from tests.virtual_time import VirtualTimeTestCase

# A fifth of `bounds.evacuate-ms`.
P99_MAX_S = 1.0


class SpreadTest(VirtualTimeTestCase):
    """Guards against readers whose pauses add up to a late end of an evacuation.

    Other keys change ten times a second, so that each reader pauses all the time, and
    no host passes on what it learns.
    """

    def test_the_last_request_leaves_within_a_fifth_of_the_bound(self) -> None:
        times_s = measure(62, 4, changes_per_s=10.0, has_notices=False, seed=1)
        self.assertEqual(len(times_s), 4 * 62)
        self.assertLess(percentile_s(times_s, 0.99), P99_MAX_S)
