"""Tests of `lavendertide.queries.hedging`."""

import unittest

from lavendertide.options import BudgetedHedge, NeverHedge
from lavendertide.queries.hedging import TOKENS_MAX, AttemptBudget, hedge_delay_s
from lavendertide.queries.timing import LatencyEstimate

ESTIMATE = LatencyEstimate(
    quickest_s=0.002, straggler_s=0.015, recent_straggler_s=0.008, cap_s=0.1
)


def spend_all(budget: AttemptBudget) -> int:
    """Spends a budget; returns how many attempts it allowed."""
    spent = 0
    while budget.try_spend():
        spent += 1
    return spent


class BudgetTest(unittest.TestCase):
    """The number of extra attempts is a bounded share of the first ones."""

    def test_extra_attempts_are_earned_by_first_ones(self) -> None:
        budget = AttemptBudget()
        spend_all(budget)
        budget.earn(100, 0.05)
        self.assertEqual(spend_all(budget), 5)

    def test_an_owner_earns_no_more_than_the_maximum(self) -> None:
        budget = AttemptBudget()
        budget.earn(1_000_000, 0.05)
        self.assertEqual(spend_all(budget), TOKENS_MAX)

    def test_a_surplus_ends_before_the_budget_does(self) -> None:
        budget = AttemptBudget()
        self.assertTrue(budget.has_surplus)
        for _ in range(int(TOKENS_MAX / 2)):
            budget.try_spend()
        self.assertFalse(budget.has_surplus)
        self.assertTrue(budget.try_spend())


class HedgeDelayTest(unittest.TestCase):
    """The hedge delay follows the reply times, and is long until they are known."""

    def test_an_index_without_an_estimate_uses_the_delay_in_the_settings(self) -> None:
        policy = BudgetedHedge(delay_cold_ms=40.0)
        self.assertEqual(hedge_delay_s(policy, None, has_surplus=False), 0.04)

    def test_an_index_with_an_estimate_uses_its_quantile(self) -> None:
        self.assertEqual(
            hedge_delay_s(BudgetedHedge(), ESTIMATE, has_surplus=False), 0.015
        )

    def test_a_surplus_uses_the_quantile_of_the_last_seconds(self) -> None:
        delay_s = hedge_delay_s(BudgetedHedge(), ESTIMATE, has_surplus=True)
        self.assertEqual(delay_s, 0.008)

    def test_the_delay_has_a_floor(self) -> None:
        policy = BudgetedHedge(delay_min_ms=30.0)
        self.assertEqual(hedge_delay_s(policy, ESTIMATE, has_surplus=True), 0.03)

    def test_never_hedge_has_no_delay(self) -> None:
        self.assertIsNone(hedge_delay_s(NeverHedge(), ESTIMATE, has_surplus=True))
