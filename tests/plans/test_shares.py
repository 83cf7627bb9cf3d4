"""Tests of the shares that one daemon holds."""

import unittest

from lavendertide.ids import DaemonId, PlanId
from lavendertide.messages import PlanClaim
from lavendertide.plans.allocators import Reach
from lavendertide.plans.shares import (
    FLOOR_SHARES_SUM,
    IDLE_S,
    PRESSED_REFRESH_S,
    HeldShares,
)
from tests.plans.members import PLAN

ANSWERING = (DaemonId("east-a"), DaemonId("east-b"), DaemonId("west-a"))


def all_reached(_: PlanId) -> Reach:
    """Returns the reach of a daemon whose claims are all answered."""
    return Reach(len(ANSWERING), len(ANSWERING))


def answer(held: HeldShares, claim: PlanClaim, share: float) -> None:
    """Lets all allocators answer a claim."""
    held.take_grant(claim.plan, share)
    for allocator in ANSWERING:
        held.note_answer(claim, allocator)


class HeldSharesTest(unittest.TestCase):
    """Claims are sent when they matter; idle plans are given up."""

    def test_a_calm_plan_is_claimed_seldom(self) -> None:
        held = HeldShares()
        claims = 0
        for second in range(100):
            held.arrive(PLAN, float(second))
            held.count_demand(float(second))
            for claim in held.claims(all_reached, float(second)):
                claims += 1
                answer(held, claim, 1.0)
        self.assertLessEqual(claims, 25)

    def test_a_scarce_plan_that_changes_little_is_claimed_every_few_seconds(
        self,
    ) -> None:
        held = HeldShares()
        claims = 0
        for second in range(100):
            for _ in range(2 * int(PLAN.rate_per_s)):
                held.arrive(PLAN, float(second))
            held.count_demand(float(second))
            for claim in held.claims(all_reached, float(second)):
                claims += 1
                answer(held, claim, 0.5)
        # A few more while the demand is learned.
        self.assertLessEqual(claims, 100 / PRESSED_REFRESH_S + 10)

    def test_an_idle_plan_is_claimed_with_no_demand(self) -> None:
        held = HeldShares()
        held.arrive(PLAN, 0.0)
        (claim,) = held.claims(all_reached, 0.0)
        answer(held, claim, 1.0)
        (claim,) = held.claims(all_reached, IDLE_S + 1)
        self.assertEqual((claim.demand_per_s, claim.share), (0.0, 0.0))

    def test_a_late_grant_does_not_revive_an_idle_plan(self) -> None:
        held = HeldShares()
        held.arrive(PLAN, 0.0)
        (claim,) = held.claims(all_reached, IDLE_S + 1)
        answer(held, claim, 1.0)
        self.assertLessEqual(held.share_of(PLAN.plan, 100), FLOOR_SHARES_SUM / 100)

    def test_a_raise_waits_for_all_that_are_reached(self) -> None:
        held = HeldShares()
        held.arrive(PLAN, 0.0)
        (claim,) = held.claims(all_reached, 0.0)
        held.take_grant(PLAN.plan, 1.0)
        for allocator in ANSWERING[:-1]:
            held.note_answer(claim, allocator)
            self.assertLess(held.share_of(PLAN.plan, 100), 1.0)
        held.note_answer(claim, ANSWERING[-1])
        self.assertEqual(held.share_of(PLAN.plan, 100), 1.0)

    def test_an_answer_to_an_earlier_claim_does_not_count(self) -> None:
        held = HeldShares()
        held.arrive(PLAN, 0.0)
        (earlier,) = held.claims(all_reached, 0.0)
        held.claim_all_again()
        held.claims(all_reached, 1.0)
        answer(held, earlier, 1.0)
        self.assertLess(held.share_of(PLAN.plan, 100), 1.0)

    def test_a_lower_share_is_taken_at_once(self) -> None:
        held = HeldShares()
        held.arrive(PLAN, 0.0)
        (claim,) = held.claims(all_reached, 0.0)
        answer(held, claim, 1.0)
        held.claim_all_again()
        held.claims(all_reached, 1.0)
        held.take_grant(PLAN.plan, 0.5)
        self.assertEqual(held.share_of(PLAN.plan, 100), 0.5)
