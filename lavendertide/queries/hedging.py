"""When a straggling shard is asked of a second replica.

The policy is a data class, so that baselines are variants and not other code.
"""

from typing import Final

from lavendertide.options import BudgetedHedge, HedgePolicy, NeverHedge

HEDGE_TOKENS_MAX: Final = 50.0


class HedgeBudget:
    """Hedges that an owner may still send, earned by its first attempts."""

    def __init__(self) -> None:
        self._tokens = HEDGE_TOKENS_MAX

    def earn(self, policy: HedgePolicy, attempts: int) -> None:
        """Earns a part of a hedge for each first attempt."""
        match policy:
            case BudgetedHedge(extra_load=extra_load):
                gained = attempts * extra_load
                self._tokens = min(HEDGE_TOKENS_MAX, self._tokens + gained)
            case NeverHedge():
                pass

    def spend(self) -> bool:
        """Takes one hedge out of the budget; returns whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def hedge_at_s(policy: HedgePolicy, started_at_s: float) -> float | None:
    """Returns when stragglers of a query are hedged, none for never."""
    match policy:
        case NeverHedge():
            return None
        case BudgetedHedge(delay_cold_ms=delay_ms):
            return started_at_s + delay_ms / 1000
