"""The link to one peer: its connection, heartbeats and relayed sub-requests.

A link dials at its first use and closes after a time without use. Sub-requests that
were written to a connection which then breaks may have arrived, so they are reported as
lost. Those that were not yet written are declined.
"""

import logging
import random
import uuid
from enum import Enum
from typing import Final

from lavendertide.fleet.gossip import Gossip
from lavendertide.fleet.peer_connection import PeerConnection, PeerConnector
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
# Time limit for reading what a broken connection still holds.
LAST_REPLIES_S: Final = 0.05
OUTBOX_MAX: Final = 4_096
ITEMS_PER_FRAME_MAX: Final = 128

_log = logging.getLogger(__name__)


class LinkState(Enum):
    """The state of a link's connection."""

    IDLE = "idle"
    DIALLING = "dialling"
    CONNECTED = "connected"
    BROKEN = "broken"


class _WakeUp(Enum):
    """Wakes a link's task, either alone or to send a heartbeat at once."""

    WAKE = "wake"
    HEARTBEAT = "beat"


_Item = SubRequest | Frame | _WakeUp
_ExchangeReply = TicketReply | ReachReply | PlanGrants | RegistryPush


class PeerLink:
    """Sends frames to one peer and matches its replies to the requests.

    Args:
        address: Where the peer listens.
        connector: Opens the connection.
        roster: The members of the fleet.
        gossip: Builds heartbeats and handles control frames.
        heartbeat_s: Time between heartbeats while requests are awaiting replies.
    """

    def __init__(
        self,
        address: Address,
        connector: PeerConnector,
        roster: Roster,
        gossip: Gossip,
        heartbeat_s: float,
    ) -> None:
        self._address = address
        self._connector = connector
        self._roster = roster
        self._gossip = gossip
        self._heartbeat_s = heartbeat_s
        self._watch_interval_s: float | None = None
        self._state = LinkState.IDLE
        self._daemon: DaemonId | None = None
        self._failures = 0
        self._outbox: tasks.Mailbox[_Item] = tasks.Mailbox(OUTBOX_MAX)
        self._reply_inboxes: dict[AttemptId, tasks.Mailbox[SubReply]] = {}
        self._exchanges: dict[ExchangeId, tasks.Mailbox[_ExchangeReply]] = {}
        # Exchanges to which the peer replies only once it has changes to send.
        self._long_polls = 0
        self._reply_signal = tasks.Signal()
        self._task = tasks.spawn_supervised(self._run)

    @property
    def address(self) -> Address:
        """The peer's address."""
        return self._address

    @property
    def is_connected(self) -> bool:
        """Whether frames are sent without dialling first."""
        return self._state is LinkState.CONNECTED

    @property
    def has_connection(self) -> bool:
        """Whether a connection is open or about to be."""
        return self._state in (LinkState.DIALLING, LinkState.CONNECTED)

    def set_expected_daemon(self, daemon: DaemonId) -> None:
        """Sets the member that is expected at the address."""
        self._daemon = daemon

    def set_heartbeat_interval(self, interval_s: float | None) -> None:
        """Sets the interval of periodic heartbeats; none stops them."""
        if interval_s == self._watch_interval_s:
            return
        self._watch_interval_s = interval_s
        self._outbox.send(_WakeUp.WAKE)

    def wake(self) -> None:
        """Wakes a watched link's task, so that it sees pending gossip."""
        if self._watch_interval_s is not None:
            self._outbox.send(_WakeUp.WAKE)

    def send_heartbeat(self) -> None:
        """Sends a heartbeat at once."""
        self._outbox.send(_WakeUp.HEARTBEAT)

    def probe(self, timeout_s: float) -> bool:
        """Sends a heartbeat; returns whether the peer sends a control frame in time."""
        reply_signal = self._reply_signal
        self.send_heartbeat()
        return reply_signal.wait(timeout_s)

    def relay(self, request: SubRequest, inbox: tasks.Mailbox[SubReply]) -> None:
        """Sends a sub-request; its single reply is delivered to the inbox."""
        if not self.send(request):
            inbox.send(Declined(request.attempt, DeclineReason.UNREACHABLE))
            return
        self._reply_inboxes[request.attempt] = inbox

    def cancel(self, attempts: list[AttemptId]) -> None:
        """Cancels those of the attempts that await a reply on this link."""
        known = [a for a in attempts if self._reply_inboxes.pop(a, None) is not None]
        if known:
            self.send(Cancels(tuple(known)))

    def request_ticket(
        self, request: TicketRequest, timeout_s: float
    ) -> TicketReply | None:
        """Sends a request to a ticket's issuer; none without a reply in time."""
        reply = self._request(request, request.exchange, timeout_s)
        return reply if isinstance(reply, TicketReply) else None

    def request_plan_grants(
        self, request: PlanClaims, timeout_s: float
    ) -> PlanGrants | None:
        """Claims shares of plans; none without a reply in time."""
        reply = self._request(request, request.exchange, timeout_s)
        return reply if isinstance(reply, PlanGrants) else None

    def pull_registry(
        self, request: RegistryPull, timeout_s: float
    ) -> RegistryPush | None:
        """Long-polls changes of the registry; none without a reply in time.

        The peer replies once there are changes, so a pull is pending nearly all the
        time. It does not shorten the heartbeat interval, since many hosts pull from
        the same one.
        """
        self._long_polls += 1
        try:
            reply = self._request(request, request.exchange, timeout_s)
        finally:
            self._long_polls -= 1
        return reply if isinstance(reply, RegistryPush) else None

    def request_reach(self, daemon: DaemonId, timeout_s: float) -> bool:
        """Returns whether the peer replies in time that it reaches a member."""
        exchange = ExchangeId(uuid.uuid4().hex)
        reply = self._request(ReachRequest(exchange, daemon), exchange, timeout_s)
        return isinstance(reply, ReachReply) and reply.is_reached

    def send(self, item: SubRequest | Frame) -> bool:
        """Queues a frame; returns false if the link is broken or its queue is full."""
        return self._state is not LinkState.BROKEN and self._outbox.send(item)

    def close(self) -> None:
        """Stops the link for good and fails what is pending."""
        self._task.stop()
        self._fail_pending()

    def _request(
        self,
        request: TicketRequest | ReachRequest | PlanClaims | RegistryPull,
        exchange: ExchangeId,
        timeout_s: float,
    ) -> _ExchangeReply | None:
        inbox: tasks.Mailbox[_ExchangeReply] = tasks.Mailbox()
        self._exchanges[exchange] = inbox
        try:
            return inbox.receive(timeout_s) if self.send(request) else None
        finally:
            self._exchanges.pop(exchange, None)

    def _run(self) -> None:
        while True:
            first = None if self._watch_interval_s else self._outbox.receive()
            self._state = LinkState.DIALLING
            connection = self._connector.dial(self._address)
            if connection is not None:
                self._failures = 0
                self._run_connection(connection, first)
            self._fail_pending(first if connection is None else None)
            self._back_off(was_connected=connection is not None)

    def _back_off(self, was_connected: bool) -> None:
        if was_connected and self._state is LinkState.IDLE:
            return
        self._state = LinkState.BROKEN
        if self._daemon is not None:
            self._roster.contacts.record_disconnect(self._daemon)
        pause_s = min(REDIAL_MAX_S, REDIAL_MIN_S * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        tasks.sleep(random.uniform(pause_s / 2, pause_s))
        self._fail_pending()
        self._state = LinkState.IDLE

    def _run_connection(self, peer: PeerConnection, first: _Item | None) -> None:
        if self._daemon not in (None, peer.daemon):
            self._roster.contacts.record_disconnect(self._daemon)
        self._daemon = peer.daemon
        self._roster.apply_records((peer.member,), clock.monotonic_s())
        self._state = LinkState.CONNECTED
        has_read_all = tasks.Signal()
        reader = tasks.spawn(self._read_frames, peer, has_read_all)
        try:
            self._write_frames(peer, first)
        except OSError:
            self._state = LinkState.BROKEN
            # A peer that has closed may have replied before; a write fails first.
            has_read_all.wait(LAST_REPLIES_S)
        except Exception:
            # Such as a frame that can't be encoded; the next ones need a connection.
            _log.exception("peer connection failed", extra={"peer": self._address})
            self._state = LinkState.BROKEN
        finally:
            reader.stop()
            peer.close()
        if self._state is LinkState.BROKEN:
            _log.info("peer lost", extra={"peer": self._address})

    def _write_frames(self, peer: PeerConnection, first: _Item | None) -> None:
        heartbeat_at_s = used_at_s = clock.monotonic_s()
        item: _Item | None = first or _WakeUp.HEARTBEAT
        while self._state is LinkState.CONNECTED:
            now_s = clock.monotonic_s()
            is_heartbeat_due = item is _WakeUp.HEARTBEAT
            if item is not None and not isinstance(item, _WakeUp):
                used_at_s = now_s
                is_heartbeat_due |= self._write_ready(peer, item)
            interval_s = self._interval_s()
            if is_heartbeat_due or (
                interval_s and now_s >= clock.next_tick_s(heartbeat_at_s, interval_s)
            ):
                peer.send(self._gossip.next_heartbeat(peer.daemon, now_s))
                heartbeat_at_s = now_s
            if interval_s is None and now_s - used_at_s >= IDLE_S:
                self._state = LinkState.IDLE
                return
            ends_at_s = used_at_s + IDLE_S
            if interval_s:
                ends_at_s = clock.next_tick_s(heartbeat_at_s, interval_s)
            item = self._outbox.receive(max(0.0, ends_at_s - now_s))

    def _interval_s(self) -> float | None:
        if self._reply_inboxes or len(self._exchanges) > self._long_polls:
            return min(self._heartbeat_s, self._watch_interval_s or self._heartbeat_s)
        if self._watch_interval_s and self._roster.has_pending_gossip:
            return min(self._heartbeat_s / 2, self._watch_interval_s)
        return self._watch_interval_s

    def _write_ready(self, peer: PeerConnection, first: _Item) -> bool:
        """Writes what is queued; returns whether a heartbeat was requested."""
        requests: list[SubRequest] = []
        is_heartbeat_due = False
        for item in self._outbox.receive_ready(first, ITEMS_PER_FRAME_MAX):
            match item:
                case SubRequest():
                    requests.append(item)
                case _WakeUp():
                    is_heartbeat_due |= item is _WakeUp.HEARTBEAT
                case _:
                    peer.send(item)
        if requests:
            peer.send(SubRequests(tuple(requests)))
        return is_heartbeat_due

    def _read_frames(self, peer: PeerConnection, has_read_all: tasks.Signal) -> None:
        try:
            while (frame := peer.receive()) is not None:
                self._handle_frame(peer, frame, clock.monotonic_s())
        except Exception:
            _log.exception("frame of a peer failed", extra={"peer": self._address})
        self._state = LinkState.BROKEN
        has_read_all.set()
        self._outbox.send(_WakeUp.WAKE)

    def _handle_frame(self, peer: PeerConnection, frame: Frame, now_s: float) -> None:
        self._roster.contacts.record_reply(peer.daemon, now_s)
        match frame:
            case SubReplies(items):
                for reply in items:
                    self._deliver_reply(reply)
            case TicketReply() | ReachReply() | PlanGrants() | RegistryPush():
                waiter = self._exchanges.get(frame.exchange)
                if waiter is not None:
                    waiter.send(frame)
            case _:
                self._handle_control_frame(peer, frame, now_s)

    def _handle_control_frame(
        self, peer: PeerConnection, frame: Frame, now_s: float
    ) -> None:
        reply_signal, self._reply_signal = self._reply_signal, tasks.Signal()
        reply_signal.set()
        next_request = self._gossip.handle_reply(peer.daemon, frame, now_s)
        if next_request is not None:
            self._outbox.send(next_request)

    def _deliver_reply(self, reply: SubReply) -> None:
        inbox = self._reply_inboxes.pop(reply.attempt, None)
        if inbox is not None:
            inbox.send(reply)

    def _fail_pending(self, first: _Item | None = None) -> None:
        unsent = [first] if isinstance(first, SubRequest) else []
        while len(self._outbox):
            item = self._outbox.receive()
            if isinstance(item, SubRequest):
                unsent.append(item)
        for request in unsent:
            declined = Declined(request.attempt, DeclineReason.UNREACHABLE)
            self._deliver_reply(declined)
        for attempt in list(self._reply_inboxes):
            self._deliver_reply(Lost(attempt, LossReason.PEER_LOST))
