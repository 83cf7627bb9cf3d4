"""Divides each target's slots evenly among daemons, as a baseline for comparison.

This needs no lease, but the remainder of the division stays unused, and the daemons
together exceed the slots of a target that has fewer slots than there are daemons.
"""

from lavendertide.configuration.adoption import Configuration
from lavendertide.fleet.roster import Roster
from lavendertide.ids import TargetId


class StaticShare:
    """Grants every daemon of a region the same share, at least one slot."""

    def __init__(self, configuration: Configuration, roster: Roster) -> None:
        self._configuration = configuration
        self._roster = roster

    def allowance(self, target: TargetId, now_s: float) -> int:
        """Returns how many slots of a target this daemon may use."""
        place = self._configuration.catalog.unwrap().targets.get(target)
        if place is None:
            return 0
        members = self._roster.members
        sharers = sum(member.region == place.region for member in members)
        return max(1, place.slots // max(1, sharers))
