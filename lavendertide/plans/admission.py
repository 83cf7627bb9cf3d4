"""Admission control by plan.

Each daemon admits queries up to its share of a plan's rate and concurrency. A query
refused here has not run, and the refusal says so.
"""

import math
from typing import Final

from returns.result import Failure, Result, Success

from lavendertide.configuration.catalog import Plan
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.ids import PlanId
from lavendertide.plans.shares import FullShares, ShareSource

WAIT_MAX_S: Final = 0.1
WAIT_MAX_DEADLINE_SHARE: Final = 0.25


class PlanLimiter:
    """Rate and concurrency limits of one plan on this daemon.

    A token bucket limits the rate, a counter the concurrency. A query that arrives
    shortly before its token waits for it, so that callers that wait for their responses
    are slowed down instead of refused.
    """

    def __init__(self, plan: Plan, now_s: float) -> None:
        self._plan = plan
        self._tokens = float(plan.burst)
        self._refilled_at_s = now_s
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Queries of the plan that run on this daemon."""
        return self._in_flight

    def apply(self, plan: Plan) -> None:
        """Applies a changed plan without refilling the bucket."""
        self._plan = plan
        self._tokens = min(self._tokens, float(plan.burst))

    def try_acquire(
        self, share: float, now_s: float, budget_s: float = math.inf
    ) -> Result[float, Refusal]:
        """Admits a query if rate and concurrency allow it.

        Args:
            share: This daemon's share of the plan, above zero and at most one.
            now_s: Present time.
            budget_s: Seconds left until the query's deadline, of which at most
                `WAIT_MAX_DEADLINE_SHARE` is spent waiting.

        Returns:
            Seconds to wait before starting the query, or the refusal. The caller
            releases the admission when the query ends.
        """
        self._refill(share, now_s)
        if self._in_flight >= max(1.0, self._plan.concurrency * share):
            return Failure(self._over_concurrency())
        wait_s = max(0.0, 1.0 - self._tokens) / (self._plan.rate_per_s * share)
        if wait_s > min(WAIT_MAX_S, WAIT_MAX_DEADLINE_SHARE * budget_s):
            return Failure(self._over_rate())
        self._tokens -= 1.0
        self._in_flight += 1
        return Success(wait_s)

    def available_tokens(self, share: float, now_s: float) -> float:
        """Returns the tokens in the bucket; each lets a query start without a wait."""
        gained = (now_s - self._refilled_at_s) * self._plan.rate_per_s * share
        ceiling = max(1.0, self._plan.burst * share)
        return min(ceiling, self._tokens + gained)

    def release(self) -> None:
        """Releases the concurrency of an admitted query that has ended."""
        self._in_flight -= 1

    def _refill(self, share: float, now_s: float) -> None:
        self._tokens = self.available_tokens(share, now_s)
        self._refilled_at_s = now_s

    def _over_rate(self) -> Refusal:
        return Refusal(
            RefusalKind.OVER_PLAN_RATE,
            f"Plan '{self._plan.plan}' allows {self._plan.rate_per_s:g} queries/s.",
            "Send again after a second, or ask the owner for a larger plan.",
            Fault.PLAN,
        )

    def _over_concurrency(self) -> Refusal:
        return Refusal(
            RefusalKind.OVER_PLAN_CONCURRENCY,
            f"Plan '{self._plan.plan}' allows {self._plan.concurrency} at a time.",
            "Wait for a response before sending more, or ask for a larger plan.",
            Fault.PLAN,
        )


class PlanLimiters:
    """Limits of all plans that were used on this daemon.

    Args:
        shares: Source of this daemon's share of each plan. Without one, every plan is
            granted in full.
    """

    def __init__(self, shares: ShareSource | None = None) -> None:
        self._shares = shares or FullShares()
        self._by_plan: dict[PlanId, PlanLimiter] = {}

    @property
    def in_flight(self) -> int:
        """Queries of all plans that run on this daemon."""
        return sum(limiter.in_flight for limiter in self._by_plan.values())

    def record_arrival(self, plan: Plan, now_s: float) -> float:
        """Counts a query and returns this daemon's share of its plan."""
        return self._shares.record_arrival(plan, now_s)

    def find(self, plan: PlanId) -> PlanLimiter | None:
        """Returns the limiter of a plan, none if it was not used on this daemon."""
        return self._by_plan.get(plan)

    def limiter_of(self, plan: Plan, now_s: float) -> PlanLimiter:
        """Returns the limiter of a plan, created with a full bucket at first use."""
        limiter = self._by_plan.get(plan.plan)
        if limiter is None:
            limiter = PlanLimiter(plan, now_s)
            self._by_plan[plan.plan] = limiter
        return limiter

    def apply(self, plans: dict[PlanId, Plan]) -> None:
        """Applies the plans of a new configuration.

        The limiter of a removed plan is discarded unless it has queries in flight.
        """
        for plan_id, limiter in list(self._by_plan.items()):
            changed = plans.get(plan_id)
            if changed is not None:
                limiter.apply(changed)
            elif limiter.in_flight == 0:
                del self._by_plan[plan_id]
