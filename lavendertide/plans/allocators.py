"""Which daemons allocate a plan, and whose grants count.

A plan's allocators are the first members of each region in rendezvous order. The grant
of the first one that answers counts; the others only know the claims.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from lavendertide.fleet.ranking import score
from lavendertide.ids import DaemonId, PlanId, Region
from lavendertide.messages import MemberRecord

ALLOCATORS_PER_REGION: Final = 3


@dataclass(frozen=True, slots=True)
class Reach:
    """How many of a plan's allocators answer, out of all."""

    reached: int
    allocators: int


class Allocators:
    """The allocators of all plans as one daemon sees them."""

    def __init__(self) -> None:
        self._members: dict[DaemonId, MemberRecord] = {}
        self._ranked: dict[PlanId, list[MemberRecord]] = {}
        self._reached: set[DaemonId] = set()

    @property
    def member_count(self) -> int:
        """Daemons of the fleet."""
        return len(self._members)

    def follow(self, members: Iterable[MemberRecord]) -> bool:
        """Takes over the roster's members; returns whether some came or went."""
        by_name = {member.daemon: member for member in members}
        if by_name.keys() == self._members.keys():
            return False
        self._members = by_name
        self._reached &= by_name.keys()
        self._ranked.clear()
        return True

    def of(self, plan: PlanId) -> list[MemberRecord]:
        """Returns a plan's allocators in the order in which their grants count."""
        ranked = self._ranked.get(plan)
        if ranked is None:
            ranked = _rank(plan, self._members.values())
            self._ranked[plan] = ranked
        return ranked

    def note_answer(self, daemon: DaemonId) -> None:
        """Notes that an allocator has answered the last claim."""
        self._reached.add(daemon)

    def note_silence(self, daemon: DaemonId) -> None:
        """Notes that an allocator has not answered the last claim."""
        self._reached.discard(daemon)

    def reach_of(self, plan: PlanId) -> Reach:
        """Returns how many of a plan's allocators answer."""
        allocators = self.of(plan)
        reached = sum(member.daemon in self._reached for member in allocators)
        return Reach(reached, len(allocators))

    def counts(self, daemon: DaemonId, plan: PlanId) -> bool:
        """Returns whether no allocator that goes before this one answers."""
        for member in self.of(plan):
            if member.daemon == daemon:
                return True
            if member.daemon in self._reached:
                return False
        return False


def _rank(plan: PlanId, members: Iterable[MemberRecord]) -> list[MemberRecord]:
    allocators = []
    taken: Counter[Region] = Counter()
    for member in sorted(members, key=lambda m: -score(plan, m.daemon)):
        if taken[member.region] < ALLOCATORS_PER_REGION:
            taken[member.region] += 1
            allocators.append(member)
    return allocators
