"""The plans that this daemon allocates for the fleet.

`lavendertide.plans.allocation` divides one plan; here claims come in for all of them.

A daemon that has just become a plan's allocator does not know what the others hold
until they have claimed here. Members that it cannot hear, because it started in a
network split, may hold shares that it never learns of. Until they are heard again or
are gone, it says that such a plan has not settled, and its grants count for little.
"""

from collections.abc import Callable, Iterable
from typing import Final

from lavendertide.ids import DaemonId, PlanId
from lavendertide.messages import PlanClaim, PlanClaims, PlanGrant, PlanGrants
from lavendertide.plans.allocation import NEW_HOLDERS_SHARE, PlanAllocation, Presence

SETTLING_S: Final = 2.5
HALF: Final = 0.5


class PlanAllocator:
    """The allocations of all plans that this daemon is asked about.

    Args:
        rate_of: Rate of a plan in the configuration in force, none if there is no
            such plan.
        presence: What the roster says about a daemon.
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
        self._unheard: set[DaemonId] = set()
        self._allocations: dict[PlanId, PlanAllocation] = {}

    def find(self, plan: PlanId) -> PlanAllocation | None:
        """Returns a plan's allocation if this daemon has been asked about it."""
        return self._allocations.get(plan)

    def note_members_changed(self, now_s: float) -> None:
        """Notes that plans may come here that others allocated before."""
        self._changed_at_s = now_s

    def note_silence(self, members: Iterable[DaemonId], now_s: float) -> None:
        """Notes which members may hold shares that this daemon cannot learn of.

        Args:
            members: The members of the fleet.
            now_s: Present time.
        """
        known = members if self._has_changed(now_s) else self._unheard
        self._unheard = {
            daemon for daemon in known if self._presence(daemon) is Presence.SILENT
        }
        if self._unheard:
            self._put_off_settling(now_s)

    def _put_off_settling(self, now_s: float) -> None:
        for allocation in self._allocations.values():
            if not allocation.is_settled(now_s):
                allocation.put_off_settling(now_s + SETTLING_S)

    def forget_absent(self, now_s: float) -> None:
        """Drops holders that are gone and plans that nobody claims."""
        for plan, allocation in list(self._allocations.items()):
            allocation.drop_absent(self._presence, now_s)
            if not allocation.shares:
                del self._allocations[plan]

    def handle(self, message: PlanClaims, now_s: float) -> PlanGrants:
        """Returns what the sender of claims may grant from now on."""
        grants = []
        for claim in message.claims:
            rate_per_s = self._rate_of(claim.plan)
            if rate_per_s is not None:
                grants.append(self._claim(message, claim, rate_per_s, now_s))
        return PlanGrants(message.exchange, tuple(grants))

    def _claim(
        self, message: PlanClaims, claim: PlanClaim, rate_per_s: float, now_s: float
    ) -> PlanGrant:
        allocation = self._allocations.get(claim.plan)
        if allocation is None:
            allocation = PlanAllocation(self._settled_at_s(now_s))
            self._allocations[claim.plan] = allocation
        is_settled = allocation.is_settled(now_s)
        share = allocation.claim(
            message.daemon,
            message.incarnation,
            claim,
            rate_per_s,
            _most(claim),
            self._presence,
            now_s,
        )
        return PlanGrant(claim.plan, share, is_settled)

    def _settled_at_s(self, now_s: float) -> float:
        """Returns when a plan that was not known here until now has settled.

        A daemon whose fellow members have just changed may be asked about a plan that
        others allocated before, whose holders still have to claim here.
        """
        is_unsure = self._unheard or self._has_changed(now_s)
        return now_s + SETTLING_S if is_unsure else now_s

    def _has_changed(self, now_s: float) -> bool:
        return now_s - self._changed_at_s < 2 * SETTLING_S


def _most(claim: PlanClaim) -> float:
    """Returns what may be divided, by whom the sender of a claim reaches."""
    if claim.reached == 0 or 2 * claim.reached > claim.allocators:
        return 1.0 + NEW_HOLDERS_SHARE
    return HALF if 2 * claim.reached == claim.allocators else NEW_HOLDERS_SHARE
