"""Exchanges with peers what requests have shown of targets and of callers' requests."""

import logging
from collections.abc import Callable
from itertools import islice
from typing import Final

from lavendertide.fleet.addresses import select_with_headroom
from lavendertide.fleet.gossip import Gossip
from lavendertide.fleet.new_member_sync import NewMemberSync
from lavendertide.fleet.peer_connection import PeerConnection
from lavendertide.fleet.peer_server import Outbox, reply_to_reach_request
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.roster import Roster
from lavendertide.forwarding.poison import CrashEvidence
from lavendertide.forwarding.target_view import TargetViews
from lavendertide.ids import Fingerprint, TargetId
from lavendertide.messages import (
    Answered,
    Declined,
    Frame,
    Lost,
    ReachRequest,
    RegistryPull,
    RegistryPush,
    StallNotices,
    SubReply,
    Verdict,
    Verdicts,
)
from lavendertide.poison.quarantine import VERDICTS_PER_FRAME
from lavendertide.runtime import clock, tasks

# Verdicts that come up meanwhile share a frame. A verdict crosses the largest fleet in
# five hops; condemned requests may go on for a stable window, which is 5 s.
VERDICTS_PERIOD_S: Final = 0.25
# Stalls that show up meanwhile share a frame; a small part of how long a notice holds,
# and enough for the shards of one search that are late at the same moment.
STALLS_PERIOD_S: Final = 0.02
# Hosts that are all told of a stall. More of them learn of one by themselves as fast,
# and are told over the links that are open anyway.
BUSY_HOSTS_MAX: Final = 16

_log = logging.getLogger(__name__)


class PeerNews:
    """Answers the frames of peers and tells them this host's news."""

    def __init__(
        self,
        roster: Roster,
        peers: Peers,
        gossip: Gossip,
        views: TargetViews,
        crashes: CrashEvidence,
        answer_registry: Callable[[RegistryPull], RegistryPush],
    ) -> None:
        self._roster = roster
        self._peers = peers
        self._gossip = gossip
        self._views = views
        self._crashes = crashes
        self._answer_registry = answer_registry
        self._untold: dict[Fingerprint, Verdict] = {}
        self._stalled: dict[TargetId, None] = {}
        self._joiners = NewMemberSync(roster, peers, crashes.verdicts_for_new_member)

    def broadcast_stall(self, target: TargetId) -> None:
        """Tells the hosts that callers use that a target has stopped answering."""
        _log.info("target stalled", extra={"target": target})
        self._views.record_stall(target, clock.monotonic_s())
        if not self._stalled:
            tasks.spawn(self._tell_stalls_soon)
        self._stalled[target] = None

    def broadcast_verdict(self, verdict: Verdict) -> None:
        """Keeps what is known of a request for the next frame to the linked peers."""
        self._untold[verdict.fingerprint] = verdict

    def tell_verdicts(self) -> None:
        """Tells all linked peers what has come up of requests since the last time.

        Peers pass on what is news to them, so each host sends every link one frame a
        period at most, however many requests are suspected in the fleet.
        """
        told = list(islice(self._untold, VERDICTS_PER_FRAME))
        if told:
            frame = Verdicts(tuple(self._untold.pop(key) for key in told))
            self._peers.broadcast(frame)

    def keep_telling(self) -> None:
        """Tells verdicts until the process ends, to hosts that join all that hold."""
        while True:
            tasks.sleep(VERDICTS_PERIOD_S)
            self.tell_verdicts()
            self.greet_joiners()

    def greet_joiners(self) -> None:
        """Tells hosts that have started anew which requests must not be sent."""
        self._joiners.send_to_new_members(clock.monotonic_s())

    def handle(self, peer: PeerConnection, frame: Frame, outbox: Outbox) -> None:
        """Takes in a frame of a peer."""
        now_s = clock.monotonic_s()
        match frame:
            case StallNotices(targets):
                for target in targets:
                    self._views.record_stall(target, now_s)
            case Verdicts(items):
                for verdict in self._crashes.apply_verdicts(items, now_s):
                    _log.warning(
                        "peer judged a request by whether it crashes its targets",
                        extra={
                            "peer": peer.daemon,
                            "fingerprint": verdict.fingerprint,
                            "crashes": verdict.crashes,
                            "outcome": verdict.kind.value,
                        },
                    )
                    self.broadcast_verdict(verdict)
            case RegistryPull():
                tasks.spawn(self._answer_pull, frame, outbox)
            case ReachRequest():
                tasks.spawn(self._answer_reach, frame, outbox)
            case _:
                answer = self._gossip.handle(peer.daemon, frame, now_s)
                if answer is not None:
                    outbox.send(answer)

    def write(
        self, peer: PeerConnection, outbox: Outbox, first: SubReply | Frame
    ) -> None:
        """Writes one frame."""
        match first:
            case Answered() | Declined() | Lost():
                return
            case _:
                peer.send(first)

    def _tell_stalls_soon(self) -> None:
        tasks.sleep(STALLS_PERIOD_S)
        notices = StallNotices(tuple(self._stalled))
        self._stalled.clear()
        busy = select_with_headroom(list(self._roster.serving))
        if len(busy) <= BUSY_HOSTS_MAX:
            self._peers.broadcast_to(busy, notices)
        else:
            self._peers.broadcast(notices)

    def _answer_pull(self, pull: RegistryPull, outbox: Outbox) -> None:
        outbox.send(self._answer_registry(pull))

    def _answer_reach(self, request: ReachRequest, outbox: Outbox) -> None:
        outbox.send(reply_to_reach_request(request, self._roster, self._peers))
