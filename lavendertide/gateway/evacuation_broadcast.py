"""Broadcasts which failure domains are evacuated, for hosts that can't read it.

The platform may turn some hosts away while it serves others and the operator. Each host
passes on what is new to it once, so a change crosses the fleet over the links that are
open anyway, and nothing is sent while no domain is evacuated.
"""

from lavendertide.evacuation.evacuated_domains import EvacuatedDomains, Evacuation
from lavendertide.fleet.new_member_sync import NewMemberSync
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.roster import Roster
from lavendertide.messages import EvacuationNotices, Frame


class EvacuationBroadcast:
    """Exchanges evacuations with peers.

    Args:
        evacuated: The evacuations that this host knows.
        roster: The members of the fleet.
        peers: The links to them.
    """

    def __init__(
        self, evacuated: EvacuatedDomains, roster: Roster, peers: Peers
    ) -> None:
        self._evacuated = evacuated
        self._peers = peers
        self._new_member_sync = NewMemberSync(roster, peers, self._make_notices)
        evacuated.on_change(self._broadcast)

    def apply_notices(self, states: tuple[Evacuation, ...], now_s: float) -> None:
        """Applies the evacuations that a peer knows; new ones are passed on."""
        self._evacuated.apply_notices(states, now_s)

    def send_to_new_members(self, now_s: float) -> None:
        """Sends what is known to members that are new since the last call."""
        self._new_member_sync.send_to_new_members(now_s)

    def _broadcast(self, state: Evacuation, now_s: float) -> None:
        self._peers.broadcast(EvacuationNotices((state,)))

    def _make_notices(self, now_s: float) -> Frame | None:
        states = self._evacuated.known
        return EvacuationNotices(states) if states else None
