"""Tests of `lavendertide.queries.hedging`."""

import unittest

from lavendertide.options import BudgetedHedge, NeverHedge
from lavendertide.queries.hedging import TOKENS_MAX, Budget, hedge_delay_s
from lavendertide.queries.timing import LatencyEstimate

KNOWN = LatencyEstimate(
    quickest_s=0.002, straggler_s=0.015, recent_straggler_s=0.008, cap_s=0.1
)


def spend_all(budget: Budget) -> int:
    """Returns how many attempts a budget allowed."""
    spent = 0
    while budget.spend():
        spent += 1
    return spent


class BudgetTest(unittest.TestCase):
    """Extra attempts are a bounded part of the first ones."""

    def test_extra_attempts_are_earned_by_first_ones(self) -> None:
        budget = Budget()
        spend_all(budget)
        budget.earn(100, 0.05)
        self.assertEqual(spend_all(budget), 5)

    def test_a_quiet_owner_does_not_save_without_bound(self) -> None:
        budget = Budget()
        budget.earn(1_000_000, 0.05)
        self.assertEqual(spend_all(budget), TOKENS_MAX)

    def test_a_surplus_ends_before_the_budget_does(self) -> None:
        budget = Budget()
        self.assertTrue(budget.has_surplus)
        for _ in range(int(TOKENS_MAX / 2)):
            budget.spend()
        self.assertFalse(budget.has_surplus)
        self.assertTrue(budget.spend())


class HedgeDelayTest(unittest.TestCase):
    """The delay is learned, and conservative before that."""

    def test_a_cold_index_has_the_delay_of_the_settings(self) -> None:
        policy = BudgetedHedge(delay_cold_ms=40.0)
        self.assertEqual(hedge_delay_s(policy, None, has_surplus=False), 0.04)

    def test_a_known_index_has_its_own_quantile(self) -> None:
        self.assertEqual(
            hedge_delay_s(BudgetedHedge(), KNOWN, has_surplus=False), 0.015
        )

    def test_a_surplus_is_spent_by_the_last_seconds(self) -> None:
        delay_s = hedge_delay_s(BudgetedHedge(), KNOWN, has_surplus=True)
        self.assertEqual(delay_s, 0.008)

    def test_the_delay_has_a_floor(self) -> None:
        policy = BudgetedHedge(delay_min_ms=30.0)
        self.assertEqual(hedge_delay_s(policy, KNOWN, has_surplus=True), 0.03)

    def test_never_is_never(self) -> None:
        self.assertIsNone(hedge_delay_s(NeverHedge(), KNOWN, has_surplus=True))
