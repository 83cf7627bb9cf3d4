"""How one daemon divides the plans that it allocates.

All daemons that serve a plan claim their shares at each of its allocators; the grant of
one of them counts, and the others know the same claims and can take over.

The shares known to one allocator are together at most `1 + NEWCOMERS_PART`. A lower
share counts only once its holder has confirmed it, and the share of a silent holder
stays its own until the roster drops it. A holder that reaches only half of the plan's
allocators is given from one half of the plan, and one that reaches fewer from
`NEWCOMERS_PART`, so that the sides of a split do not each give out the whole. A new
holder cannot tell yet whom it reaches; all new holders are given `NEWCOMERS_PART`. The
daemons that an allocator reaches can always have `NEWCOMERS_PART` between them.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Final

from lavendertide.ids import DaemonId, Incarnation
from lavendertide.messages import PlanClaim

NEW_HOLDERS_SHARE: Final = 0.25
STALE_CLAIM_S: Final = 30.0
RECOMPUTE_S: Final = 0.2
HOLDERS_MAX: Final = 2_048


class Presence(Enum):
    """What the roster says about a daemon that has claimed a share."""

    PRESENT = "present"
    SILENT = "silent"
    GONE = "gone"


def max_min_shares(
    demands: Mapping[DaemonId, float], rate_per_s: float
) -> dict[DaemonId, float]:
    """Divides a rate by max-min fairness; what nobody asks for is spread evenly.

    Args:
        demands: Queries a second that each daemon sees.
        rate_per_s: Queries a second of the whole plan.

    Returns:
        Each daemon's part; together they are one.
    """
    left_per_s = rate_per_s
    parts: dict[DaemonId, float] = {}
    rising = sorted(demands, key=lambda daemon: (demands[daemon], daemon))
    for number, daemon in enumerate(rising):
        even_per_s = left_per_s / (len(rising) - number)
        parts[daemon] = min(demands[daemon], even_per_s)
        left_per_s -= parts[daemon]
    spare_per_s = max(0.0, left_per_s) / max(1, len(parts))
    return {daemon: (part + spare_per_s) / rate_per_s for daemon, part in parts.items()}


@dataclass(slots=True)
class _Holder:
    """One daemon's claim, and the most that it may be granting now."""

    incarnation: Incarnation
    demand_per_s: float
    share: float
    is_new: bool
    heard_at_s: float


class PlanAllocation:
    """One plan's holders on a daemon that allocates it.

    Args:
        settled_at_s: From when on all holders have had time to claim here.
    """

    def __init__(self, settled_at_s: float) -> None:
        self._settled_at_s = settled_at_s
        self._holders: dict[DaemonId, _Holder] = {}
        self._targets: dict[DaemonId, float] = {}
        self._computed_at_s = float("-inf")

    @property
    def granted(self) -> float:
        """Sum of the shares that may be in use."""
        return sum(holder.share for holder in self._holders.values())

    @property
    def shares(self) -> dict[DaemonId, float]:
        """The share of each holder."""
        return {daemon: holder.share for daemon, holder in self._holders.items()}

    @property
    def demand_per_s(self) -> float:
        """Queries a second that reach the fleet, as far as known here."""
        return sum(holder.demand_per_s for holder in self._holders.values())

    def is_settled(self, now_s: float) -> bool:
        """Returns whether all holders have had time to claim here."""
        return now_s >= self._settled_at_s

    def put_off_settling(self, settled_at_s: float) -> None:
        """Sets a later time from when on all holders have had time to claim here."""
        self._settled_at_s = settled_at_s

    def drop_absent(
        self, presence: Callable[[DaemonId], Presence], now_s: float
    ) -> None:
        """Forgets holders that are gone, and present ones that no longer claim."""
        for daemon, holder in list(self._holders.items()):
            stale = now_s - holder.heard_at_s > STALE_CLAIM_S
            state = presence(daemon)
            if state is Presence.GONE or (stale and state is Presence.PRESENT):
                del self._holders[daemon]

    def claim(
        self,
        daemon: DaemonId,
        incarnation: Incarnation,
        claim: PlanClaim,
        rate_per_s: float,
        most: float,
        presence: Callable[[DaemonId], Presence],
        now_s: float,
    ) -> float:
        """Takes in a claim and returns the share that its sender may grant.

        Args:
            daemon: The sender.
            incarnation: The sender's; a later one holds nothing of an earlier one.
            claim: What the sender sees and grants at present.
            rate_per_s: The rate of the whole plan.
            most: What this allocator may divide, a part of the plan.
            presence: What the roster says about a daemon.
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
        target = self._target(daemon, rate_per_s, known is None, now_s)
        if is_new:
            left = NEW_HOLDERS_SHARE - self._granted_to_newcomers(daemon)
            target = min(target, max(claim.share, left))
        return self._grant(daemon, target, most, presence)

    def _granted_to_newcomers(self, besides: DaemonId) -> float:
        return sum(
            holder.share
            for daemon, holder in self._holders.items()
            if daemon != besides and holder.is_new
        )

    def _grant(
        self,
        daemon: DaemonId,
        target: float,
        most: float,
        presence: Callable[[DaemonId], Presence],
    ) -> float:
        held = self._holders[daemon].share
        if target <= held:
            return target
        free = most - (self.granted - held)
        if free < target:
            silent = self._silent(presence)
            free = max(free, NEW_HOLDERS_SHARE - (self.granted - held - silent))
        share = max(held, min(target, free))
        self._holders[daemon].share = share
        return share

    def _silent(self, presence: Callable[[DaemonId], Presence]) -> float:
        return sum(
            holder.share
            for daemon, holder in self._holders.items()
            if presence(daemon) is Presence.SILENT
        )

    def _target(
        self, daemon: DaemonId, rate_per_s: float, is_new: bool, now_s: float
    ) -> float:
        if is_new or now_s - self._computed_at_s >= RECOMPUTE_S:
            demands = {d: h.demand_per_s for d, h in self._holders.items()}
            self._targets = max_min_shares(demands, rate_per_s)
            self._computed_at_s = now_s
        return self._targets.get(daemon, 0.0)
