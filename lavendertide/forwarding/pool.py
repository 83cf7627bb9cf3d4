"""Connection pools to targets, with one task for each connection.

A target accepts a bounded number of connections from all hosts together, so each host
opens at most its share of them. Further calls wait in the pool, where they can still
be cancelled. A call is checked again before it is sent, and the calls that wait for a
target which wants no more requests end at once, so that they can be sent elsewhere.
"""

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, Protocol

from lavendertide.forwarding.messages import (
    CallerRequest,
    NotRun,
    NotRunReason,
    Replied,
    TargetReply,
    Unknown,
    UnknownReason,
)
from lavendertide.ids import Address, CallerRequestId
from lavendertide.overload.waiting_order import find_next
from lavendertide.registry.record import TargetRecord
from lavendertide.runtime import clock, tasks

# Idle time after which a connection is closed.
IDLE_S: Final = 20.0
# A reachable target accepts a connection within milliseconds; an unreachable one never
# replies.
CONNECT_TIMEOUT_S: Final = 0.25

# A host that lost power left connections open that its targets still count, in addition
# to those that it opens after its restart.
CONNECTION_GENERATIONS: Final = 2
# How long after its start a host assumes such connections: as long as idle ones are
# kept.
PREVIOUS_CONNECTIONS_S: Final = IDLE_S
# Requests that a connection remembers to have carried without success. With more it is
# replaced by a new one.
UNSUCCESSFUL_MAX: Final = 256
# Longest rest of a connection after which it carries a request that can't be repeated.
# Targets may forget connections that rest for a few tenths of a second. Whether they
# have run what is sent on such a connection is unknown.
RESTED_MAX_S: Final = 0.1

_log = logging.getLogger(__name__)


