"""When a straggling shard is asked of a second replica, and how often.

The policies are data classes of the settings, so that baselines are variants and not
other code. Hedges and retries each have a budget per owner, earned by first attempts.
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
    """Why a hedge that was due was not sent."""

    NO_ROOM = "no_room"
    NO_BUDGET = "no_budget"


class Budget:
    """Extra attempts that an owner may still send, earned by its first attempts."""

    def __init__(self) -> None:
        self._tokens = TOKENS_MAX
        self._spent = 0
        self._withheld: Counter[WithheldCause] = Counter()

    @property
    def spent(self) -> int:
        """Extra attempts that were sent since the daemon's start."""
        return self._spent

    @property
    def has_surplus(self) -> bool:
        """Whether so much is left that more could have been sent."""
        return self._tokens >= SURPLUS_SHARE * TOKENS_MAX

    @property
    def withheld(self) -> Counter[WithheldCause]:
        """How often a hedge was due and not sent since the daemon's start."""
        return self._withheld

    def earn(self, attempts: int, extra_load: float) -> None:
        """Earns a part of an extra attempt for each first attempt."""
        self._tokens = min(TOKENS_MAX, self._tokens + attempts * extra_load)

    def spend(self) -> bool:
        """Takes one attempt out of the budget; returns whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        self._spent += 1
        return True

    def record_withheld(self, cause: WithheldCause) -> None:
        """Counts a hedge that was due and not sent."""
        self._withheld[cause] += 1


class OwnerBudgets:
    """One kind of budget for each owner on this daemon."""

    def __init__(self) -> None:
        self._by_owner: dict[OwnerId, Budget] = {}

    @property
    def spent(self) -> dict[OwnerId, int]:
        """Extra attempts of each owner since the daemon's start."""
        return {owner: budget.spent for owner, budget in self._by_owner.items()}

    @property
    def withheld(self) -> dict[OwnerId, Counter[WithheldCause]]:
        """Hedges of each owner that were due and not sent, by cause."""
        return {owner: budget.withheld for owner, budget in self._by_owner.items()}

    def budget_of(self, owner: OwnerId) -> Budget:
        """Returns the budget of one owner."""
        budget = self._by_owner.get(owner)
        if budget is None:
            budget = self._by_owner[owner] = Budget()
        return budget


def hedge_delay_s(
    policy: HedgePolicy, estimate: LatencyEstimate | None, has_surplus: bool
) -> float | None:
    """Returns how long an attempt may take before it is hedged, none for never.

    A burst of slow replies keeps the straggler quantile high for as long as it is a
    few percent of all that is remembered. The budget is in surplus then, and the last
    seconds are gone by. Without a surplus the longer memory keeps the hedges for the
    worst stragglers while reply times go up and down.

    Args:
        policy: The owner's policy.
        estimate: What is known of the index.
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
    """Returns how many hedges each first attempt earns."""
    match policy:
        case NeverHedge():
            return 0.0
        case BudgetedHedge(extra_load=extra_load):
            return extra_load


def straggler_quantile(policy: HedgePolicy) -> float:
    """Returns the quantile of the reply times after which a reply counts as late."""
    match policy:
        case NeverHedge():
            return STRAGGLER_QUANTILE
        case BudgetedHedge(quantile=quantile):
            return quantile
