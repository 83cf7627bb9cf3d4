"""The task of one peer: a connection to it, heartbeats and relayed sub-requests.

A link dials at its first use and closes after a time without use. What was handed to
a broken connection may have arrived and is reported as lost; what was not yet handed
over is declined.
"""

import logging
import random
import uuid
from enum import Enum
from typing import Final

from lavendertide.fleet.gossip import Gossip
from lavendertide.fleet.peer_connection import PeerConnection, PeerEdge
from lavendertide.fleet.roster import Roster
from lavendertide.ids import Address, AttemptId, DaemonId, ExchangeId
from lavendertide.messages import (
    Cancels,
    Declined,
    DeclineReason,
    Frame,
    LossReason,
    Lost,
    PlanClaims,
    PlanGrants,
    ReachReply,
    ReachRequest,
    RegistryPull,
    RegistryPush,
    SubReplies,
    SubReply,
    SubRequest,
    SubRequests,
    TicketReply,
    TicketRequest,
)
from lavendertide.runtime import clock, tasks

REDIAL_MIN_S: Final = 0.2
REDIAL_MAX_S: Final = 2.0
IDLE_S: Final = 30.0
OUTBOX_MAX: Final = 4_096
ITEMS_PER_FRAME_MAX: Final = 128

_log = logging.getLogger(__name__)


class LinkState(Enum):
    """How far a link is open."""

    IDLE = "idle"
    DIALLING = "dialling"
    CONNECTED = "connected"
    BROKEN = "broken"


class _Poke(Enum):
    """Wakes a link's task; a beat goes out at once where one is asked for."""

    WAKE = "wake"
    BEAT = "beat"


_Item = SubRequest | Frame | _Poke
_Exchanged = TicketReply | ReachReply | PlanGrants | RegistryPush


