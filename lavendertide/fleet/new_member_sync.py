"""Tells members that are new what the others have learned before they came.

News goes to whoever is linked when it comes up, so a process that starts later has
missed it. The first few members in rendezvous order for the newcomer tell it; the
others know that they need not.
"""

from collections.abc import Callable
from typing import Final

from lavendertide.fleet.peers import Peers
from lavendertide.fleet.ranking import score
from lavendertide.fleet.roster import Roster
from lavendertide.ids import DaemonId, Incarnation
from lavendertide.messages import Frame, MemberRecord

# Members that tell each newcomer, so that two of them may fail just then.
SENDERS_PER_NEW_MEMBER: Final = 3


class NewMemberSync:
    """The members that this one has told what it knows.

    Args:
        known: Returns what to tell at a time, none for nothing.
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
        """Tells the members that are new; has to be called often."""
        if self._followed_generation == self._roster.generation:
            return
        generation, is_complete = self._roster.generation, True
        members = self._roster.members
        self._sent_to &= {(m.daemon, m.incarnation) for m in members}
        for member in members:
            name = member.daemon, member.incarnation
            if name in self._sent_to:
                continue
            if self._send_if_due(member, now_s):
                self._sent_to.add(name)
            else:
                is_complete = False
        if is_complete:
            self._followed_generation = generation

    def _send_if_due(self, member: MemberRecord, now_s: float) -> bool:
        """Returns whether the member has been told, or need not be."""
        own = self._roster.own.daemon
        others = (m.daemon for m in self._roster.members if m != member)
        first = sorted(others, key=lambda daemon: -score(member.daemon, daemon))
        if member.daemon == own or own not in first[:SENDERS_PER_NEW_MEMBER]:
            return True
        frame = self._make_frame(now_s)
        return frame is None or self._peers.link_to(member).send(frame)
