"""This host's view of the fleet, by which allowances of cold targets are divided."""

from lavendertide.fleet.roster import SILENCE_S, Roster
from lavendertide.ids import DaemonId
from lavendertide.messages import MemberState
from lavendertide.warmup.cold_share import FleetView


def view_fleet(roster: Roster, named: frozenset[DaemonId], now_s: float) -> FleetView:
    """Returns the hosts in the roster and which of them are silent or leaving.

    Args:
        roster: The known hosts.
        named: The hosts that are named to callers.
        now_s: Present time, monotonic.
    """
    members = roster.members
    return FleetView(
        members=frozenset(member.daemon for member in members),
        silent=frozenset(
            member.daemon
            for member in members
            if not roster.is_reachable(member.daemon, SILENCE_S, now_s)
        ),
        leaving=frozenset(
            member.daemon for member in members if member.state is MemberState.LEAVING
        ),
        named=named,
    )
