"""Determines the two members that hold a target's slots in this daemon's view.

The table caches the holders until a member changes, since they are looked up for each
sub-request.
"""

from dataclasses import dataclass

from lavendertide.fleet.ranking import TargetRanks
from lavendertide.fleet.roster import Roster
from lavendertide.ids import TargetId
from lavendertide.messages import MemberRecord
from lavendertide.targets.place import TargetPlace


@dataclass(frozen=True, slots=True)
class Holders:
    """The members that hold one target's slots.

    Attributes:
        primary: The first member in rank order.
        backup: The first other member, on another host if there is one.
        successor: The member that becomes primary if the primary leaves.
    """

    primary: MemberRecord
    backup: MemberRecord | None
    successor: MemberRecord | None


class HolderTable:
    """Caches the holders of targets, computed at their first lookup."""

    def __init__(self, roster: Roster) -> None:
        self._roster = roster
        self._ranks = TargetRanks(roster)
        self._generation = -1
        self._cached: dict[TargetId, tuple[TargetPlace, Holders | None]] = {}

    @property
    def generation(self) -> int:
        """A counter that increases with each change of a member."""
        return self._roster.generation

    def holders_of(self, place: TargetPlace) -> Holders | None:
        """Returns the holders of a target; none if its region has no members."""
        if self._generation != self._roster.generation:
            self._generation = self._roster.generation
            self._cached.clear()
        cached = self._cached.get(place.target)
        if cached is None or cached[0] is not place:
            cached = place, holders_from_ranking(self._ranks.ranked_members(place))
            self._cached[place.target] = cached
        return cached[1]


def holders_from_ranking(order: list[MemberRecord]) -> Holders | None:
    """Returns the holders, given the members in rank order; none without any."""
    if not order:
        return None
    primary, others = order[0], order[1:]
    elsewhere = (member for member in others if member.host != primary.host)
    successor = others[0] if others else None
    return Holders(primary, next(elsewhere, successor), successor)
