"""Division of one plan among the daemons that serve it.

Every daemon that serves a plan claims a share at each of the plan's allocators. The
grant of one allocator counts. The others receive the same claims, so that any of them
can take over.

The shares known to one allocator add up to at most `1 + NEW_HOLDERS_SHARE`:

- A reduced share counts as freed only after its holder has confirmed the reduction.
- A silent holder keeps its share until the roster removes it.
- A holder that reaches exactly half of the plan's allocators shares in one half of the
  plan, and one that reaches fewer shares in `NEW_HOLDERS_SHARE`. Otherwise both sides
  of a network split would grant the full plan.
- A new holder does not know yet which allocators it reaches, so all new holders
  together receive at most `NEW_HOLDERS_SHARE`.
- The daemons that an allocator reaches can always hold `NEW_HOLDERS_SHARE` together.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Final

from lavendertide.ids import DaemonId, Incarnation
from lavendertide.messages import PlanClaim

NEW_HOLDERS_SHARE: Final = 0.25
STALE_CLAIM_S: Final = 30.0
RECOMPUTE_INTERVAL_S: Final = 0.2
HOLDERS_MAX: Final = 2_048


class Presence(Enum):
    """Roster state of a daemon that has claimed a share."""

    PRESENT = "present"
    SILENT = "silent"
    GONE = "gone"


def compute_max_min_shares(
    demands: Mapping[DaemonId, float], rate_per_s: float
) -> dict[DaemonId, float]:
    """Divides a rate by max-min fairness and spreads the unclaimed rest evenly.

    Args:
        demands: Queries per second that arrive at each daemon.
        rate_per_s: Queries per second of the full plan.

    Returns:
        The share of each daemon. The shares add up to one.
    """
    remaining_per_s = rate_per_s
    rates_per_s: dict[DaemonId, float] = {}
    by_demand = sorted(demands, key=lambda daemon: (demands[daemon], daemon))
    for number, daemon in enumerate(by_demand):
        equal_per_s = remaining_per_s / (len(by_demand) - number)
        rates_per_s[daemon] = min(demands[daemon], equal_per_s)
        remaining_per_s -= rates_per_s[daemon]
    spare_per_s = max(0.0, remaining_per_s) / max(1, len(rates_per_s))
    return {
        daemon: (rate + spare_per_s) / rate_per_s
        for daemon, rate in rates_per_s.items()
    }


@dataclass(slots=True)
class _Holder:
    """The last claim of a daemon and the largest share that it may be using."""

    incarnation: Incarnation
    demand_per_s: float
    share: float
    is_new: bool
    claimed_at_s: float


class PlanAllocation:
    """Shares of one plan that this daemon has granted.

    Args:
        settled_at_s: Time from which all holders have had time to claim here.
    """

    def __init__(self, settled_at_s: float) -> None:
        self._settled_at_s = settled_at_s
        self._holders: dict[DaemonId, _Holder] = {}
        self._target_shares: dict[DaemonId, float] = {}
        self._computed_at_s = float("-inf")

    @property
    def granted(self) -> float:
        """Sum of the shares that may be in use."""
        return sum(holder.share for holder in self._holders.values())

    @property
    def shares(self) -> dict[DaemonId, float]:
        """The largest share that each holder may be using."""
        return {daemon: holder.share for daemon, holder in self._holders.items()}

    @property
    def demand_per_s(self) -> float:
        """Queries per second that arrive at all known holders."""
        return sum(holder.demand_per_s for holder in self._holders.values())

    def is_settled(self, now_s: float) -> bool:
        """Returns whether all holders have had time to claim here."""
        return now_s >= self._settled_at_s

    def defer_settling(self, settled_at_s: float) -> None:
        """Replaces the time from which all holders have had time to claim here."""
        self._settled_at_s = settled_at_s

    def remove_absent(
        self, presence: Callable[[DaemonId], Presence], now_s: float
    ) -> None:
        """Removes holders that are gone or are present but no longer claim."""
        for daemon, holder in list(self._holders.items()):
            is_stale = now_s - holder.claimed_at_s > STALE_CLAIM_S
            state = presence(daemon)
            if state is Presence.GONE or (is_stale and state is Presence.PRESENT):
                del self._holders[daemon]

    def apply_claim(
        self,
        daemon: DaemonId,
        incarnation: Incarnation,
        claim: PlanClaim,
        rate_per_s: float,
        divisible_share: float,
        presence: Callable[[DaemonId], Presence],
        now_s: float,
    ) -> float:
        """Applies a claim and returns the share granted to its sender.

        Args:
            daemon: The sender.
            incarnation: Incarnation of the sender. A later one inherits no share from
                an earlier one, whose claims are ignored from then on.
            claim: The sender's present demand, share and reach.
            rate_per_s: The rate of the full plan.
            divisible_share: Part of the plan that this allocator may divide.
            presence: Returns the roster state of a daemon.
            now_s: Present time.
        """
        known = self._holders.get(daemon)
        if known is not None and incarnation < known.incarnation:
            return 0.0
        if claim.demand_per_s <= 0.0:
            self._holders.pop(daemon, None)
            return 0.0
        if known is None and len(self._holders) >= HOLDERS_MAX:
            return claim.share
        is_new = claim.reached == 0
        self._holders[daemon] = _Holder(
            incarnation, claim.demand_per_s, claim.share, is_new, now_s
        )
        target_share = self._compute_target_share(
            daemon, rate_per_s, known is None, now_s
        )
        if is_new:
            remaining_share = NEW_HOLDERS_SHARE - self._sum_new_holder_shares(daemon)
            target_share = min(target_share, max(claim.share, remaining_share))
        return self._grant(daemon, target_share, divisible_share, presence)

    def _sum_new_holder_shares(self, excluded: DaemonId) -> float:
        return sum(
            holder.share
            for daemon, holder in self._holders.items()
            if daemon != excluded and holder.is_new
        )

    def _grant(
        self,
        daemon: DaemonId,
        target_share: float,
        divisible_share: float,
        presence: Callable[[DaemonId], Presence],
    ) -> float:
        held_share = self._holders[daemon].share
        if target_share <= held_share:
            return target_share
        free_share = divisible_share - (self.granted - held_share)
        if free_share < target_share:
            silent_share = self._sum_silent_shares(presence)
            free_share = max(
                free_share,
                NEW_HOLDERS_SHARE - (self.granted - held_share - silent_share),
            )
        share = max(held_share, min(target_share, free_share))
        self._holders[daemon].share = share
        return share

    def _sum_silent_shares(self, presence: Callable[[DaemonId], Presence]) -> float:
        return sum(
            holder.share
            for daemon, holder in self._holders.items()
            if presence(daemon) is Presence.SILENT
        )

    def _compute_target_share(
        self, daemon: DaemonId, rate_per_s: float, is_new: bool, now_s: float
    ) -> float:
        if is_new or now_s - self._computed_at_s >= RECOMPUTE_INTERVAL_S:
            demands = {d: h.demand_per_s for d, h in self._holders.items()}
            self._target_shares = compute_max_min_shares(demands, rate_per_s)
            self._computed_at_s = now_s
        return self._target_shares.get(daemon, 0.0)
