"""Server side of peer connections: one task reads each, another writes to it."""

import socket
from dataclasses import replace
from typing import Final

from returns.result import Failure

from lavendertide.daemon.dispatcher import Dispatcher
from lavendertide.daemon.failed_requests import record_failure
from lavendertide.daemon.in_flight import InFlightCounter
from lavendertide.daemon.slot_manager import SlotManager
from lavendertide.daemon.ticket_service import TicketService
from lavendertide.fleet.gossip import Gossip
from lavendertide.fleet.peer_connection import PeerConnection, PeerConnector
from lavendertide.fleet.peer_server import Outbox, PeerServer, reply_to_reach_request
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.readiness import Readiness
from lavendertide.fleet.roster import Roster
from lavendertide.messages import (
    Answered,
    Cancels,
    Declined,
    DeclineReason,
    Frame,
    Lost,
    Outcome,
    PlanClaims,
    ReachRequest,
    SubReplies,
    SubReply,
    SubRequest,
    SubRequests,
    TicketReply,
    TicketRequest,
)
from lavendertide.plans.allocator import PlanAllocator
from lavendertide.runtime import clock, tasks
from lavendertide.runtime.pauses import PauseTracker

REPLIES_PER_FRAME_MAX = 128
# Takes the place of a path in the log of failed requests.
TICKET_REQUEST: Final = "ticket request of a peer"


class PeerFront:
    """Handles the frames that arrive on connections opened by peers."""

    def __init__(
        self,
        connector: PeerConnector,
        roster: Roster,
        peers: Peers,
        gossip: Gossip,
        readiness: Readiness,
        dispatcher: Dispatcher,
        tickets: TicketService,
        allocator: PlanAllocator,
        in_flight: InFlightCounter,
        slot_manager: SlotManager,
        pauses: PauseTracker,
    ) -> None:
        self._connector = connector
        self._roster = roster
        self._peers = peers
        self._gossip = gossip
        self._readiness = readiness
        self._dispatcher = dispatcher
        self._tickets = tickets
        self._allocator = allocator
        self._in_flight = in_flight
        self._slot_manager = slot_manager
        self._pauses = pauses

    def serve(self, listener: socket.socket) -> None:
        """Accepts connections until the listener is closed."""
        PeerServer(self._connector, self._roster, self).serve(listener)

    def handle(self, peer: PeerConnection, frame: Frame, outbox: Outbox) -> None:
        """Dispatches a frame of a peer; replies go to the outbox."""
        match frame:
            case SubRequests(items):
                self._handle_sub_requests(peer, items, outbox)
            case Cancels(attempts):
                self._dispatcher.cancel_for_peer(list(attempts))
            case PlanClaims():
                outbox.send(self._allocator.handle(frame, clock.monotonic_s()))
            case TicketRequest():
                tasks.spawn(self._reply_to_ticket_request, frame, outbox)
            case ReachRequest():
                tasks.spawn(self._reply_to_reach_request, frame, outbox)
            case _ if self._slot_manager.handle(frame):
                pass
            case _:
                now_s = clock.monotonic_s()
                reply = self._gossip.handle(peer.daemon, frame, now_s)
                if reply is not None:
                    outbox.send(reply)

    def _handle_sub_requests(
        self, peer: PeerConnection, items: tuple[SubRequest, ...], outbox: Outbox
    ) -> None:
        self._in_flight.record_accepted(len(items))
        now_s = clock.monotonic_s()
        is_refused = isinstance(self._readiness.check(now_s), Failure)
        waited_ms = self._max_wait_ms(peer, now_s)
        for item in items:
            if is_refused:
                outbox.send(Declined(item.attempt, DeclineReason.STALE_VIEW))
            else:
                shortened = _deduct_wait(item, waited_ms)
                self._dispatcher.accept(shortened, outbox)  # type: ignore[arg-type]

    def _max_wait_ms(self, peer: PeerConnection, now_s: float) -> int:
        """Returns how long a frame may have waited unread during a pause, at most."""
        paused_s = self._pauses.max_wait_s(now_s)
        return int(min(paused_s, now_s - peer.empty_at_s) * 1000)

    def _reply_to_ticket_request(self, request: TicketRequest, outbox: Outbox) -> None:
        self._in_flight.record_accepted()
        try:
            reply = self._tickets.execute_for_peer(request)
        except Exception:
            refusal = record_failure(TICKET_REQUEST)
            reply = TicketReply(request.exchange, Outcome.UNKNOWN, str(refusal))
        outbox.send(reply)
        self._in_flight.record_finished()

    def _reply_to_reach_request(self, request: ReachRequest, outbox: Outbox) -> None:
        outbox.send(reply_to_reach_request(request, self._roster, self._peers))

    def write(
        self, peer: PeerConnection, outbox: Outbox, first: SubReply | Frame
    ) -> None:
        """Sends the items in the outbox, with replies to sub-requests in one frame."""
        replies: list[SubReply] = []
        for item in outbox.receive_ready(first, REPLIES_PER_FRAME_MAX):
            match item:
                case Answered() | Declined() | Lost():
                    replies.append(item)
                case _:
                    peer.send(item)
        if replies:
            self._in_flight.record_finished(len(replies))
            peer.send(SubReplies(tuple(replies)))


def _deduct_wait(item: SubRequest, waited_ms: int) -> SubRequest:
    if waited_ms == 0:
        return item
    return replace(item, remaining_ms=max(0, item.remaining_ms - waited_ms))