def connection_share(
    connections_max: int, slots: int, hosts: int, has_previous_connections: bool
) -> int:
    """Returns how many connections one host may open to a target.

    Half of a host's share is reserved for connections of a previous start. With fewer
    connections than the target has slots, requests would wait for each other, so the
    host may use up to its full share for the slots. It doesn't do so shortly after its
    own start: if all hosts have lost power, the target still counts the connections
    that each of them had, and resets connections above its limit.

    Args:
        connections_max: Connections that the target accepts from all hosts together.
        slots: Requests that the target runs at a time.
        hosts: Number of hosts that share the target.
        has_previous_connections: Whether the target may still count connections that
            this host opened before its last start.
    """
    full_share = connections_max // max(1, hosts)
    share = max(1, full_share // CONNECTION_GENERATIONS)
    return share if has_previous_connections else max(share, min(slots, full_share))


@dataclass(eq=False, slots=True)
class TargetCall:
    """One sub-request to one target.

    Attributes:
        number: Identifies the call on this host.
        part: Number of the request's part that the call belongs to.
        request: The caller's request.
        record: The target.
        late_at_s: Time from which the reply is late, monotonic.
        ends_at_s: Time from which nobody waits for the reply, monotonic.
        done: Called once with the call and its reply.
        is_repeatable: Whether the request may be sent again if its fate is unknown.
        outages: How often the target had stopped accepting connections before.
        is_sent: Whether a byte of the request may have reached the target.
        is_cancelled: Whether nobody waits for the reply any more.
        channel: The connection while the exchange runs.
        priority: Calls with a lower number are sent first; zero where routes have none.
        queued_at_s: Time from which the call waits for a connection, monotonic.
    """

    number: int
    part: int
    request: CallerRequest
    record: TargetRecord
    late_at_s: float
    ends_at_s: float
    done: Callable[["TargetCall", TargetReply], None]
    outages: int = 0
    is_repeatable: bool = True
    is_sent: bool = False
    is_cancelled: bool = False
    channel: "TargetChannel | None" = field(default=None, repr=False)
    priority: int = 0
    queued_at_s: float = 0.0

    def is_late(self, now_s: float) -> bool:
        """Returns whether the reply is late."""
        return now_s >= self.late_at_s

    def cancel(self) -> None:
        """Cancels the call; a running exchange ends, since its connection is closed."""
        if self.channel is not None and not self.is_cancelled:
            self.channel.close()
        self.is_cancelled = True


# Returns the reason why a call must not be sent at a time; none if it may be. The last
# argument is whether the call is sent at once if there is none.
FindBlockingReason = Callable[[TargetCall, float, bool], NotRunReason | None]


class TargetChannel(Protocol):
    """One connection to a target; implemented in `lavendertide.platform`."""

    def is_usable(self, now_s: float) -> bool:
        """Returns whether the connection is open and may carry the next request."""

    def open(self, timeout_s: float) -> bool:
        """Opens a new connection; returns whether the target accepted it."""

    def exchange(self, call: TargetCall, now_s: float) -> TargetReply:
        """Sends a request and waits for its reply."""

    def has_data(self) -> bool:
        """Returns whether data has arrived that was not read yet; never waits."""

    def close(self) -> None:
        """Closes the connection, which ends an exchange that waits for its reply."""


class PooledConnection:
    """A connection of a pool, and the requests that must not be sent on it again.

    A target may send a second copy of a reply late, where it should send the next one.
    The copy bears the id of its request, so it is skipped, unless the same request is
    waiting on the connection once more: then the copy looks like the reply to the
    second attempt. So a request that has ended without success, and may therefore be
    repeated, is never sent twice on one connection.
    """

    def __init__(self, channel: TargetChannel) -> None:
        self._channel = channel
        self._unsuccessful: set[CallerRequestId] = set()
        self._used_at_s = -math.inf

    def make_usable(self, call: TargetCall, now_s: float) -> bool:
        """Opens a new connection if the open one can't carry a call.

        Returns:
            Whether the call may be sent; if not, the target accepts no connection.
        """
        is_fresh = (
            call.request.request not in self._unsuccessful
            and len(self._unsuccessful) < UNSUCCESSFUL_MAX
            and (call.is_repeatable or now_s - self._used_at_s <= RESTED_MAX_S)
        )
        if is_fresh and self._channel.is_usable(now_s):
            return True
        self._unsuccessful.clear()
        return self._channel.open(min(CONNECT_TIMEOUT_S, call.ends_at_s - now_s))

    def exchange(self, call: TargetCall, now_s: float) -> TargetReply:
        """Sends a request and waits for its reply."""
        call.is_sent = True
        call.channel = self._channel
        try:
            reply = self._channel.exchange(call, now_s)
        finally:
            call.channel = None
            self._used_at_s = clock.monotonic_s()
        match reply:
            case Replied() if reply.is_success:
                pass
            case _:
                self._unsuccessful.add(call.request.request)
        return reply

    def close(self) -> None:
        """Closes the connection."""
        self._channel.close()


class WaitingCalls:
    """The calls that wait for a connection to one target, in order of arrival."""

    def __init__(self) -> None:
        self._calls: list[TargetCall] = []
        # One entry for each waiting call, to wake a task that waits for one.
        self._arrivals: tasks.Mailbox[None] = tasks.Mailbox()

    def __len__(self) -> int:
        return len(self._calls)

    def send(self, call: TargetCall) -> None:
        """Adds a call; never waits."""
        self._calls.append(call)
        self._arrivals.send(None)

    def receive(self, timeout_s: float) -> TargetCall | None:
        """Waits for a call and removes the one to send next; none after the timeout."""
        self._arrivals.receive(timeout_s)
        if not self._calls:
            return None
        return self._calls.pop(find_next(self._calls, clock.monotonic_s()))

    def take_all(self) -> list[TargetCall]:
        """Removes and returns all calls."""
        self._arrivals.take_all()
        calls, self._calls = self._calls, []
        return calls


class TargetPool:
    """The connections of this host to one run of one target.

    Args:
        record: The target.
        make_channel: Creates a connection that is not open yet.
        find_blocking_reason: Returns the reason why a call must not be sent, if any.
        connections_max: Maximum number of open connections.
    """

    def __init__(
        self,
        record: TargetRecord,
        make_channel: Callable[[Address], TargetChannel],
        find_blocking_reason: FindBlockingReason,
        connections_max: int,
    ) -> None:
        self._record = record
        self._make_channel = make_channel
        self._find_blocking_reason = find_blocking_reason
        self._connections_max = connections_max
        self._calls = WaitingCalls()
        self._connections = 0
        self._idle = 0
        self._is_closed = False

    @property
    def record(self) -> TargetRecord:
        """The record of the run of the target that the connections lead to."""
        return self._record

    @property
    def waiting(self) -> int:
        """Number of calls that wait for a free connection."""
        return len(self._calls)

    def resize(self, connections_max: int) -> None:
        """Changes the maximum; surplus connections close once no call waits."""
        self._connections_max = connections_max

    def submit(self, call: TargetCall) -> None:
        """Queues a call and opens a connection if none is idle and one more may open.

        The reply is passed to `call.done`.
        """
        self._calls.send(call)
        may_open = self._connections < self._connections_max
        if self._idle < len(self._calls) and may_open:
            self._connections += 1
            tasks.spawn(self._run_connection)

    def withdraw_waiting(self, now_s: float) -> None:
        """Ends the calls that wait for a connection and must not be sent any more."""
        for call in self._calls.take_all():
            reason = self._find_blocking_reason(call, now_s, False)
            if reason is None:
                self._calls.send(call)
            else:
                call.done(call, NotRun(self._record.target, reason))

    def close(self) -> None:
        """Closes the pool of a run that has ended.

        Waiting calls end at once, running ones as usual; then the connections close.
        """
        self._is_closed = True
        for call in self._calls.take_all():
            call.done(call, NotRun(self._record.target, NotRunReason.WITHDRAWN))

    def _run_connection(self) -> None:
        connection = PooledConnection(self._make_channel(self._record.address))
        try:
            while (call := self._next_call()) is not None:
                call.done(call, self._execute(call, connection))
        finally:
            connection.close()
            self._connections -= 1

    def _next_call(self) -> TargetCall | None:
        while True:
            is_surplus = self._connections > self._connections_max
            if (self._is_closed or is_surplus) and not len(self._calls):
                return None
            self._idle += 1
            try:
                call = self._calls.receive(IDLE_S)
            finally:
                self._idle -= 1
            if call is not None:
                return call
            if not len(self._calls):
                return None

    def _execute(self, call: TargetCall, connection: PooledConnection) -> TargetReply:
        target = self._record.target
        now_s = clock.monotonic_s()
        reason = self._find_blocking_reason(call, now_s, False)
        if reason is not None:
            return NotRun(target, reason)
        try:
            is_usable = connection.make_usable(call, now_s)
        except Exception:
            _log.exception("connection failed", extra={"target": target})
            is_usable = False
        if not is_usable:
            return NotRun(target, NotRunReason.UNREACHABLE)
        opened_at_s = clock.monotonic_s()
        # It may have taken some time to open the connection.
        reason = self._find_blocking_reason(call, opened_at_s, True)
        if reason is not None:
            return NotRun(target, reason)
        try:
            reply = connection.exchange(call, opened_at_s)
        except Exception:
            _log.exception("exchange failed", extra={"target": target})
            connection.close()
            return Unknown(target, UnknownReason.MALFORMED)
        if call.is_cancelled and isinstance(reply, Unknown):
            return Unknown(target, UnknownReason.CANCELLED)
        return reply


class TargetPools:
    """The connection pools of this host, one for each target.

    Args:
        make_channel: Creates a connection that is not open yet.
        find_blocking_reason: Returns the reason why a call must not be sent, if any.
    """

    def __init__(
        self,
        make_channel: Callable[[Address], TargetChannel],
        find_blocking_reason: FindBlockingReason,
    ) -> None:
        self._make_channel = make_channel
        self._find_blocking_reason = find_blocking_reason
        self._pools: dict[str, TargetPool] = {}

    def submit(self, call: TargetCall, connections_max: int) -> None:
        """Submits a call to its target's pool.

        The pool is replaced if the target has restarted since it was created.
        """
        record = call.record
        pool = self._pools.get(record.target)
        if pool is not None and not pool.record.is_same_start(record):
            pool.close()
            pool = None
        if pool is None:
            pool = TargetPool(
                record, self._make_channel, self._find_blocking_reason, connections_max
            )
            self._pools[record.target] = pool
        pool.resize(connections_max)
        pool.submit(call)

    def withdraw_waiting(self, record: TargetRecord, now_s: float) -> None:
        """Ends the waiting calls to a target that must not be sent to it any more."""
        pool = self._pools.get(record.target)
        if pool is not None:
            pool.withdraw_waiting(now_s)

    def remove(self, record: TargetRecord) -> None:
        """Closes and removes the pool of a target that has left."""
        pool = self._pools.get(record.target)
        if pool is not None and pool.record.is_same_start(record):
            del self._pools[record.target]
            pool.close()
