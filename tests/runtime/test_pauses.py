"""Tests of `lavendertide.runtime.pauses`."""

import unittest

from lavendertide.runtime.pauses import DRAIN_S, PAUSE_MIN_S, TICK_S, PauseTracker


class PauseTrackerTest(unittest.TestCase):
    """Data that is read just after a pause may have waited for its whole length.

    Without the correction, a request that is long overdue would look fresh.
    """

    def test_a_running_process_has_no_pause(self) -> None:
        pauses = PauseTracker(0.0)
        for number in range(1, 100):
            pauses.tick(number * TICK_S)
        self.assertEqual(pauses.max_wait_s(100 * TICK_S), 0.0)

    def test_a_pause_is_detected_before_the_next_tick(self) -> None:
        self.assertEqual(PauseTracker(0.0).max_wait_s(5.0), 5.0)

    def test_a_pause_counts_until_the_sockets_are_drained(self) -> None:
        pauses = PauseTracker(0.0)
        pauses.tick(5.0)
        for number in range(1, 50):
            pauses.tick(5.0 + number * TICK_S)
        self.assertEqual(pauses.max_wait_s(5.0 + DRAIN_S / 2), 5.0)

    def test_a_pause_is_over_after_the_drain(self) -> None:
        pauses = PauseTracker(0.0)
        pauses.tick(5.0)
        now_s = 5.0
        while now_s < 5.0 + DRAIN_S:
            now_s += TICK_S
            pauses.tick(now_s)
        self.assertEqual(pauses.max_wait_s(now_s), 0.0)

    def test_two_pauses_in_a_row_add_up(self) -> None:
        pauses = PauseTracker(0.0)
        pauses.tick(5.0)
        self.assertEqual(pauses.max_wait_s(5.0 + 2 * PAUSE_MIN_S), 5.5)
