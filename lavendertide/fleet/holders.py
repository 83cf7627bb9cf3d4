"""Which two members hold a target's slots in this daemon's view.

The table keeps the orders that it has worked out until the members change, since it
is asked for each sub-request.
"""

from collections.abc import Callable
from dataclasses import dataclass

from lavendertide.configuration.catalog import TargetPlace
from lavendertide.fleet.ranking import rank_for_target
from lavendertide.ids import DaemonId, TargetId
from lavendertide.messages import MemberRecord


@dataclass(frozen=True, slots=True)
class Holders:
    """The members that matter for one target.

    Attributes:
        backup: The first other member, on another host if there is one.
        heir: Who would be the primary without the primary.
    """

    primary: MemberRecord
    backup: MemberRecord | None
    heir: MemberRecord | None


class HolderTable:
    """The holders of all targets, worked out when first asked for.

    Args:
        members: Returns all members that are not removed.
    """

    def __init__(self, members: Callable[[], list[MemberRecord]]) -> None:
        self._read_members = members
        self._members: list[MemberRecord] = []
        self._known: dict[TargetId, tuple[TargetPlace, Holders | None]] = {}

    @property
    def members(self) -> list[MemberRecord]:
        """All members as they were read last."""
        return self._members

    def refresh(self) -> bool:
        """Reads the members anew; returns whether they have changed."""
        members = self._read_members()
        if members == self._members:
            return False
        self._members = members
        self._known.clear()
        return True

    def of(self, place: TargetPlace) -> Holders | None:
        """Returns the holders of a target; none if its region has no members."""
        known = self._known.get(place.target)
        if known is None or known[0] is not place:
            known = place, holders_in(rank_for_target(place, self._members))
            self._known[place.target] = known
        return known[1]

    def find(self, daemon: DaemonId) -> MemberRecord | None:
        """Returns a member by name."""
        return next((m for m in self._members if m.daemon == daemon), None)


def holders_in(order: list[MemberRecord]) -> Holders | None:
    """Returns the holders, given the members in rank order."""
    if not order:
        return None
    primary, others = order[0], order[1:]
    elsewhere = (member for member in others if member.host != primary.host)
    heir = others[0] if others else None
    return Holders(primary, next(elsewhere, heir), heir)
