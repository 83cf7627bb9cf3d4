"""Tests of `lavendertide.gateway.budget_share`."""

import unittest
from collections import deque

from lavendertide.fleet.readiness import ALONE_AFTER_S
from lavendertide.forwarding.budget import RetryAllowance, RetryBudgets
from lavendertide.gateway.budget_share import BudgetShare
from standins.forwarding_records import DESK

WINDOW_S = 10.0
FIXED = 192.0
HOSTS = 90
NAMED = 9


class Host:
    """A host that sends as many extra sub-requests as its share allows."""

    def __init__(self) -> None:
        self.share = BudgetShare(WINDOW_S)
        self.budgets = RetryBudgets(RetryAllowance(0.0, FIXED, WINDOW_S))

    def spend_all(self, is_named: bool, now_s: float) -> int:
        """Spends the whole budget; returns how many extra sub-requests that allows."""
        self.share.update(HOSTS, NAMED, is_named, now_s)
        spent = 0
        while self.budgets.try_spend(DESK, self.share.share(now_s), now_s):
            spent += 1
        return spent


class BudgetShareTest(unittest.TestCase):
    """Named hosts have larger shares, and all shares together stay within the budget.

    Guards against two failures when few of many hosts receive all requests and many
    targets fail at once: even shares would leave the busy hosts without retries, and
    larger ones could exceed the fleet's budget.
    """

    def test_a_named_host_has_many_times_an_even_share(self) -> None:
        share = BudgetShare(WINDOW_S)
        share.update(HOSTS, NAMED, True, 0.0)
        self.assertGreater(share.share(0.0), 5 / HOSTS)

    def test_where_all_are_named_the_shares_are_even(self) -> None:
        share = BudgetShare(WINDOW_S)
        share.update(12, 12, True, 0.0)
        self.assertAlmostEqual(share.share(0.0), 1 / 12)

    def test_no_window_exceeds_the_budget_while_the_named_hosts_change(self) -> None:
        hosts = [Host() for _ in range(HOSTS)]
        window: deque[tuple[float, int]] = deque()
        for second in range(60):
            first = second // 15 * NAMED
            spent = sum(
                host.spend_all(first <= number < first + NAMED, float(second))
                for number, host in enumerate(hosts)
            )
            window.append((second, spent))
            while window[0][0] <= second - WINDOW_S:
                window.popleft()
            self.assertLessEqual(sum(count for _, count in window), FIXED)

    def test_a_host_that_knows_no_other_yet_has_no_share(self) -> None:
        """All hosts have ended at once and start before they know each other."""
        share = BudgetShare(WINDOW_S)
        self.assertEqual(share.share(0.0), 0.0)
        share.update(1, 1, True, 0.0)
        self.assertEqual(share.share(ALONE_AFTER_S - 0.1), 0.0)
        share.update(HOSTS, NAMED, True, 1.0)
        self.assertGreater(share.share(1.0), 5 / HOSTS)

    def test_a_host_that_stays_alone_has_a_share_after_a_while(self) -> None:
        share = BudgetShare(WINDOW_S)
        share.update(1, 1, True, 0.0)
        share.update(1, 1, True, ALONE_AFTER_S)
        self.assertGreater(share.share(ALONE_AFTER_S), 0.0)

    def test_a_newly_named_host_waits_for_the_window(self) -> None:
        share = BudgetShare(WINDOW_S)
        share.update(HOSTS, NAMED, False, 0.0)
        share.update(HOSTS, NAMED, True, 1.0)
        early_s, later_s = WINDOW_S, 1.0 + WINDOW_S
        self.assertLess(share.share(early_s), 1 / HOSTS)
        self.assertGreater(share.share(later_s), 5 / HOSTS)
