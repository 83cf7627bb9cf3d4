"""Exchanges notices about targets and verdicts on suspect requests with peer gateways.

A stall notice names targets that have stopped replying, a leaving notice those that are
about to end. A verdict says whether a caller's request crashes its targets.
"""

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
from lavendertide.gateway.capacity_exchange import CapacityExchange
from lavendertide.gateway.cold_exchange import ColdExchange
from lavendertide.gateway.evacuation_broadcast import EvacuationBroadcast
from lavendertide.gateway.leaving_broadcast import LeavingBroadcast
from lavendertide.gateway.overload_exchange import OverloadExchange
from lavendertide.ids import Fingerprint, TargetId
from lavendertide.messages import (
    Answered,
    CapacityNotices,
    ColdGrants,
    Declined,
    EvacuationNotices,
    Frame,
    LeavingNotices,
    Lost,
    OverloadNotices,
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

# Verdicts of one period share a frame. A verdict crosses the largest fleet in five
# hops, and quarantined requests may still be sent for a stable window, which is 5 s.
VERDICTS_PERIOD_S: Final = 0.25
# Stalls of one period share a frame. The period is a small fraction of a notice's
# lifetime, and long enough to collect the shards of one search that are late at once.
STALLS_PERIOD_S: Final = 0.02
# Most hosts to which a stall is sent directly. More hosts than this detect a stall by
# themselves as fast, and get the notice only over links that are open anyway.
DIRECT_RECIPIENTS_MAX: Final = 16

_log = logging.getLogger(__name__)


class PeerExchange:
    """Handles the frames of peers, and broadcasts this host's stalls and verdicts.

    Args:
        leaving: Knows and broadcasts which targets are leaving.
        evacuations: Broadcasts which failure domains are evacuated.
        capacities: Exchanges which targets are slow or fast.
        cold: Exchanges unused requests to cold targets.
        build_registry_push: Returns the reply to a pull of the target registry.
    """

    def __init__(
        self,
        roster: Roster,
        peers: Peers,
        gossip: Gossip,
        views: TargetViews,
        crashes: CrashEvidence,
        leaving: LeavingBroadcast,
        evacuations: EvacuationBroadcast,
        capacities: CapacityExchange,
        cold: ColdExchange,
        build_registry_push: Callable[[RegistryPull], RegistryPush],
    ) -> None:
        self._roster = roster
        self._peers = peers
        self._gossip = gossip
        self._target_views = views
        self._crash_evidence = crashes
        self._leaving = leaving
        self._evacuations = evacuations
        self._capacities = capacities
        self._cold = cold
        self._overloads: OverloadExchange | None = None
        self._build_registry_push = build_registry_push
        self._pending_verdicts: dict[Fingerprint, Verdict] = {}
        self._pending_stalls: dict[TargetId, None] = {}
        self._new_member_sync = NewMemberSync(
            roster, peers, crashes.verdicts_for_new_member
        )

    def set_overload_exchange(self, overloads: OverloadExchange) -> None:
        """Sets what handles notices of overload; they are ignored without it."""
        self._overloads = overloads

    def broadcast_stall(self, target: TargetId) -> None:
        """Records a stalled target and broadcasts it to the hosts that callers use."""
        _log.info("target stalled", extra={"target": target})
        self._target_views.record_stall(target, clock.monotonic_s())
        if not self._pending_stalls:
            tasks.spawn(self._broadcast_pending_stalls)
        self._pending_stalls[target] = None

    def queue_verdict(self, verdict: Verdict) -> None:
        """Adds a verdict to the next broadcast; it replaces an earlier one."""
        self._pending_verdicts[verdict.fingerprint] = verdict

    def broadcast_verdicts(self) -> None:
        """Broadcasts the verdicts queued since the last call to all linked peers.

        Peers forward only the verdicts that are new to them. So each host sends at most
        one frame for each link and period, however many requests are suspect in the
        fleet.
        """
        fingerprints = list(islice(self._pending_verdicts, VERDICTS_PER_FRAME))
        if fingerprints:
            frame = Verdicts(
                tuple(self._pending_verdicts.pop(key) for key in fingerprints)
            )
            self._peers.broadcast(frame)

    def run(self) -> None:
        """Broadcasts what is pending and updates new members until the process ends."""
        while True:
            tasks.sleep(VERDICTS_PERIOD_S)
            self.broadcast_verdicts()
            self._leaving.broadcast_due(clock.monotonic_s())
            self.send_to_new_members()

    def send_to_new_members(self) -> None:
        """Sends what is in force to members that are new since the last call."""
        now_s = clock.monotonic_s()
        self._new_member_sync.send_to_new_members(now_s)
        self._leaving.send_to_new_members(now_s)
        self._evacuations.send_to_new_members(now_s)

    def handle(self, peer: PeerConnection, frame: Frame, outbox: Outbox) -> None:
        """Handles a frame of a peer; a reply goes to the outbox.

        Pulls and reach requests are handled in tasks of their own, as they may wait.
        """
        now_s = clock.monotonic_s()
        match frame:
            case (
                StallNotices()
                | LeavingNotices()
                | EvacuationNotices()
                | CapacityNotices()
                | ColdGrants()
                | OverloadNotices()
            ):
                self._apply_notices(peer, frame, now_s)
            case Verdicts(items):
                self._apply_verdicts(peer, items, now_s)
            case RegistryPull():
                tasks.spawn(self._reply_to_pull, frame, outbox)
            case ReachRequest():
                tasks.spawn(self._reply_to_reach, frame, outbox)
            case _:
                reply = self._gossip.handle(peer.daemon, frame, now_s)
                if reply is not None:
                    outbox.send(reply)

    def _apply_notices(
        self,
        peer: PeerConnection,
        notices: StallNotices
        | LeavingNotices
        | EvacuationNotices
        | CapacityNotices
        | ColdGrants
        | OverloadNotices,
        now_s: float,
    ) -> None:
        match notices:
            case StallNotices(targets):
                for target in targets:
                    self._target_views.record_stall(target, now_s)
            case LeavingNotices(runs):
                self._leaving.apply_notices(runs, peer.daemon, now_s)
            case EvacuationNotices(states):
                self._evacuations.apply_notices(states, now_s)
            case CapacityNotices(observed):
                self._capacities.apply_notices(observed, now_s)
            case ColdGrants(grants):
                self._cold.handle(grants, peer.daemon, now_s)
            case OverloadNotices(delays) if self._overloads is not None:
                self._overloads.apply_notices(peer.daemon, delays, now_s)

    def write(
        self, peer: PeerConnection, outbox: Outbox, first: SubReply | Frame
    ) -> None:
        """Sends one frame; replies to sub-requests don't occur between gateways."""
        match first:
            case Answered() | Declined() | Lost():
                return
            case _:
                peer.send(first)

    def _apply_verdicts(
        self, peer: PeerConnection, items: tuple[Verdict, ...], now_s: float
    ) -> None:
        for verdict in self._crash_evidence.apply_verdicts(items, now_s):
            _log.warning(
                "request verdict received from a peer",
                extra={
                    "peer": peer.daemon,
                    "fingerprint": verdict.fingerprint,
                    "crashes": verdict.crashes,
                    "outcome": verdict.kind.value,
                },
            )
            self.queue_verdict(verdict)

    def _broadcast_pending_stalls(self) -> None:
        tasks.sleep(STALLS_PERIOD_S)
        notices = StallNotices(tuple(self._pending_stalls))
        self._pending_stalls.clear()
        recipients = select_with_headroom(list(self._roster.serving))
        if len(recipients) <= DIRECT_RECIPIENTS_MAX:
            self._peers.broadcast_to(recipients, notices)
        else:
            self._peers.broadcast(notices)

    def _reply_to_pull(self, pull: RegistryPull, outbox: Outbox) -> None:
        outbox.send(self._build_registry_push(pull))

    def _reply_to_reach(self, request: ReachRequest, outbox: Outbox) -> None:
        outbox.send(reply_to_reach_request(request, self._roster, self._peers))
