"""Which two members hold a target's slots in this daemon's view.

The table keeps what it has worked out until a member changes, since it is asked for
each sub-request.
"""

from dataclasses import dataclass

from lavendertide.fleet.ranking import TargetRanks
from lavendertide.fleet.roster import Roster
from lavendertide.ids import TargetId
from lavendertide.messages import MemberRecord
from lavendertide.targets.place import TargetPlace


@dataclass(frozen=True, slots=True)
class Holders:
    """The members that matter for one target.

    Attributes:
        backup: The first other member, on another host if there is one.
        successor: Who would be the primary without the primary.
    """

    primary: MemberRecord
    backup: MemberRecord | None
    successor: MemberRecord | None


class HolderTable:
    """The holders of all targets, worked out when first asked for."""

    def __init__(self, roster: Roster) -> None:
        self._roster = roster
        self._ranks = TargetRanks(roster)
        self._generation = -1
        self._known: dict[TargetId, tuple[TargetPlace, Holders | None]] = {}

    @property
    def generation(self) -> int:
        """Rises with each change of a member."""
        return self._roster.generation

    def holders_of(self, place: TargetPlace) -> Holders | None:
        """Returns the holders of a target; none if its region has no members."""
        if self._generation != self._roster.generation:
            self._generation = self._roster.generation
            self._known.clear()
        known = self._known.get(place.target)
        if known is None or known[0] is not place:
            known = place, holders_in(self._ranks.ranked_members(place))
            self._known[place.target] = known
        return known[1]


def holders_in(order: list[MemberRecord]) -> Holders | None:
    """Returns the holders, given the members in rank order."""
    if not order:
        return None
    primary, others = order[0], order[1:]
    elsewhere = (member for member in others if member.host != primary.host)
    successor = others[0] if others else None
    return Holders(primary, next(elsewhere, successor), successor)
