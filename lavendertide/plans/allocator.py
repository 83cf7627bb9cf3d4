"""Allocator of plan shares for the fleet.

It handles the claims for all plans. `lavendertide.plans.allocation` divides one plan.

A daemon that has just become an allocator of a plan does not know the shares of the
other daemons until they have claimed here. If it started in a network split, members
that it cannot reach may hold shares that are never claimed here. Until these members
are reachable again or removed, its grants are marked as not settled, and grants of
settled allocators go before them.
"""

from collections.abc import Callable, Iterable
from typing import Final

from lavendertide.ids import DaemonId, PlanId
from lavendertide.messages import PlanClaim, PlanClaims, PlanGrant, PlanGrants
from lavendertide.plans.allocation import NEW_HOLDERS_SHARE, PlanAllocation, Presence

SETTLING_S: Final = 2.5
HALF_REACH_SHARE: Final = 0.5


class PlanAllocator:
    """Divides every plan for which claims arrive at this daemon.

    Args:
        rate_of: Returns the rate of a plan in the configuration in force, none if
            there is no such plan.
        presence: Returns the roster state of a daemon.
        started_at_s: Present time.
    """

    def __init__(
        self,
        rate_of: Callable[[PlanId], float | None],
        presence: Callable[[DaemonId], Presence],
        started_at_s: float,
    ) -> None:
        self._rate_of = rate_of
        self._presence = presence
        self._changed_at_s = started_at_s
        self._silent_members: set[DaemonId] = set()
        self._allocations: dict[PlanId, PlanAllocation] = {}

    def find(self, plan: PlanId) -> PlanAllocation | None:
        """Returns the allocation of a plan, none if nobody claims it here."""
        return self._allocations.get(plan)

    def record_members_changed(self, now_s: float) -> None:
        """Records that plans may move here from other allocators."""
        self._changed_at_s = now_s

    def record_silent_members(self, members: Iterable[DaemonId], now_s: float) -> None:
        """Records the silent members, whose shares may be unknown to this daemon.

        While there are any, plans that have not settled yet stay so. Members that fall
        silent later than `2 * SETTLING_S` after the last membership change are left
        out, because they have had time to claim here.

        Args:
            members: The members of the fleet.
            now_s: Present time.
        """
        known = members if self._has_changed(now_s) else self._silent_members
        self._silent_members = {
            daemon for daemon in known if self._presence(daemon) is Presence.SILENT
        }
        if self._silent_members:
            self._defer_settling(now_s)

    def _defer_settling(self, now_s: float) -> None:
        for allocation in self._allocations.values():
            if not allocation.is_settled(now_s):
                allocation.defer_settling(now_s + SETTLING_S)

    def remove_absent(self, now_s: float) -> None:
        """Removes holders that are gone, and plans that nobody claims."""
        for plan, allocation in list(self._allocations.items()):
            allocation.remove_absent(self._presence, now_s)
            if not allocation.shares:
                del self._allocations[plan]

    def handle(self, message: PlanClaims, now_s: float) -> PlanGrants:
        """Applies claims and returns the granted shares; unknown plans are left out."""
        grants = []
        for claim in message.claims:
            rate_per_s = self._rate_of(claim.plan)
            if rate_per_s is not None:
                grants.append(self._grant(message, claim, rate_per_s, now_s))
        return PlanGrants(message.exchange, tuple(grants))

    def _grant(
        self, message: PlanClaims, claim: PlanClaim, rate_per_s: float, now_s: float
    ) -> PlanGrant:
        allocation = self._allocations.get(claim.plan)
        if allocation is None:
            allocation = PlanAllocation(self._compute_settled_at_s(now_s))
            self._allocations[claim.plan] = allocation
        is_settled = allocation.is_settled(now_s)
        share = allocation.apply_claim(
            message.daemon,
            message.incarnation,
            claim,
            rate_per_s,
            _divisible_share(claim),
            self._presence,
            now_s,
        )
        return PlanGrant(claim.plan, share, is_settled)

    def _compute_settled_at_s(self, now_s: float) -> float:
        """Returns when a plan that is claimed here for the first time has settled.

        After a membership change the plan may have moved here from another allocator,
        and its holders have yet to claim here.
        """
        may_lack_holders = self._silent_members or self._has_changed(now_s)
        return now_s + SETTLING_S if may_lack_holders else now_s

    def _has_changed(self, now_s: float) -> bool:
        return now_s - self._changed_at_s < 2 * SETTLING_S


def _divisible_share(claim: PlanClaim) -> float:
    """Returns the part of the plan to divide, given the reach of the sender."""
    if claim.reached == 0 or 2 * claim.reached > claim.allocators:
        return 1.0 + NEW_HOLDERS_SHARE
    return (
        HALF_REACH_SHARE if 2 * claim.reached == claim.allocators else NEW_HOLDERS_SHARE
    )