class PeerLink:
    """This daemon's way to one peer.

    Args:
        heartbeat_s: Time between heartbeats while sub-requests are unanswered.
    """

    def __init__(
        self,
        address: Address,
        edge: PeerEdge,
        roster: Roster,
        news: Gossip,
        heartbeat_s: float,
    ) -> None:
        self._address = address
        self._edge = edge
        self._roster = roster
        self._news = news
        self._heartbeat_s = heartbeat_s
        self._watch_s: float | None = None
        self._state = LinkState.IDLE
        self._daemon: DaemonId | None = None
        self._failures = 0
        self._outbox: tasks.Mailbox[_Item] = tasks.Mailbox(OUTBOX_MAX)
        self._waiting: dict[AttemptId, tasks.Mailbox[SubReply]] = {}
        self._exchanges: dict[ExchangeId, tasks.Mailbox[_Exchanged]] = {}
        # Exchanges that the peer answers only once there is news.
        self._polls = 0
        self._answered = tasks.Signal()
        self._task = tasks.spawn(self._keep)

    @property
    def address(self) -> Address:
        """The peer's address."""
        return self._address

    @property
    def is_connected(self) -> bool:
        """Whether frames are handed over without dialling."""
        return self._state is LinkState.CONNECTED

    def lead_to(self, daemon: DaemonId) -> None:
        """Names the member that is expected at the address."""
        self._daemon = daemon

    def watch(self, interval_s: float | None) -> None:
        """Sends heartbeats at an interval from now on, or none of its own accord."""
        if interval_s == self._watch_s:
            return
        self._watch_s = interval_s
        self._outbox.send(_Poke.WAKE)

    def wake(self) -> None:
        """Lets the link see that there is news to tell."""
        if self._watch_s is not None:
            self._outbox.send(_Poke.WAKE)

    def poke(self) -> None:
        """Sends a heartbeat at once."""
        self._outbox.send(_Poke.BEAT)

    def reach(self, timeout_s: float) -> bool:
        """Sends a heartbeat and returns whether the peer answers it in time."""
        answered = self._answered
        self.poke()
        return answered.wait(timeout_s)

    def relay(self, request: SubRequest, inbox: tasks.Mailbox[SubReply]) -> None:
        """Sends a sub-request; its one reply comes to the inbox."""
        if not self.send(request):
            inbox.send(Declined(request.attempt, DeclineReason.UNREACHABLE))
            return
        self._waiting[request.attempt] = inbox

    def cancel(self, attempts: list[AttemptId]) -> None:
        """Tells the peer that nobody waits for these attempts."""
        known = [a for a in attempts if self._waiting.pop(a, None) is not None]
        if known:
            self.send(Cancels(tuple(known)))

    def request_ticket(
        self, request: TicketRequest, timeout_s: float
    ) -> TicketReply | None:
        """Asks the minter of a ticket; none if it did not answer in time."""
        reply = self._ask(request, request.exchange, timeout_s)
        return reply if isinstance(reply, TicketReply) else None

    def request_plan_grants(
        self, request: PlanClaims, timeout_s: float
    ) -> PlanGrants | None:
        """Claims shares of plans; none if the peer did not answer in time."""
        reply = self._ask(request, request.exchange, timeout_s)
        return reply if isinstance(reply, PlanGrants) else None

    def pull_registry(
        self, request: RegistryPull, timeout_s: float
    ) -> RegistryPush | None:
        """Asks for changes of the registry; none if there was no answer in time.

        The peer answers once there are changes, so that nearly always one is asked.
        This does not hurry the heartbeats: many hosts ask the same one.
        """
        self._polls += 1
        try:
            reply = self._ask(request, request.exchange, timeout_s)
        finally:
            self._polls -= 1
        return reply if isinstance(reply, RegistryPush) else None

    def ask_reach(self, daemon: DaemonId, timeout_s: float) -> bool:
        """Returns whether the peer says in time that it reaches a member."""
        exchange = ExchangeId(uuid.uuid4().hex)
        reply = self._ask(ReachRequest(exchange, daemon), exchange, timeout_s)
        return isinstance(reply, ReachReply) and reply.is_reached

    def send(self, item: SubRequest | Frame) -> bool:
        """Queues a frame; returns whether the link could take it."""
        return self._state is not LinkState.BROKEN and self._outbox.send(item)

    def close(self) -> None:
        """Ends the link for good."""
        self._task.stop()
        self._lose_everything()

    def _ask(
        self,
        request: TicketRequest | ReachRequest | PlanClaims | RegistryPull,
        name: ExchangeId,
        timeout_s: float,
    ) -> _Exchanged | None:
        inbox: tasks.Mailbox[_Exchanged] = tasks.Mailbox()
        self._exchanges[name] = inbox
        try:
            return inbox.receive(timeout_s) if self.send(request) else None
        finally:
            self._exchanges.pop(name, None)

    def _keep(self) -> None:
        while True:
            first = None if self._watch_s else self._outbox.receive()
            self._state = LinkState.DIALLING
            connection = self._edge.dial(self._address)
            if connection is not None:
                self._failures = 0
                self._use(connection, first)
            self._lose_everything(first if connection is None else None)
            self._rest(was_connected=connection is not None)

    def _rest(self, was_connected: bool) -> None:
        if was_connected and self._state is LinkState.IDLE:
            return
        self._state = LinkState.BROKEN
        if self._daemon is not None:
            self._roster.contacts.record_disconnect(self._daemon)
        pause_s = min(REDIAL_MAX_S, REDIAL_MIN_S * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        tasks.sleep(random.uniform(pause_s / 2, pause_s))
        self._lose_everything()
        self._state = LinkState.IDLE

    def _use(self, peer: PeerConnection, first: _Item | None) -> None:
        if self._daemon not in (None, peer.daemon):
            self._roster.contacts.record_disconnect(self._daemon)
        self._daemon = peer.daemon
        self._roster.apply_records((peer.member,), clock.monotonic_s())
        self._state = LinkState.CONNECTED
        reader = tasks.spawn(self._read, peer)
        try:
            self._write(peer, first)
        except OSError:
            self._state = LinkState.BROKEN
        finally:
            reader.stop()
            peer.close()
        if self._state is LinkState.BROKEN:
            _log.info("peer lost", extra={"peer": self._address})

    def _write(self, peer: PeerConnection, first: _Item | None) -> None:
        beaten_at_s = used_at_s = clock.monotonic_s()
        item: _Item | None = first or _Poke.BEAT
        while self._state is LinkState.CONNECTED:
            now_s = clock.monotonic_s()
            must_beat = item is _Poke.BEAT
            if item is not None and not isinstance(item, _Poke):
                used_at_s = now_s
                must_beat |= self._write_batch(peer, item)
            interval_s = self._interval_s()
            if must_beat or (
                interval_s and now_s >= clock.next_tick_s(beaten_at_s, interval_s)
            ):
                peer.send(self._news.next_heartbeat(peer.daemon, now_s))
                beaten_at_s = now_s
            if interval_s is None and now_s - used_at_s >= IDLE_S:
                self._state = LinkState.IDLE
                return
            ends_at_s = used_at_s + IDLE_S
            if interval_s:
                ends_at_s = clock.next_tick_s(beaten_at_s, interval_s)
            item = self._outbox.receive(max(0.0, ends_at_s - now_s))

    def _interval_s(self) -> float | None:
        if self._waiting or len(self._exchanges) > self._polls:
            return min(self._heartbeat_s, self._watch_s or self._heartbeat_s)
        if self._watch_s and self._roster.has_news:
            return min(self._heartbeat_s / 2, self._watch_s)
        return self._watch_s

    def _write_batch(self, peer: PeerConnection, first: _Item) -> bool:
        """Writes what is ready; returns whether a heartbeat is asked for."""
        requests: list[SubRequest] = []
        must_beat = False
        for item in self._outbox.receive_ready(first, ITEMS_PER_FRAME_MAX):
            match item:
                case SubRequest():
                    requests.append(item)
                case _Poke():
                    must_beat |= item is _Poke.BEAT
                case _:
                    peer.send(item)
        if requests:
            peer.send(SubRequests(tuple(requests)))
        return must_beat

    def _read(self, peer: PeerConnection) -> None:
        while (frame := peer.receive()) is not None:
            now_s = clock.monotonic_s()
            self._roster.contacts.hear(peer.daemon, now_s)
            match frame:
                case SubReplies(items):
                    for reply in items:
                        self._hand_over(reply)
                case TicketReply() | ReachReply() | PlanGrants() | RegistryPush():
                    waiter = self._exchanges.get(frame.exchange)
                    if waiter is not None:
                        waiter.send(frame)
                case _:
                    self._take_control(peer, frame, now_s)
        self._state = LinkState.BROKEN
        self._outbox.send(_Poke.WAKE)

    def _take_control(self, peer: PeerConnection, frame: Frame, now_s: float) -> None:
        answered, self._answered = self._answered, tasks.Signal()
        answered.set()
        question = self._news.handle_reply(peer.daemon, frame, now_s)
        if question is not None:
            self._outbox.send(question)

    def _hand_over(self, reply: SubReply) -> None:
        inbox = self._waiting.pop(reply.attempt, None)
        if inbox is not None:
            inbox.send(reply)

    def _lose_everything(self, first: _Item | None = None) -> None:
        unsent = [first] if isinstance(first, SubRequest) else []
        while len(self._outbox):
            item = self._outbox.receive()
            if isinstance(item, SubRequest):
                unsent.append(item)
        for request in unsent:
            declined = Declined(request.attempt, DeclineReason.UNREACHABLE)
            self._hand_over(declined)
        for attempt in list(self._waiting):
            self._hand_over(Lost(attempt, LossReason.PEER_LOST))
