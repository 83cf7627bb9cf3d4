"""Connections from other daemons: one task reads each, one writes to it."""

import logging
import socket

from lavendertide.daemon.dispatcher import Dispatcher
from lavendertide.daemon.slot_keeper import SlotKeeper
from lavendertide.daemon.ticket_service import TicketService
from lavendertide.encodings.peer_socket import PeerSocket
from lavendertide.fleet.news import FleetNews
from lavendertide.messages import (
    Answered,
    Cancels,
    Declined,
    Frame,
    Hello,
    Lost,
    SubReplies,
    SubReply,
    SubRequests,
    TicketRequest,
)
from lavendertide.runtime import clock, tasks

REPLIES_PER_FRAME_MAX = 128

_log = logging.getLogger(__name__)


class PeerFront:
    """Serves the connections that peers open."""

    def __init__(
        self,
        news: FleetNews,
        dispatcher: Dispatcher,
        tickets: TicketService,
        keeper: SlotKeeper,
    ) -> None:
        self._news = news
        self._dispatcher = dispatcher
        self._tickets = tickets
        self._keeper = keeper

    def serve(self, listener: socket.socket) -> None:
        """Accepts connections for as long as the listener is open."""
        while True:
            connection, _ = listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            tasks.spawn(self._serve_connection, PeerSocket(connection))

    def _serve_connection(self, peer: PeerSocket) -> None:
        outbox: tasks.Mailbox[SubReply | Frame] = tasks.Mailbox()
        first = peer.receive()
        if not isinstance(first, Hello) or not self._news.accepts(first):
            _log.warning("peer refused: it does not know the fleet's key")
            peer.close()
            return
        writer = tasks.spawn(_write, peer, outbox)
        while (frame := peer.receive()) is not None:
            self._take(frame, outbox)
        writer.stop()
        peer.close()

    def _take(self, frame: Frame, outbox: tasks.Mailbox[SubReply | Frame]) -> None:
        match frame:
            case SubRequests(items):
                for item in items:
                    self._dispatcher.accept(item, outbox)  # type: ignore[arg-type]
            case Cancels(attempts):
                self._dispatcher.cancel_for_peer(list(attempts))
            case TicketRequest():
                tasks.spawn(self._answer_ticket, frame, outbox)
            case _ if self._keeper.take(frame):
                pass
            case _:
                answer = self._news.answer(frame, clock.monotonic_s())
                if answer is not None:
                    outbox.send(answer)

    def _answer_ticket(
        self, request: TicketRequest, outbox: tasks.Mailbox[SubReply | Frame]
    ) -> None:
        outbox.send(self._tickets.execute_for_peer(request))


def _write(peer: PeerSocket, outbox: tasks.Mailbox[SubReply | Frame]) -> None:
    try:
        while (first := outbox.receive()) is not None:
            replies: list[SubReply] = []
            for item in outbox.receive_ready(first, REPLIES_PER_FRAME_MAX):
                match item:
                    case Answered() | Declined() | Lost():
                        replies.append(item)
                    case _:
                        peer.send(item)
            if replies:
                peer.send(SubReplies(tuple(replies)))
    except OSError:
        peer.close()
