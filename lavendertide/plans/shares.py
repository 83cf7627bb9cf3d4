"""The parts of plans that this daemon may grant.

A share comes from one of the plan's allocators and is kept while none of them answers.
Before the first one a daemon grants the floor; all floors together are `FLOORS_PART` of
a plan. A higher share is used only once all allocators that the claim counted as
reached have answered it: a network split may have cut some of them off since, and then
both sides would raise their shares as though they were the whole fleet.
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
PRESSED_REFRESH_S: Final = 3.0
CHANGE_RATIO: Final = 0.2
PRESSED_RATIO: Final = 0.5
DEMAND_MIN_PER_S: Final = 0.1
DEMAND_WEIGHT: Final = 0.5
PLANS_MAX: Final = 4_096


class ShareSource(Protocol):
    """Says which part of a plan this daemon may grant."""

    def record_arrival(self, plan: Plan, now_s: float) -> float:
        """Counts an arrival and returns the part, above zero and at most one."""


class WholeShares:
    """The shares of a daemon that is alone."""

    def record_arrival(self, plan: Plan, now_s: float) -> float:
        """Returns the whole plan."""
        return 1.0


@dataclass(slots=True)
class _Held:
    """What is known here about one plan, and what was last claimed."""

    plan: Plan
    counted_from_s: float
    arrived_at_s: float
    share: float = 0.0
    demand_per_s: float = 0.0
    arrivals: int = 1
    offered: float = 0.0
    claimed: PlanClaim | None = None
    claimed_at_s: float = 0.0
    must_claim: bool = True
    answered: set[DaemonId] = field(default_factory=set)
    is_released: bool = False


class HeldShares:
    """The shares of all plans that callers have lately used here."""

    def __init__(self) -> None:
        self._plans: dict[PlanId, _Held] = {}

    @property
    def plans(self) -> list[PlanId]:
        """Plans that are claimed."""
        return list(self._plans)

    def arrive(self, plan: Plan, now_s: float) -> bool:
        """Counts a query that has come in; returns whether it needs a first share."""
        held = self._plans.get(plan.plan)
        if held is None:
            if len(self._plans) < PLANS_MAX:
                self._plans[plan.plan] = _Held(plan, now_s, now_s)
            return True
        held.plan = plan
        held.arrivals += 1
        held.arrived_at_s = now_s
        return held.is_released

    def share_of(self, plan: PlanId, members: int) -> float:
        """Returns the part of a plan to grant, never below the floor.

        Args:
            plan: The plan.
            members: Daemons of the fleet, over which the floors are spread.
        """
        held = self._plans.get(plan)
        floor = FLOOR_SHARES_SUM / max(1, members)
        return max(floor, held.share) if held else floor

    def demand_of(self, plan: PlanId) -> float:
        """Returns queries a second that reach this daemon."""
        held = self._plans.get(plan)
        return held.demand_per_s if held else 0.0

    def claims(
        self, reach_of: Callable[[PlanId], Reach], now_s: float
    ) -> list[PlanClaim]:
        """Returns what to claim now: what has changed, is scarce or was long ago.

        A plan that has become idle is claimed with no demand.

        Args:
            reach_of: How many of a plan's allocators answer.
            now_s: Present time.
        """
        due = []
        for held in self._plans.values():
            claim = _claim(held, reach_of(held.plan.plan), now_s)
            if _is_due(held, claim, now_s):
                _note_claimed(held, claim, now_s)
                due.append(claim)
        return due

    def claim_all_again(self) -> None:
        """Says that the allocators may have changed."""
        for held in self._plans.values():
            held.must_claim = True

    def has_claimed_with_reach(self, plan: PlanId) -> bool:
        """Returns whether a plan was claimed after an allocator had answered."""
        held = self._plans.get(plan)
        return held is not None and bool(held.claimed and held.claimed.reached)

    def claim_again(self, claims: Iterable[PlanClaim]) -> None:
        """Says that an allocator has not answered these claims."""
        for claim in claims:
            held = self._plans.get(claim.plan)
            if held is not None:
                held.must_claim = True

    def take_grant(self, plan: PlanId, share: float) -> bool:
        """Takes over a share; returns whether it is much lower than the one held."""
        held = self._plans.get(plan)
        if held is None or held.is_released:
            return False
        is_lower = share < held.share * (1.0 - CHANGE_RATIO)
        held.offered = share
        _take_offered(held)
        return is_lower

    def note_answer(self, claim: PlanClaim, allocator: DaemonId) -> None:
        """Notes that an allocator that knows the plan's holders has answered.

        Args:
            claim: What it has answered; an answer to an earlier claim does not count.
            allocator: Who has answered.
        """
        held = self._plans.get(claim.plan)
        if held is not None and held.claimed is claim:
            held.answered.add(allocator)
            _take_offered(held)

    def forget_idle(self, now_s: float) -> None:
        """Gives up the shares of plans that nobody has used for a while."""
        for plan, held in list(self._plans.items()):
            if now_s - held.arrived_at_s > IDLE_S + REFRESH_S:
                del self._plans[plan]

    def count_demand(self, now_s: float) -> None:
        """Brings the demand of all plans up to date, once a round."""
        for held in self._plans.values():
            span_s = now_s - held.counted_from_s
            if span_s > 0:
                _count(held, span_s, now_s)


def _is_idle(held: _Held, now_s: float) -> bool:
    return now_s - held.arrived_at_s > IDLE_S


def _claim(held: _Held, reach: Reach, now_s: float) -> PlanClaim:
    held.is_released = _is_idle(held, now_s)
    if held.is_released:
        held.share = 0.0
        return PlanClaim(held.plan.plan, 0.0, 0.0, reach.reached, reach.allocators)
    demand_per_s = max(DEMAND_MIN_PER_S, held.demand_per_s)
    return PlanClaim(
        held.plan.plan, demand_per_s, held.share, reach.reached, reach.allocators
    )


def _note_claimed(held: _Held, claim: PlanClaim, now_s: float) -> None:
    held.claimed = claim
    held.claimed_at_s = now_s
    held.must_claim = False
    held.answered.clear()
    held.offered = held.share


def _take_offered(held: _Held) -> None:
    reached = held.claimed.reached if held.claimed else 0
    if held.offered <= held.share or len(held.answered) >= reached:
        held.share = held.offered


def _is_due(held: _Held, claim: PlanClaim, now_s: float) -> bool:
    last = held.claimed
    if last is None or held.must_claim:
        return True
    if now_s - held.claimed_at_s >= _refresh_s(held, claim):
        return True
    if claim.reached != last.reached:
        return True
    return _differs(claim.share, last.share) or _differs(
        claim.demand_per_s, last.demand_per_s
    )


def _refresh_s(held: _Held, claim: PlanClaim) -> float:
    granted_per_s = held.share * held.plan.rate_per_s
    is_pressed = claim.demand_per_s > PRESSED_RATIO * granted_per_s
    return PRESSED_REFRESH_S if is_pressed else REFRESH_S


def _differs(value: float, last: float) -> bool:
    return abs(value - last) > CHANGE_RATIO * last


def _count(held: _Held, span_s: float, now_s: float) -> None:
    rate_per_s = held.arrivals / max(1.0, span_s)
    held.demand_per_s += DEMAND_WEIGHT * (rate_per_s - held.demand_per_s)
    held.arrivals = 0
    held.counted_from_s = now_s
