"""The task of one peer: a connection to it, heartbeats and relayed sub-requests.

A link dials again after a break. What was handed to a broken connection may have
arrived and is reported as lost; what was not yet handed over is declined.
"""

import logging
import random
from typing import Final

from lavendertide.encodings.peer_socket import PeerSocket
from lavendertide.fleet.news import FleetNews
from lavendertide.ids import Address, AttemptId, ExchangeId
from lavendertide.messages import (
    Cancels,
    Declined,
    DeclineReason,
    Frame,
    LossReason,
    Lost,
    SubReplies,
    SubReply,
    SubRequest,
    SubRequests,
    TicketReply,
    TicketRequest,
)
from lavendertide.runtime import clock, sockets, tasks

CONNECT_TIMEOUT_S: Final = 0.5
REDIAL_MIN_S: Final = 0.1
REDIAL_MAX_S: Final = 0.5
OUTBOX_MAX: Final = 4_096
ITEMS_PER_FRAME_MAX: Final = 128

_log = logging.getLogger(__name__)


class PeerLink:
    """This daemon's way to one peer."""

    def __init__(self, address: Address, news: FleetNews, heartbeat_s: float) -> None:
        self._address = address
        self._news = news
        self._heartbeat_s = heartbeat_s
        self._outbox: tasks.Mailbox[SubRequest | Frame] = tasks.Mailbox(OUTBOX_MAX)
        self._waiting: dict[AttemptId, tasks.Mailbox[SubReply]] = {}
        self._exchanges: dict[ExchangeId, tasks.Mailbox[TicketReply]] = {}
        self._connected = False
        self._task = tasks.spawn(self._keep)

    @property
    def address(self) -> Address:
        """The peer's address."""
        return self._address

    @property
    def is_connected(self) -> bool:
        """Whether frames can be handed over now."""
        return self._connected

    def relay(self, request: SubRequest, inbox: tasks.Mailbox[SubReply]) -> None:
        """Sends a sub-request; its one reply comes to the inbox."""
        if not self._connected or not self._outbox.send(request):
            inbox.send(Declined(request.attempt, DeclineReason.UNREACHABLE))
            return
        self._waiting[request.attempt] = inbox

    def cancel(self, attempts: list[AttemptId]) -> None:
        """Tells the peer that nobody waits for these attempts."""
        known = [a for a in attempts if self._waiting.pop(a, None) is not None]
        if known:
            self.send(Cancels(tuple(known)))

    def exchange(self, request: TicketRequest, timeout_s: float) -> TicketReply | None:
        """Asks the minter of a ticket; none if it did not answer in time."""
        inbox: tasks.Mailbox[TicketReply] = tasks.Mailbox()
        self._exchanges[request.exchange] = inbox
        try:
            return inbox.receive(timeout_s) if self.send(request) else None
        finally:
            del self._exchanges[request.exchange]

    def send(self, frame: Frame) -> bool:
        """Queues a frame; returns whether the link could take it."""
        return self._connected and self._outbox.send(frame)

    def close(self) -> None:
        """Ends the link for good."""
        self._task.stop()

    def _keep(self) -> None:
        while True:
            try:
                connection = sockets.connect(self._address, CONNECT_TIMEOUT_S)
            except OSError:
                tasks.sleep(random.uniform(REDIAL_MIN_S, REDIAL_MAX_S))
                continue
            self._use(PeerSocket(connection))
            tasks.sleep(random.uniform(REDIAL_MIN_S, REDIAL_MAX_S))

    def _use(self, peer: PeerSocket) -> None:
        reader = tasks.spawn(self._read, peer)
        try:
            peer.send(self._news.hello())
            self._connected = True
            self._write(peer)
        except OSError:
            _log.info("peer lost", extra={"peer": self._address})
        finally:
            self._connected = False
            reader.stop()
            peer.close()
            self._lose_everything()

    def _write(self, peer: PeerSocket) -> None:
        beat_at_s = clock.monotonic_s()
        while self._connected:
            now_s = clock.monotonic_s()
            if now_s >= beat_at_s:
                peer.send(self._news.heartbeat(self._address, now_s))
                beat_at_s = now_s + self._heartbeat_s
            item = self._outbox.receive(max(0.0, beat_at_s - now_s))
            if item is not None:
                self._write_batch(peer, item)

    def _write_batch(self, peer: PeerSocket, first: SubRequest | Frame) -> None:
        requests: list[SubRequest] = []
        for item in self._outbox.receive_ready(first, ITEMS_PER_FRAME_MAX):
            if isinstance(item, SubRequest):
                requests.append(item)
            else:
                peer.send(item)
        if requests:
            peer.send(SubRequests(tuple(requests)))

    def _read(self, peer: PeerSocket) -> None:
        while (frame := peer.receive()) is not None:
            match frame:
                case SubReplies(items):
                    for reply in items:
                        self._hand_over(reply)
                case TicketReply(exchange=exchange):
                    waiter = self._exchanges.get(exchange)
                    if waiter is not None:
                        waiter.send(frame)
                case _:
                    now_s = clock.monotonic_s()
                    answer = self._news.take_answer(self._address, frame, now_s)
                    if answer is not None:
                        self.send(answer)
        self._connected = False
        peer.close()

    def _hand_over(self, reply: SubReply) -> None:
        inbox = self._waiting.pop(reply.attempt, None)
        if inbox is not None:
            inbox.send(reply)

    def _lose_everything(self) -> None:
        while len(self._outbox):
            item = self._outbox.receive()
            if isinstance(item, SubRequest):
                self._hand_over(Declined(item.attempt, DeclineReason.UNREACHABLE))
        for attempt in list(self._waiting):
            self._hand_over(Lost(attempt, LossReason.PEER_LOST))
