"""Tests of `lavendertide.plans.allocation` and `allocator`."""

import unittest

from hypothesis import given, strategies as st

from lavendertide.ids import DaemonId, ExchangeId, Incarnation, PlanId
from lavendertide.messages import PlanClaim, PlanClaims
from lavendertide.plans.allocation import (
    NEW_HOLDERS_SHARE,
    Presence,
    compute_max_min_shares,
)
from lavendertide.plans.allocator import SETTLING_S, PlanAllocator

PLAN = PlanId("stall-clerk")
RATE_PER_S = 100.0
ALLOCATORS = 4


class MaxMinSharesTest(unittest.TestCase):
    """The shares add up to the full plan, and small demands are met first."""

    @given(st.lists(st.floats(0.1, 1e4), min_size=1, max_size=20))
    def test_the_shares_add_up_to_one(self, demands: list[float]) -> None:
        named = {DaemonId(f"d{n}"): demand for n, demand in enumerate(demands)}
        shares = compute_max_min_shares(named, RATE_PER_S)
        self.assertAlmostEqual(sum(shares.values()), 1.0)

    def test_a_small_demand_is_met_beside_a_greedy_one(self) -> None:
        demands = {DaemonId("greedy"): 10_000.0, DaemonId("small"): 10.0}
        shares = compute_max_min_shares(demands, RATE_PER_S)
        self.assertAlmostEqual(shares[DaemonId("small")], 0.1)
        self.assertAlmostEqual(shares[DaemonId("greedy")], 0.9)

    def test_the_unclaimed_rest_is_spread_evenly(self) -> None:
        demands = {DaemonId("a"): 10.0, DaemonId("b"): 10.0}
        shares = compute_max_min_shares(demands, RATE_PER_S)
        self.assertAlmostEqual(shares[DaemonId("a")], 0.5)


