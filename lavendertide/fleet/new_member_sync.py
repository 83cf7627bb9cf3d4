"""Sends state that was broadcast earlier to members that have just joined.

A broadcast reaches only the peers that are connected at the time, so a process that
starts later has missed it. The first few members in rendezvous order for the new member
send it the present state. All others compute the same order and send nothing.
"""

from collections.abc import Callable
from typing import Final

from lavendertide.fleet.peers import Peers
from lavendertide.fleet.ranking import score
from lavendertide.fleet.roster import Roster
from lavendertide.ids import DaemonId, Incarnation
from lavendertide.messages import Frame, MemberRecord

# Members that send to each new member, so that two of them may fail at that time.
SENDERS_PER_NEW_MEMBER: Final = 3


class NewMemberSync:
    """Records which members have been sent the present state.

    Args:
        roster: The members of the fleet.
        peers: The links to them.
        make_frame: Returns the frame with the state at a time, none if it is empty.
    """

    def __init__(
        self, roster: Roster, peers: Peers, make_frame: Callable[[float], Frame | None]
    ) -> None:
        self._roster = roster
        self._peers = peers
        self._make_frame = make_frame
        self._sent_to: set[tuple[DaemonId, Incarnation]] = set()
        self._followed_generation = -1

    def send_to_new_members(self, now_s: float) -> None:
        """Sends the present state to new members.

        Has to be called often. What can't be sent is tried again at the next call.
        """
        if self._followed_generation == self._roster.generation:
            return
        generation, is_complete = self._roster.generation, True
        members = self._roster.members
        self._sent_to &= {(m.daemon, m.incarnation) for m in members}
        for member in members:
            identity = member.daemon, member.incarnation
            if identity in self._sent_to:
                continue
            if self._send_if_due(member, now_s):
                self._sent_to.add(identity)
            else:
                is_complete = False
        if is_complete:
            self._followed_generation = generation

    def _send_if_due(self, member: MemberRecord, now_s: float) -> bool:
        """Returns whether the frame was sent to a member or need not be sent."""
        own = self._roster.own.daemon
        others = (m.daemon for m in self._roster.members if m != member)
        first = sorted(others, key=lambda daemon: -score(member.daemon, daemon))
        if member.daemon == own or own not in first[:SENDERS_PER_NEW_MEMBER]:
            return True
        frame = self._make_frame(now_s)
        return frame is None or self._peers.link_to(member).send(frame)
