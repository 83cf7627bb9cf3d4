"""Tests of `lavendertide.forwarding.budget`."""

import unittest

from lavendertide.forwarding.budget import RetryAllowance, RetryBudgets
from lavendertide.ids import ServiceName
from standins.forwarding_records import DESK

ALLOWANCE = RetryAllowance(ratio=0.2, fixed=56.0, window_s=10.0)
OTHER = ServiceName("other")


class RetryBudgetsTest(unittest.TestCase):
    """Hosts that spend their shares stay within the fleet's allowance together."""

    def setUp(self) -> None:
        self.budgets = RetryBudgets(ALLOWANCE)

    def spend_all(self, share: float, now_s: float) -> int:
        """Spends the budget of one host; returns the number of extra sub-requests."""
        spent = 0
        while self.budgets.try_spend(DESK, share, now_s):
            spent += 1
        return spent

    def test_hosts_that_spend_their_shares_stay_within_the_fixed_number(self) -> None:
        for hosts in (1, 8, 11, 64):
            budgets = [RetryBudgets(ALLOWANCE) for _ in range(hosts)]
            spent = sum(
                1
                for budget in budgets
                for _ in range(100)
                if budget.try_spend(DESK, 1 / hosts, 0.0)
            )
            self.assertLessEqual(spent, ALLOWANCE.fixed)

    def test_requests_earn_extra_sub_requests(self) -> None:
        before = self.spend_all(1 / 8, 0.0)
        for _ in range(100):
            self.budgets.record_request(DESK, 0.0)
        self.assertGreaterEqual(self.spend_all(1 / 8, 0.0), 15)
        self.assertLessEqual(before, 7)

    def test_spent_sub_requests_count_for_the_full_window(self) -> None:
        self.spend_all(1 / 8, 0.0)
        self.assertEqual(self.spend_all(1 / 8, 9.0), 0)
        self.assertGreater(self.spend_all(1 / 8, 11.0), 0)

    def test_services_have_separate_budgets(self) -> None:
        self.spend_all(1 / 8, 0.0)
        self.assertTrue(self.budgets.try_spend(OTHER, 1 / 8, 0.0))

    def test_any_window_of_a_steady_load_respects_the_ratio(self) -> None:
        spent_at_s: list[float] = []
        for step in range(4_000):
            now_s = step * 0.01
            self.budgets.record_request(DESK, now_s)
            if self.budgets.try_spend(DESK, 1 / 8, now_s):
                spent_at_s.append(now_s)
        for start in range(30):
            inside = sum(1 for at_s in spent_at_s if start <= at_s < start + 10.0)
            self.assertLessEqual(inside, 0.2 * 1_000 + 56.0 / 8)
