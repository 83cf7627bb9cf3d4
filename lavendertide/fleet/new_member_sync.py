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
GREETERS: Final = 3


class NewMemberSync:
    """The members that this one has told what it knows.

    Args:
        known: Returns what to tell at a time, none for nothing.
    """

    def __init__(
        self, roster: Roster, peers: Peers, known: Callable[[float], Frame | None]
    ) -> None:
        self._roster = roster
        self._peers = peers
        self._known = known
        self._greeted: set[tuple[DaemonId, Incarnation]] = set()
        self._followed = -1

    def send_to_new_members(self, now_s: float) -> None:
        """Tells the members that are new; has to be called often."""
        if self._followed == self._roster.generation:
            return
        generation, is_done = self._roster.generation, True
        members = self._roster.members
        self._greeted &= {(m.daemon, m.incarnation) for m in members}
        for member in members:
            name = member.daemon, member.incarnation
            if name in self._greeted:
                continue
            if self._greet(member, now_s):
                self._greeted.add(name)
            else:
                is_done = False
        if is_done:
            self._followed = generation

    def _greet(self, member: MemberRecord, now_s: float) -> bool:
        """Returns whether the member has been told, or need not be."""
        own = self._roster.own.daemon
        others = (m.daemon for m in self._roster.members if m != member)
        first = sorted(others, key=lambda daemon: -score(member.daemon, daemon))
        if member.daemon == own or own not in first[:GREETERS]:
            return True
        frame = self._known(now_s)
        return frame is None or self._peers.link_to(member).send(frame)
