"""Which daemons allocate a plan, and whose grants count.

A plan's allocators are the first members of each region in rendezvous order. The grant
of the first one that answers counts; the others only know the claims.
"""

from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Final

from lavendertide.fleet.ranking import score
from lavendertide.ids import DaemonId, PlanId, Region
from lavendertide.messages import MemberRecord

ALLOCATORS_PER_REGION: Final = 3


@dataclass(frozen=True, slots=True)
class Reach:
    """How many of a plan's allocators answer and know its holders, out of all."""

    reached: int
    allocators: int


class Allocators:
    """The allocators of all plans as one daemon sees them."""

    def __init__(self) -> None:
        self._members: dict[DaemonId, MemberRecord] = {}
        self._ranked: dict[PlanId, list[MemberRecord]] = {}
        self._answered: dict[PlanId, dict[DaemonId, bool]] = {}

    @property
    def member_count(self) -> int:
        """Daemons of the fleet."""
        return len(self._members)

    def update_members(self, members: Iterable[MemberRecord]) -> bool:
        """Takes over the roster's members; returns whether some came or went."""
        by_name = {member.daemon: member for member in members}
        if by_name.keys() == self._members.keys():
            return False
        self._members = by_name
        for daemon in {d for a in self._answered.values() for d in a} - by_name.keys():
            self.note_silence(daemon)
        self._ranked.clear()
        return True

    def allocators_of(self, plan: PlanId) -> list[MemberRecord]:
        """Returns a plan's allocators in the order in which their grants count."""
        ranked = self._ranked.get(plan)
        if ranked is None:
            ranked = _rank(plan, self._members.values())
            self._ranked[plan] = ranked
        return ranked

    def note_silence(self, daemon: DaemonId) -> None:
        """Notes that an allocator has not answered the last claim."""
        for answered in self._answered.values():
            answered.pop(daemon, None)

    def note_grant(self, daemon: DaemonId, plan: PlanId, is_settled: bool) -> bool:
        """Takes in who has granted a share; returns whether the grant counts.

        It counts if no allocator that goes before answers. One that does not yet know
        the plan's holders goes behind those that do.
        """
        answered = self._answered.setdefault(plan, {})
        answered[daemon] = is_settled
        has_settled = any(answered.values())
        for member in self.allocators_of(plan):
            if member.daemon in answered and answered[member.daemon] >= has_settled:
                return member.daemon == daemon
        return False

    def reach_of(self, plan: PlanId) -> Reach:
        """Returns how many of a plan's allocators answer and know its holders.

        One that started in a network split does not know them. If it counted, both
        sides could take themselves for the larger one.
        """
        allocators = self.allocators_of(plan)
        answered = self._answered.get(plan, {})
        reached = sum(answered.get(member.daemon, False) for member in allocators)
        return Reach(reached, len(allocators))

    def forget_plans(self, kept: Collection[PlanId]) -> None:
        """Drops what was noted about plans that are no longer used here."""
        for plan in set(self._answered) - set(kept):
            del self._answered[plan]
        for plan in set(self._ranked) - set(kept):
            del self._ranked[plan]


def _rank(plan: PlanId, members: Iterable[MemberRecord]) -> list[MemberRecord]:
    allocators = []
    taken: Counter[Region] = Counter()
    for member in sorted(members, key=lambda m: -score(plan, m.daemon)):
        if taken[member.region] < ALLOCATORS_PER_REGION:
            taken[member.region] += 1
            allocators.append(member)
    return allocators
