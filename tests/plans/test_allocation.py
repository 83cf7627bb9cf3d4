"""Tests of `lavendertide.plans.allocation`."""

import unittest

from hypothesis import given, strategies as st

from lavendertide.ids import DaemonId, ExchangeId, Incarnation, PlanId
from lavendertide.messages import PlanClaim, PlanClaims
from lavendertide.plans.allocation import NEW_HOLDERS_SHARE, Presence, max_min_shares
from lavendertide.plans.allocator import SETTLING_S, PlanAllocator

PLAN = PlanId("stall-clerk")
RATE_PER_S = 100.0
ALLOCATORS = 4


class MaxMinSharesTest(unittest.TestCase):
    """A plan is divided whole, and small demands are met first."""

    @given(st.lists(st.floats(0.1, 1e4), min_size=1, max_size=20))
    def test_the_shares_are_together_the_whole(self, demands: list[float]) -> None:
        named = {DaemonId(f"d{n}"): demand for n, demand in enumerate(demands)}
        shares = max_min_shares(named, RATE_PER_S)
        self.assertAlmostEqual(sum(shares.values()), 1.0)

    def test_a_small_demand_is_met_beside_a_greedy_one(self) -> None:
        demands = {DaemonId("greedy"): 10_000.0, DaemonId("small"): 10.0}
        shares = max_min_shares(demands, RATE_PER_S)
        self.assertAlmostEqual(shares[DaemonId("small")], 0.1)
        self.assertAlmostEqual(shares[DaemonId("greedy")], 0.9)

    def test_what_nobody_asks_for_is_spread(self) -> None:
        demands = {DaemonId("a"): 10.0, DaemonId("b"): 10.0}
        shares = max_min_shares(demands, RATE_PER_S)
        self.assertAlmostEqual(shares[DaemonId("a")], 0.5)


class PlanAllocatorTest(unittest.TestCase):
    """One allocator's shares keep their bound; a silent holder keeps its share."""

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
        """Claims as a daemon does; returns the share granted."""
        message = PlanClaims(
            ExchangeId("1"),
            DaemonId(daemon),
            Incarnation(incarnation),
            (PlanClaim(PLAN, demand_per_s, share, self.reached, ALLOCATORS),),
        )
        return self.allocator.handle(message, now_s).grants[0].share

    def test_a_plan_used_on_one_host_is_granted_whole(self) -> None:
        self.assertEqual(self.claim("a", 5.0, 0.0, 0.0), NEW_HOLDERS_SHARE)
        self.reached = ALLOCATORS
        self.assertEqual(self.claim("a", 5.0, 0.25, 1.0), 1.0)

    def test_new_holders_are_given_a_part_between_them(self) -> None:
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

    def hold_whole(self) -> None:
        """Gives the whole plan to the daemon `a`."""
        self.reached = ALLOCATORS
        self.assertEqual(self.claim("a", 90.0, 0.0, 0.0), 1.0)
        self.assertEqual(self.claim("a", 90.0, 1.0, 1.0), 1.0)

    def test_a_newcomer_waits_until_a_lower_share_is_confirmed(self) -> None:
        self.hold_whole()
        self.assertEqual(self.claim("b", 90.0, 0.0, 3.0), NEW_HOLDERS_SHARE)
        self.assertAlmostEqual(self.claim("a", 90.0, 1.0, 3.5), 0.5)
        self.assertEqual(self.claim("b", 90.0, 0.25, 3.6), NEW_HOLDERS_SHARE)
        self.claim("a", 90.0, 0.5, 4.0)
        self.assertAlmostEqual(self.claim("b", 90.0, 0.25, 4.1), 0.5)

    def test_a_silent_holder_keeps_its_share(self) -> None:
        self.hold_whole()
        self.presences[DaemonId("a")] = Presence.SILENT
        self.allocator.forget_absent(1_000.0)
        self.assertEqual(self.claim("b", 90.0, 0.0, 1_000.0), NEW_HOLDERS_SHARE)

    def test_a_removed_holder_leaves_its_share(self) -> None:
        self.hold_whole()
        self.claim("b", 90.0, 0.0, 3.0)
        self.presences[DaemonId("a")] = Presence.GONE
        self.allocator.forget_absent(4.0)
        self.assertEqual(self.claim("b", 90.0, 0.25, 4.0), 1.0)

    def test_a_later_incarnation_holds_nothing_of_the_earlier(self) -> None:
        self.claim("a", 90.0, 0.0, 0.0)
        self.claim("a", 90.0, 0.0, 1.0, incarnation=2)
        self.assertEqual(self.claim("a", 90.0, 1.0, 2.0, incarnation=1), 0.0)

    def is_settled(self, now_s: float) -> bool:
        """Claims; returns whether the allocator says that it knows the holders."""
        claim = PlanClaim(PLAN, 90.0, 0.0, 0, ALLOCATORS)
        message = PlanClaims(ExchangeId("1"), DaemonId("b"), Incarnation(1), (claim,))
        (grant,) = self.allocator.handle(message, now_s).grants
        return grant.is_settled

    def test_an_allocator_says_whether_it_knows_the_holders(self) -> None:
        self.allocator.note_members_changed(10.0)
        self.assertFalse(self.is_settled(10.0))
        self.assertTrue(self.is_settled(10.0 + SETTLING_S))

    def test_one_that_starts_in_a_split_settles_after_it(self) -> None:
        self.allocator.note_members_changed(10.0)
        self.presences[DaemonId("cut-off")] = Presence.SILENT
        for second in range(10, 61):
            self.allocator.note_silence([DaemonId("cut-off")], float(second))
            self.assertFalse(self.is_settled(float(second)))
        del self.presences[DaemonId("cut-off")]
        self.allocator.note_silence([DaemonId("cut-off")], 61.0)
        self.assertFalse(self.is_settled(61.0))
        self.assertTrue(self.is_settled(61.0 + SETTLING_S))

    def test_one_that_knows_the_holders_stays_settled_in_a_split(self) -> None:
        self.assertTrue(self.is_settled(10.0))
        self.presences[DaemonId("cut-off")] = Presence.SILENT
        self.allocator.note_silence([DaemonId("cut-off")], 11.0)
        self.assertTrue(self.is_settled(11.0))

    def test_a_holder_that_reaches_half_is_given_from_half(self) -> None:
        self.reached = ALLOCATORS // 2
        self.assertEqual(self.claim("a", 90.0, 0.25, 0.0), 0.5)

    def test_a_holder_that_reaches_fewer_is_a_newcomer(self) -> None:
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
