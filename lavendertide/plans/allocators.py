"""Selection of the allocators of each plan, and of the one whose grants count.

A plan's allocators are the first members of each region in rendezvous order. The grant
of the first one that replies counts. The others only record the claims.
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
    """How many allocators of a plan reply and know its holders.

    Attributes:
        reached: Allocators that reply and know the plan's holders.
        allocators: All allocators of the plan.
    """

    reached: int
    allocators: int


class Allocators:
    """Ranks the allocators of each plan and records which of them reply."""

    def __init__(self) -> None:
        self._members: dict[DaemonId, MemberRecord] = {}
        self._ranked: dict[PlanId, list[MemberRecord]] = {}
        self._replies: dict[PlanId, dict[DaemonId, bool]] = {}

    @property
    def member_count(self) -> int:
        """Number of daemons in the fleet."""
        return len(self._members)

    def update_members(self, members: Iterable[MemberRecord]) -> bool:
        """Applies the roster's members; returns whether any joined or left."""
        by_name = {member.daemon: member for member in members}
        if by_name.keys() == self._members.keys():
            return False
        self._members = by_name
        for daemon in {d for a in self._replies.values() for d in a} - by_name.keys():
            self.record_silence(daemon)
        self._ranked.clear()
        return True

    def allocators_of(self, plan: PlanId) -> list[MemberRecord]:
        """Returns a plan's allocators in the order in which their grants count."""
        ranked = self._ranked.get(plan)
        if ranked is None:
            ranked = _rank(plan, self._members.values())
            self._ranked[plan] = ranked
        return ranked

    def record_silence(self, daemon: DaemonId) -> None:
        """Records that an allocator has not replied to the last claim."""
        for replies in self._replies.values():
            replies.pop(daemon, None)

    def record_grant(self, daemon: DaemonId, plan: PlanId, is_settled: bool) -> bool:
        """Records which allocator has granted a share; returns whether it counts.

        The grant of the first allocator that replies counts. Allocators that do not
        know the plan's holders yet rank behind those that do.

        Args:
            daemon: The allocator.
            plan: The plan.
            is_settled: Whether the allocator knows the plan's holders.
        """
        replies = self._replies.setdefault(plan, {})
        replies[daemon] = is_settled
        has_settled = any(replies.values())
        for member in self.allocators_of(plan):
            if member.daemon in replies and replies[member.daemon] >= has_settled:
                return member.daemon == daemon
        return False

    def reach_of(self, plan: PlanId) -> Reach:
        """Returns how many of a plan's allocators reply and know its holders.

        An allocator that started in a network split does not know them. If it counted,
        both sides of the split could regard themselves as the larger one.
        """
        allocators = self.allocators_of(plan)
        replies = self._replies.get(plan, {})
        reached = sum(replies.get(member.daemon, False) for member in allocators)
        return Reach(reached, len(allocators))

    def retain_plans(self, kept: Collection[PlanId]) -> None:
        """Removes the records of all plans except those kept."""
        for plan in set(self._replies) - set(kept):
            del self._replies[plan]
        for plan in set(self._ranked) - set(kept):
            del self._ranked[plan]


def _rank(plan: PlanId, members: Iterable[MemberRecord]) -> list[MemberRecord]:
    allocators = []
    counts: Counter[Region] = Counter()
    for member in sorted(members, key=lambda m: -score(plan, m.daemon)):
        if counts[member.region] < ALLOCATORS_PER_REGION:
            counts[member.region] += 1
            allocators.append(member)
    return allocators
