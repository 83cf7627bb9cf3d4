"""Tests of `lavendertide.warmup.run_allowance`."""

import unittest

from lavendertide.warmup.allowance import WINDOW_S
from lavendertide.warmup.run_allowance import HELD_S, USE_S, RunAllowance

PART = 5


class GivingTest(unittest.TestCase):
    """Guards against requests that a host gives up and sends as well."""

    def setUp(self) -> None:
        self.allowance = RunAllowance()

    def send_all(self, now_s: float) -> int:
        """Sends all that may be sent; returns how many requests that were."""
        sent = 0
        while self.allowance.try_send(PART, now_s):
            sent += 1
        return sent

    def test_what_was_given_is_kept_back_until_no_window_has_its_use(self) -> None:
        self.assertEqual(self.allowance.give(PART, 3, 0.0), 3)
        self.assertEqual(self.send_all(USE_S + WINDOW_S), 2)
        self.assertEqual(self.send_all(HELD_S + 0.01), 3)

    def test_a_host_keeps_as_many_as_it_needs(self) -> None:
        self.allowance.try_send(PART, 0.0)
        self.assertEqual(self.allowance.give(PART, PART, 0.5), 3)
        self.assertEqual(self.allowance.give(PART, PART, 0.5), 0)

    def test_a_host_that_uses_its_part_gives_nothing(self) -> None:
        self.assertEqual(self.send_all(0.0), PART)
        self.assertEqual(self.allowance.give(PART, 1, 0.5), 0)

    def test_a_part_that_has_become_smaller_leaves_nothing(self) -> None:
        self.allowance.give(PART, 3, 0.0)
        self.assertFalse(self.allowance.try_send(2, 0.1))
        self.assertEqual(self.allowance.give(2, 1, 0.1), 0)


class ReceivingTest(unittest.TestCase):
    """Guards against received requests that are used twice or too late."""

    def setUp(self) -> None:
        self.allowance = RunAllowance()
        self.allowance.receive(2, 1.0)

    def test_each_is_used_once(self) -> None:
        self.assertEqual(self.allowance.wait_s(0, 0.5), 0.0)
        used = [self.allowance.try_send(0, 0.5) for _ in range(3)]
        self.assertEqual(used, [True, True, False])
        self.assertEqual(self.allowance.wait_s(0, 0.5), WINDOW_S)

    def test_none_is_used_after_its_time(self) -> None:
        self.assertFalse(self.allowance.try_send(0, 1.01))

    def test_the_own_part_is_used_first_and_not_reduced(self) -> None:
        self.assertTrue(self.allowance.try_send(1, 0.5))
        self.assertEqual(self.allowance.received(0.5), 2)
        self.assertEqual(self.allowance.sent(0.5), 1)
