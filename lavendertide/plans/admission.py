"""Admission of queries within their plans.

Each daemon grants its share of a plan's rate and concurrency. A query that is refused
here has not run, and the refusal says so.
"""

import math
from typing import Final

from returns.result import Failure, Result, Success

from lavendertide.configuration.catalog import Plan
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.ids import PlanId
from lavendertide.plans.shares import ShareSource, WholeShares

WAIT_MAX_S: Final = 0.1
WAIT_SHARE_MAX: Final = 0.25


class PlanLimiter:
    """What one plan may use on this daemon.

    A token bucket bounds the rate, a counter the concurrency. A query that comes a
    little too early waits for its token, so that callers that wait for their answers
    are slowed down and not refused.
    """

    def __init__(self, plan: Plan, now_s: float) -> None:
        self._plan = plan
        self._tokens = float(plan.burst)
        self._refilled_at_s = now_s
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Queries of the plan that run here."""
        return self._in_flight

    def apply(self, plan: Plan) -> None:
        """Takes over a changed plan without giving its burst anew."""
        self._plan = plan
        self._tokens = min(self._tokens, float(plan.burst))

    def try_acquire(
        self, share: float, now_s: float, budget_s: float = math.inf
    ) -> Result[float, Refusal]:
        """Lets a query in, or says why not.

        Args:
            share: This daemon's part of the plan, above zero and at most one.
            now_s: Present time.
            budget_s: What is left of its deadline, of which it waits a part at most.

        Returns:
            Seconds to wait before the query starts, so that the rate is kept.
        """
        self._refill(share, now_s)
        if self._in_flight >= max(1.0, self._plan.concurrency * share):
            return Failure(self._over_concurrency())
        wait_s = max(0.0, 1.0 - self._tokens) / (self._plan.rate_per_s * share)
        if wait_s > min(WAIT_MAX_S, WAIT_SHARE_MAX * budget_s):
            return Failure(self._over_rate())
        self._tokens -= 1.0
        self._in_flight += 1
        return Success(wait_s)

    def available_tokens(self, share: float, now_s: float) -> float:
        """Returns how many queries may start at once."""
        gained = (now_s - self._refilled_at_s) * self._plan.rate_per_s * share
        ceiling = max(1.0, self._plan.burst * share)
        return min(ceiling, self._tokens + gained)

    def release(self) -> None:
        """Says that a query let in earlier has ended."""
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
            "Wait for an answer before sending more, or ask for a larger plan.",
            Fault.PLAN,
        )


class PlanLimiters:
    """The allowances of all plans on this daemon.

    Args:
        shares: Says which part of each plan this daemon may grant.
    """

    def __init__(self, shares: ShareSource | None = None) -> None:
        self._shares = shares or WholeShares()
        self._by_plan: dict[PlanId, PlanLimiter] = {}

    @property
    def in_flight(self) -> int:
        """Queries of all plans that run here."""
        return sum(limiter.in_flight for limiter in self._by_plan.values())

    def record_arrival(self, plan: Plan, now_s: float) -> float:
        """Counts a query and returns the part of its plan to grant here."""
        return self._shares.record_arrival(plan, now_s)

    def find(self, plan: PlanId) -> PlanLimiter | None:
        """Returns a plan's allowance if it has been used here."""
        return self._by_plan.get(plan)

    def limiter_of(self, plan: Plan, now_s: float) -> PlanLimiter:
        """Returns the plan's allowance, made at its first use."""
        limiter = self._by_plan.get(plan.plan)
        if limiter is None:
            limiter = PlanLimiter(plan, now_s)
            self._by_plan[plan.plan] = limiter
        return limiter

    def apply(self, plans: dict[PlanId, Plan]) -> None:
        """Takes over the plans of a new configuration."""
        for plan_id, limiter in list(self._by_plan.items()):
            changed = plans.get(plan_id)
            if changed is not None:
                limiter.apply(changed)
            elif limiter.in_flight == 0:
                del self._by_plan[plan_id]
