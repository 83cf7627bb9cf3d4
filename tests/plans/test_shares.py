"""Tests of `lavendertide.plans.shares`."""

import unittest

from lavendertide.ids import DaemonId, PlanId
from lavendertide.messages import PlanClaim
from lavendertide.plans.allocators import Reach
from lavendertide.plans.shares import (
    FLOOR_SHARES_SUM,
    IDLE_S,
    SCARCE_REFRESH_S,
    HeldShares,
)
from tests.plans.members import PLAN

ALLOCATORS = (DaemonId("east-a"), DaemonId("east-b"), DaemonId("west-a"))


def all_reached(_: PlanId) -> Reach:
    """Returns the reach of a daemon to whose claims all allocators reply."""
    return Reach(len(ALLOCATORS), len(ALLOCATORS))


def apply_replies(held: HeldShares, claim: PlanClaim, share: float) -> None:
    """Applies a grant and the replies of all allocators to a claim."""
    held.apply_grant(claim.plan, share)
    for allocator in ALLOCATORS:
        held.record_reply(claim, allocator)


class HeldSharesTest(unittest.TestCase):
    """Guards against needless claims and against raising a share too early.

    A raise is safe only after all reached allocators have replied to the last claim.
    """

    def test_a_plan_with_steady_demand_is_claimed_rarely(self) -> None:
        held = HeldShares()
        claims = 0
        for second in range(100):
            held.count_arrival(PLAN, float(second))
            held.update_demand(float(second))
            for claim in held.due_claims(all_reached, float(second)):
                claims += 1
                apply_replies(held, claim, 1.0)
        self.assertLessEqual(claims, 25)

    def test_a_scarce_plan_that_changes_little_is_claimed_every_few_seconds(
        self,
    ) -> None:
        held = HeldShares()
        claims = 0
        for second in range(100):
            for _ in range(2 * int(PLAN.rate_per_s)):
                held.count_arrival(PLAN, float(second))
            held.update_demand(float(second))
            for claim in held.due_claims(all_reached, float(second)):
                claims += 1
                apply_replies(held, claim, 0.5)
        # The demand converges in the first rounds, which cost a few more claims.
        self.assertLessEqual(claims, 100 / SCARCE_REFRESH_S + 10)

    def test_an_idle_plan_is_claimed_with_no_demand(self) -> None:
        held = HeldShares()
        held.count_arrival(PLAN, 0.0)
        (claim,) = held.due_claims(all_reached, 0.0)
        apply_replies(held, claim, 1.0)
        (claim,) = held.due_claims(all_reached, IDLE_S + 1)
        self.assertEqual((claim.demand_per_s, claim.share), (0.0, 0.0))

    def test_a_late_grant_does_not_revive_an_idle_plan(self) -> None:
        held = HeldShares()
        held.count_arrival(PLAN, 0.0)
        (claim,) = held.due_claims(all_reached, IDLE_S + 1)
        apply_replies(held, claim, 1.0)
        self.assertLessEqual(held.share_of(PLAN.plan, 100), FLOOR_SHARES_SUM / 100)

    def test_a_raise_waits_for_all_reached_allocators(self) -> None:
        held = HeldShares()
        held.count_arrival(PLAN, 0.0)
        (claim,) = held.due_claims(all_reached, 0.0)
        held.apply_grant(PLAN.plan, 1.0)
        for allocator in ALLOCATORS[:-1]:
            held.record_reply(claim, allocator)
            self.assertLess(held.share_of(PLAN.plan, 100), 1.0)
        held.record_reply(claim, ALLOCATORS[-1])
        self.assertEqual(held.share_of(PLAN.plan, 100), 1.0)

    def test_a_reply_to_an_earlier_claim_does_not_count(self) -> None:
        held = HeldShares()
        held.count_arrival(PLAN, 0.0)
        (earlier,) = held.due_claims(all_reached, 0.0)
        held.mark_all_due()
        held.due_claims(all_reached, 1.0)
        apply_replies(held, earlier, 1.0)
        self.assertLess(held.share_of(PLAN.plan, 100), 1.0)

    def test_a_lower_share_is_used_at_once(self) -> None:
        held = HeldShares()
        held.count_arrival(PLAN, 0.0)
        (claim,) = held.due_claims(all_reached, 0.0)
        apply_replies(held, claim, 1.0)
        held.mark_all_due()
        held.due_claims(all_reached, 1.0)
        held.apply_grant(PLAN.plan, 0.5)
        self.assertEqual(held.share_of(PLAN.plan, 100), 0.5)
