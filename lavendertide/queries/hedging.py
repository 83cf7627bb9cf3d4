"""Delays and budgets of hedges.

A hedge is a second attempt for a shard whose first attempt is late. The policies are
data classes in the settings, so that a baseline to compare with is a variant of the
policy and needs no code of its own. Hedges and retries each have a budget per owner,
which earns a fraction of an attempt for every first attempt.
"""

from collections import Counter
from enum import Enum
from typing import Final

from lavendertide.ids import OwnerId
from lavendertide.options import BudgetedHedge, HedgePolicy, NeverHedge
from lavendertide.queries.timing import LatencyEstimate

TOKENS_MAX: Final = 50.0
SURPLUS_SHARE: Final = 0.75
STRAGGLER_QUANTILE: Final = 0.95


class WithheldCause(Enum):
    """Reason why a hedge that was due was not sent."""

    NO_ROOM = "no_room"
    NO_BUDGET = "no_budget"


class AttemptBudget:
    """Token bucket for an owner's extra attempts, filled by its first attempts."""

    def __init__(self) -> None:
        self._tokens = TOKENS_MAX
        self._spent = 0
        self._withheld: Counter[WithheldCause] = Counter()

    @property
    def spent(self) -> int:
        """Number of extra attempts sent since the daemon started."""
        return self._spent

    @property
    def has_surplus(self) -> bool:
        """Whether `SURPLUS_SHARE` of the maximum is left: more could have been sent."""
        return self._tokens >= SURPLUS_SHARE * TOKENS_MAX

    @property
    def withheld(self) -> Counter[WithheldCause]:
        """Number of hedges due and not sent since the daemon started, by cause."""
        return self._withheld

    def earn(self, attempts: int, extra_load: float) -> None:
        """Adds `extra_load` tokens for each first attempt, up to the maximum."""
        self._tokens = min(TOKENS_MAX, self._tokens + attempts * extra_load)

    def try_spend(self) -> bool:
        """Spends one token; returns False if none was left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        self._spent += 1
        return True

    def record_withheld(self, cause: WithheldCause) -> None:
        """Counts a hedge that was due and not sent."""
        self._withheld[cause] += 1


class OwnerBudgets:
    """The budgets for one kind of extra attempt on this daemon, one per owner."""

    def __init__(self) -> None:
        self._by_owner: dict[OwnerId, AttemptBudget] = {}

    @property
    def spent(self) -> dict[OwnerId, int]:
        """Number of extra attempts sent since the daemon started, by owner."""
        return {owner: budget.spent for owner, budget in self._by_owner.items()}

    @property
    def withheld(self) -> dict[OwnerId, Counter[WithheldCause]]:
        """Number of hedges due and not sent, by owner and cause."""
        return {owner: budget.withheld for owner, budget in self._by_owner.items()}

    def budget_of(self, owner: OwnerId) -> AttemptBudget:
        """Returns the budget of an owner, creating a full one if needed."""
        budget = self._by_owner.get(owner)
        if budget is None:
            budget = self._by_owner[owner] = AttemptBudget()
        return budget


def hedge_delay_s(
    policy: HedgePolicy, estimate: LatencyEstimate | None, has_surplus: bool
) -> float | None:
    """Returns the time after which an attempt is hedged, or None to never hedge.

    A burst of slow replies keeps the long-window quantile high for as long as it makes
    up a few percent of the counted replies. Few hedges are due then and the budget
    reaches a surplus, so the quantile of the last seconds is used instead. Without a
    surplus the long windows reserve the hedges for the worst stragglers while reply
    times fluctuate.

    Args:
        policy: Hedge policy in the settings.
        estimate: Estimated reply times of the index, None if unknown.
        has_surplus: Whether the owner sends fewer hedges than it earns.
    """
    match policy:
        case NeverHedge():
            return None
        case BudgetedHedge(delay_min_ms=delay_min_ms) if estimate is not None:
            late_s = estimate.straggler_s
            if has_surplus:
                late_s = estimate.recent_straggler_s
            return max(delay_min_ms / 1000, late_s)
        case BudgetedHedge(delay_cold_ms=delay_cold_ms):
            return delay_cold_ms / 1000


def hedge_earning(policy: HedgePolicy) -> float:
    """Returns the number of hedges that each first attempt earns."""
    match policy:
        case NeverHedge():
            return 0.0
        case BudgetedHedge(extra_load=extra_load):
            return extra_load


def straggler_quantile(policy: HedgePolicy) -> float:
    """Returns the quantile of reply times above which a reply counts as late."""
    match policy:
        case NeverHedge():
            return STRAGGLER_QUANTILE
        case BudgetedHedge(quantile=quantile):
            return quantile