class PlanAllocatorTest(unittest.TestCase):
    """Guards against granting more than the bound at one allocator.

    Shares overlap if a reduced share is granted again before its holder has confirmed
    the reduction, or if a silent holder, which may still use its share, loses it.
    """

    def setUp(self) -> None:
        self.presences: dict[DaemonId, Presence] = {}
        self.reached = 0
        self.allocator = PlanAllocator(
            lambda plan: RATE_PER_S if plan == PLAN else None,
            lambda daemon: self.presences.get(daemon, Presence.PRESENT),
            -2 * SETTLING_S,
        )

    def claim(
        self,
        daemon: str,
        demand_per_s: float,
        share: float,
        now_s: float,
        incarnation: int = 1,
    ) -> float:
        """Sends a claim of a daemon; returns the granted share."""
        message = PlanClaims(
            ExchangeId("1"),
            DaemonId(daemon),
            Incarnation(incarnation),
            (PlanClaim(PLAN, demand_per_s, share, self.reached, ALLOCATORS),),
        )
        return self.allocator.handle(message, now_s).grants[0].share

    def test_a_plan_used_on_one_host_is_granted_in_full(self) -> None:
        self.assertEqual(self.claim("a", 5.0, 0.0, 0.0), NEW_HOLDERS_SHARE)
        self.reached = ALLOCATORS
        self.assertEqual(self.claim("a", 5.0, 0.25, 1.0), 1.0)

    def test_new_holders_together_receive_a_bounded_share(self) -> None:
        granted = [self.claim(name, 90.0, 0.0, 0.0) for name in "abcd"]
        self.assertLessEqual(sum(granted), NEW_HOLDERS_SHARE)

    def test_an_unknown_plan_is_not_granted(self) -> None:
        message = PlanClaims(
            ExchangeId("1"),
            DaemonId("a"),
            Incarnation(1),
            (PlanClaim(PlanId("gone"), 1.0, 1.0, 4, 4),),
        )
        self.assertEqual(self.allocator.handle(message, 0.0).grants, ())

    def grant_full_plan(self) -> None:
        """Grants the full plan to the daemon `a`."""
        self.reached = ALLOCATORS
        self.assertEqual(self.claim("a", 90.0, 0.0, 0.0), 1.0)
        self.assertEqual(self.claim("a", 90.0, 1.0, 1.0), 1.0)

    def test_a_new_holder_waits_until_a_lower_share_is_confirmed(self) -> None:
        self.grant_full_plan()
        self.assertEqual(self.claim("b", 90.0, 0.0, 3.0), NEW_HOLDERS_SHARE)
        self.assertAlmostEqual(self.claim("a", 90.0, 1.0, 3.5), 0.5)
        self.assertEqual(self.claim("b", 90.0, 0.25, 3.6), NEW_HOLDERS_SHARE)
        self.claim("a", 90.0, 0.5, 4.0)
        self.assertAlmostEqual(self.claim("b", 90.0, 0.25, 4.1), 0.5)

    def test_a_silent_holder_keeps_its_share(self) -> None:
        self.grant_full_plan()
        self.presences[DaemonId("a")] = Presence.SILENT
        self.allocator.remove_absent(1_000.0)
        self.assertEqual(self.claim("b", 90.0, 0.0, 1_000.0), NEW_HOLDERS_SHARE)

    def test_the_share_of_a_removed_holder_is_granted_again(self) -> None:
        self.grant_full_plan()
        self.claim("b", 90.0, 0.0, 3.0)
        self.presences[DaemonId("a")] = Presence.GONE
        self.allocator.remove_absent(4.0)
        self.assertEqual(self.claim("b", 90.0, 0.25, 4.0), 1.0)

    def test_a_later_incarnation_inherits_no_share(self) -> None:
        self.claim("a", 90.0, 0.0, 0.0)
        self.claim("a", 90.0, 0.0, 1.0, incarnation=2)
        self.assertEqual(self.claim("a", 90.0, 1.0, 2.0, incarnation=1), 0.0)

    def is_settled(self, now_s: float) -> bool:
        """Sends a claim; returns whether the grant is marked as settled."""
        claim = PlanClaim(PLAN, 90.0, 0.0, 0, ALLOCATORS)
        message = PlanClaims(ExchangeId("1"), DaemonId("b"), Incarnation(1), (claim,))
        (grant,) = self.allocator.handle(message, now_s).grants
        return grant.is_settled

    def test_a_new_allocator_settles_after_a_while(self) -> None:
        self.allocator.record_members_changed(10.0)
        self.assertFalse(self.is_settled(10.0))
        self.assertTrue(self.is_settled(10.0 + SETTLING_S))

    def test_an_allocator_that_starts_in_a_split_settles_after_it(self) -> None:
        self.allocator.record_members_changed(10.0)
        self.presences[DaemonId("cut-off")] = Presence.SILENT
        for second in range(10, 61):
            self.allocator.record_silent_members([DaemonId("cut-off")], float(second))
            self.assertFalse(self.is_settled(float(second)))
        del self.presences[DaemonId("cut-off")]
        self.allocator.record_silent_members([DaemonId("cut-off")], 61.0)
        self.assertFalse(self.is_settled(61.0))
        self.assertTrue(self.is_settled(61.0 + SETTLING_S))

    def test_a_settled_allocator_stays_settled_in_a_split(self) -> None:
        self.assertTrue(self.is_settled(10.0))
        self.presences[DaemonId("cut-off")] = Presence.SILENT
        self.allocator.record_silent_members([DaemonId("cut-off")], 11.0)
        self.assertTrue(self.is_settled(11.0))

    def test_a_holder_that_reaches_half_shares_in_half_of_the_plan(self) -> None:
        self.reached = ALLOCATORS // 2
        self.assertEqual(self.claim("a", 90.0, 0.25, 0.0), 0.5)

    def test_a_holder_that_reaches_fewer_is_bounded_as_a_new_one(self) -> None:
        self.reached = 1
        self.assertEqual(self.claim("a", 90.0, 0.0, 0.0), NEW_HOLDERS_SHARE)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["a", "b", "c", "d", "e"]),
                st.floats(0.0, 500.0),
                st.booleans(),
            ),
            max_size=60,
        )
    )
    def test_held_shares_never_exceed_the_bound(
        self, schedule: list[tuple[str, float, bool]]
    ) -> None:
        self.setUp()
        held: dict[str, float] = {}
        for step, (daemon, demand_per_s, reply_arrives) in enumerate(schedule):
            share = held.get(daemon, 0.0) if demand_per_s > 0.0 else 0.0
            held[daemon] = share
            granted = self.claim(daemon, demand_per_s, share, step / 10)
            if reply_arrives:
                held[daemon] = granted
            self.assertLessEqual(sum(held.values()), 1.0 + NEW_HOLDERS_SHARE + 1e-9)
