"""Shares of plans that this daemon holds.

A share is granted by one of the plan's allocators and is kept while none of them
replies. Before the first grant a daemon uses the floor share. All floor shares together
are `FLOOR_SHARES_SUM` of a plan.

A higher share is used only once all allocators that the claim counted as reached have
replied to it. A network split may have cut some of them off since the claim, and then
both sides would raise their shares as if each were the full fleet.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final, Protocol

from lavendertide.configuration.catalog import Plan
from lavendertide.ids import DaemonId, PlanId
from lavendertide.messages import PlanClaim
from lavendertide.plans.allocators import Reach

FLOOR_SHARES_SUM: Final = 0.25
IDLE_S: Final = 60.0
REFRESH_S: Final = 10.0
SCARCE_REFRESH_S: Final = 3.0
CHANGE_RATIO: Final = 0.2
SCARCE_RATIO: Final = 0.5
DEMAND_MIN_PER_S: Final = 0.1
DEMAND_WEIGHT: Final = 0.5
PLANS_MAX: Final = 4_096


class ShareSource(Protocol):
    """Source of the shares of plans that this daemon may use."""

    def record_arrival(self, plan: Plan, now_s: float) -> float:
        """Counts an arrival and returns the share, above zero and at most one."""


class FullShares:
    """Share source of a daemon without a fleet, which uses all plans in full."""

    def record_arrival(self, plan: Plan, now_s: float) -> float:
        """Returns the share of the full plan, 1.0."""
        return 1.0


@dataclass(slots=True)
class _HeldShare:
    """The share, demand and last claim of one plan."""

    plan: Plan
    counting_since_s: float
    arrived_at_s: float
    share: float = 0.0
    demand_per_s: float = 0.0
    arrivals: int = 1
    offered_share: float = 0.0
    last_claim: PlanClaim | None = None
    claimed_at_s: float = 0.0
    must_claim: bool = True
    replied: set[DaemonId] = field(default_factory=set)
    is_released: bool = False


class HeldShares:
    """Shares of all plans that callers have recently used on this daemon."""

    def __init__(self) -> None:
        self._plans: dict[PlanId, _HeldShare] = {}

    @property
    def plans(self) -> list[PlanId]:
        """Plans that this daemon claims, including those that have become idle."""
        return list(self._plans)

    def count_arrival(self, plan: Plan, now_s: float) -> bool:
        """Counts a query that has arrived.

        Returns:
            Whether the plan has no share yet, or has released it when it became idle.
        """
        held = self._plans.get(plan.plan)
        if held is None:
            if len(self._plans) < PLANS_MAX:
                self._plans[plan.plan] = _HeldShare(plan, now_s, now_s)
            return True
        held.plan = plan
        held.arrivals += 1
        held.arrived_at_s = now_s
        return held.is_released

    def share_of(self, plan: PlanId, members: int) -> float:
        """Returns the share of a plan, at least the floor share.

        Args:
            plan: The plan.
            members: Number of daemons, among which the floor shares are divided.
        """
        held = self._plans.get(plan)
        floor = FLOOR_SHARES_SUM / max(1, members)
        return max(floor, held.share) if held else floor

    def demand_of(self, plan: PlanId) -> float:
        """Returns the queries of a plan that arrive here per second, smoothed."""
        held = self._plans.get(plan)
        return held.demand_per_s if held else 0.0

    def due_claims(
        self, reach_of: Callable[[PlanId], Reach], now_s: float
    ) -> list[PlanClaim]:
        """Returns the claims to send now.

        A plan is due when its share, demand or reach has changed, when an allocator
        did not reply to the last claim, or when the refresh interval has passed, which
        is shorter for a scarce plan. A plan that has become idle is claimed with no
        demand.

        Args:
            reach_of: Returns how many of a plan's allocators reply.
            now_s: Present time.
        """
        due = []
        for held in self._plans.values():
            claim = _build_claim(held, reach_of(held.plan.plan), now_s)
            if _is_due(held, claim, now_s):
                _record_claim(held, claim, now_s)
                due.append(claim)
        return due

    def mark_all_due(self) -> None:
        """Makes all claims due, as the allocators may have changed."""
        for held in self._plans.values():
            held.must_claim = True

    def has_claimed_with_reach(self, plan: PlanId) -> bool:
        """Returns whether the last claim of a plan counted an allocator as reached."""
        held = self._plans.get(plan)
        return held is not None and bool(held.last_claim and held.last_claim.reached)

    def mark_due(self, claims: Iterable[PlanClaim]) -> None:
        """Makes plans due again whose claims an allocator has not replied to."""
        for claim in claims:
            held = self._plans.get(claim.plan)
            if held is not None:
                held.must_claim = True

    def apply_grant(self, plan: PlanId, share: float) -> bool:
        """Applies a granted share.

        A lower share is used at once, a higher one as `record_reply` permits. Grants
        for a plan that was released as idle are ignored.

        Returns:
            Whether the share is lower by more than `CHANGE_RATIO` than the one held.
        """
        held = self._plans.get(plan)
        if held is None or held.is_released:
            return False
        is_lower = share < held.share * (1.0 - CHANGE_RATIO)
        held.offered_share = share
        _apply_offered_share(held)
        return is_lower

    def record_reply(self, claim: PlanClaim, allocator: DaemonId) -> None:
        """Records the reply of an allocator that knows the plan's holders.

        Args:
            claim: The claim replied to. Replies to an earlier claim do not count.
            allocator: The allocator that has replied.
        """
        held = self._plans.get(claim.plan)
        if held is not None and held.last_claim is claim:
            held.replied.add(allocator)
            _apply_offered_share(held)

    def remove_idle(self, now_s: float) -> None:
        """Removes plans that have been idle for a while.

        The delay of `REFRESH_S` lets a claim with no demand reach the allocators first.
        """
        for plan, held in list(self._plans.items()):
            if now_s - held.arrived_at_s > IDLE_S + REFRESH_S:
                del self._plans[plan]

    def update_demand(self, now_s: float) -> None:
        """Updates the smoothed demand of all plans, once a round."""
        for held in self._plans.values():
            span_s = now_s - held.counting_since_s
            if span_s > 0:
                _update_demand(held, span_s, now_s)


def _is_idle(held: _HeldShare, now_s: float) -> bool:
    return now_s - held.arrived_at_s > IDLE_S


def _build_claim(held: _HeldShare, reach: Reach, now_s: float) -> PlanClaim:
    held.is_released = _is_idle(held, now_s)
    if held.is_released:
        held.share = 0.0
        return PlanClaim(held.plan.plan, 0.0, 0.0, reach.reached, reach.allocators)
    demand_per_s = max(DEMAND_MIN_PER_S, held.demand_per_s)
    return PlanClaim(
        held.plan.plan, demand_per_s, held.share, reach.reached, reach.allocators
    )


def _record_claim(held: _HeldShare, claim: PlanClaim, now_s: float) -> None:
    held.last_claim = claim
    held.claimed_at_s = now_s
    held.must_claim = False
    held.replied.clear()
    held.offered_share = held.share


def _apply_offered_share(held: _HeldShare) -> None:
    reached = held.last_claim.reached if held.last_claim else 0
    if held.offered_share <= held.share or len(held.replied) >= reached:
        held.share = held.offered_share


def _is_due(held: _HeldShare, claim: PlanClaim, now_s: float) -> bool:
    previous = held.last_claim
    if previous is None or held.must_claim:
        return True
    if now_s - held.claimed_at_s >= _refresh_s(held, claim):
        return True
    if claim.reached != previous.reached:
        return True
    return _differs(claim.share, previous.share) or _differs(
        claim.demand_per_s, previous.demand_per_s
    )


def _refresh_s(held: _HeldShare, claim: PlanClaim) -> float:
    granted_per_s = held.share * held.plan.rate_per_s
    is_scarce = claim.demand_per_s > SCARCE_RATIO * granted_per_s
    return SCARCE_REFRESH_S if is_scarce else REFRESH_S


def _differs(value: float, previous: float) -> bool:
    return abs(value - previous) > CHANGE_RATIO * previous


def _update_demand(held: _HeldShare, span_s: float, now_s: float) -> None:
    rate_per_s = held.arrivals / max(1.0, span_s)
    held.demand_per_s += DEMAND_WEIGHT * (rate_per_s - held.demand_per_s)
    held.arrivals = 0
    held.counting_since_s = now_s
