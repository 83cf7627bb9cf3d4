"""Tests of `lavendertide.warmup.allowance`."""

import unittest

from hypothesis import given, strategies as st

from lavendertide.warmup.allowance import WINDOW_S, ColdBounds, SendWindow


class SendWindowTest(unittest.TestCase):
    """Guards against a window that has more requests than allowed.

    Counters by time slices allow nearly twice as many around the edge of a slice.
    """

    @given(st.integers(1, 5), st.lists(st.floats(0.0, 0.6), max_size=40))
    def test_no_window_has_more_wherever_it_begins(
        self, allowed: int, pauses_s: list[float]
    ) -> None:
        window, now_s = SendWindow(), 0.0
        sent_at_s: list[float] = []
        for pause_s in pauses_s:
            now_s += pause_s
            if window.count(now_s) < allowed:
                window.record(now_s)
                sent_at_s.append(now_s)
        for first, later in zip(sent_at_s, sent_at_s[allowed:], strict=False):
            self.assertGreater(later - first, WINDOW_S)

    def test_it_says_when_the_next_request_may_be_sent(self) -> None:
        window = SendWindow()
        for at_s in (0.0, 0.25, 0.5):
            window.record(at_s)
        self.assertEqual(window.return_s(4, 0.5), 0.0)
        self.assertEqual(window.return_s(3, 0.5), 0.5)
        # The part has become smaller meanwhile.
        self.assertEqual(window.return_s(1, 0.5), 1.0)

    def test_a_part_of_the_bound_is_left_for_requests_on_their_way(self) -> None:
        self.assertEqual(ColdBounds().spendable(20.0), 28)
        self.assertEqual(ColdBounds(1.0, 0.0).spendable(1.0), 0)
