"""A fixed share of each target's slots for each daemon: a baseline for comparison.

It needs no lease, but with fewer slots than daemons it either wastes or overruns them.
"""

from lavendertide.configuration.adoption import Configuration
from lavendertide.fleet.roster import Roster
from lavendertide.ids import TargetId


class StaticShare:
    """Every daemon of a region may use the same share, one slot at the least."""

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
