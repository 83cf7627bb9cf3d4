"""Rules for suspecting silent members and for removing suspects.

Many members that vanish together are more likely cut off than dead, so both rules stop
at a share of the fleet. A removal also needs the published list: it must have been
read, it must name this daemon's own host, and it must no longer name the suspect's
host. Where no list is published, a longer silence is required instead.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from lavendertide.fleet.roster import Roster
from lavendertide.ids import DaemonId, HostId
from lavendertide.messages import MemberState

# One in so many members may vanish together, and at least the minimum below.
LOSS_SHARE_DIVISOR: Final = 4
SIMULTANEOUS_LOSSES_MIN: Final = 2
# Members suspected less than this apart count as vanished together.
SIMULTANEOUS_WINDOW_S: Final = 30.0
LEAVING: Final = "leaving"


@dataclass(frozen=True, slots=True)
class Removals:
    """The members to remove now.

    Attributes:
        daemons: The members to remove.
        held_back: Number of members that stay because too many vanished together.
    """

    daemons: tuple[DaemonId, ...]
    held_back: int


class UnpublishedHosts:
    """Replaces the published list where there is none, so silence alone decides."""

    @property
    def leaving(self) -> frozenset[HostId]:
        """Hosts that are leaving; always empty."""
        return frozenset()

    def is_missing(self, host: HostId, own_host: HostId) -> bool:
        """Returns true, since no list keeps a host from being removed."""
        return True


class PublishedHosts:
    """The published list as it was last read, which may be outdated."""

    def __init__(self) -> None:
        self._states: Mapping[HostId, str] = {}

    @property
    def leaving(self) -> frozenset[HostId]:
        """Hosts that the list marks as leaving."""
        return frozenset(h for h, state in self._states.items() if state == LEAVING)

    def replace(self, states: Mapping[HostId, str]) -> None:
        """Replaces the list with the newest one."""
        self._states = states

    def is_missing(self, host: HostId, own_host: HostId) -> bool:
        """Returns whether a trustworthy list no longer names a host.

        A list is trustworthy if it names this daemon's own host.
        """
        return own_host in self._states and host not in self._states


def max_simultaneous_losses(members: int) -> int:
    """Returns how many members may vanish together and still be treated as dead."""
    return max(SIMULTANEOUS_LOSSES_MIN, members // LOSS_SHARE_DIVISOR)


def may_suspect(roster: Roster) -> bool:
    """Returns whether one more member may be suspected."""
    suspects = sum(1 for m in roster.members if m.state is MemberState.SUSPECT)
    return suspects < max_simultaneous_losses(len(roster.members))


def select_removals(
    roster: Roster,
    published: PublishedHosts | UnpublishedHosts,
    suspected_for_s: float,
    now_s: float,
) -> Removals:
    """Returns the members that were suspect long enough and are not published.

    Args:
        roster: The members and since when each has been suspect.
        published: The published list of hosts.
        suspected_for_s: Least time for which a member has to be suspect.
        now_s: Present time, monotonic.
    """
    own_host = roster.own.host
    since_s = roster.suspected_since()
    due = [
        member.daemon
        for member in roster.members
        if member.daemon in since_s
        and now_s - since_s[member.daemon] >= suspected_for_s
        and published.is_missing(member.host, own_host)
    ]
    limit = max_simultaneous_losses(len(roster.members))
    allowed = [d for d in due if _count_lost_with(d, since_s) <= limit]
    return Removals(tuple(allowed), len(due) - len(allowed))


def _count_lost_with(daemon: DaemonId, since_s: Mapping[DaemonId, float]) -> int:
    at_s = since_s[daemon]
    return sum(
        1 for other_s in since_s.values() if abs(other_s - at_s) < SIMULTANEOUS_WINDOW_S
    )
