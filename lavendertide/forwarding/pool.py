"""Connection pools to targets, with one task for each connection.

A target accepts a bounded number of connections from all hosts together, so each host
opens at most its share of them. Further calls wait in the pool, where they can still
be cancelled. A call is checked again before it is sent, and the calls that wait for a
target which wants no more requests end at once, so that they can be sent elsewhere.
"""

import logging
from collections.abc import Callable
from typing import Final

from lavendertide.bookkeeping import Isolated
from lavendertide.forwarding.connection_slots import ConnectionSlots
from lavendertide.forwarding.messages import (
    NotRun,
    NotRunReason,
    TargetReply,
    Unknown,
    UnknownReason,
)
from lavendertide.forwarding.pooled_connection import PooledConnection
from lavendertide.forwarding.target_call import (
    FindBlockingReason,
    TargetCall,
    TargetChannel,
)
from lavendertide.ids import Address
from lavendertide.overload.waiting_order import find_next
from lavendertide.registry.record import TargetRecord
from lavendertide.runtime import clock, tasks

# Idle time after which a connection is closed.
IDLE_S: Final = 20.0

# A host that lost power left connections open that its targets still count, in addition
# to those that it opens after its restart.
CONNECTION_GENERATIONS: Final = 2
# How long after its start a host assumes such connections: as long as idle ones are
# kept.
PREVIOUS_CONNECTIONS_S: Final = IDLE_S

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
        slots: Bounds the connections to all targets together.
    """

    def __init__(
        self,
        record: TargetRecord,
        make_channel: Callable[[Address], TargetChannel],
        find_blocking_reason: FindBlockingReason,
        connections_max: int,
        slots: ConnectionSlots,
    ) -> None:
        self._slots = slots
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
        """Changes the maximum; calls that wait get the connections that are added.

        Surplus connections close once no call waits.
        """
        added = connections_max - max(self._connections, self._connections_max)
        self._connections_max = connections_max
        for _ in range(min(added, len(self._calls) - self._idle)):
            self._open_connection()

    def submit(self, call: TargetCall) -> None:
        """Queues a call and opens a connection if none is idle and one more may open.

        The reply is passed to `call.done`.
        """
        self._calls.send(call)
        may_open = self._connections < self._connections_max
        if self._idle < len(self._calls) and may_open:
            self._open_connection()

    def withdraw_waiting(self, now_s: float) -> None:
        """Ends the calls that wait for a connection and must not be sent any more."""
        for call in self._calls.take_all():
            reason: NotRunReason | None = None
            with Isolated("withdrawal", call.request.request):
                reason = self._find_blocking_reason(call, now_s, False)
            if reason is None:
                # It is checked again before it is sent.
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

    def _open_connection(self) -> None:
        self._connections += 1
        tasks.spawn(self._run_connection)

    def _run_connection(self) -> None:
        connection = PooledConnection(self._make_channel(self._record.address))
        try:
            while (call := self._next_call(connection)) is not None:
                call.done(call, self._complete(call, connection))
        finally:
            connection.release()
            self._slots.remove(connection)
            self._connections -= 1

    def _next_call(self, connection: PooledConnection) -> TargetCall | None:
        while True:
            is_surplus = self._connections > self._connections_max
            if (self._is_closed or is_surplus) and not len(self._calls):
                return None
            self._idle += 1
            self._slots.mark_idle(connection)
            try:
                call = self._calls.receive(IDLE_S)
            finally:
                self._idle -= 1
                self._slots.mark_busy(connection)
            if call is not None:
                return call
            if not len(self._calls):
                return None

    def _complete(self, call: TargetCall, connection: PooledConnection) -> TargetReply:
        """Executes a call; returns a reply also after an unexpected exception.

        Without a reply the request would wait for it until its deadline.
        """
        target = self._record.target
        try:
            return self._execute(call, connection)
        except Exception:
            _log.exception("call failed", extra={"target": target})
            connection.close()
            if call.is_sent:
                return Unknown(target, UnknownReason.MALFORMED)
            # It counts as an attempt, so that the next one waits for a moment.
            return NotRun(target, NotRunReason.UNREACHABLE)

    def _execute(self, call: TargetCall, connection: PooledConnection) -> TargetReply:
        target = self._record.target
        now_s = clock.monotonic_s()
        reason = self._find_blocking_reason(call, now_s, False)
        if reason is not None:
            return NotRun(target, reason)
        if not self._slots.acquire(connection, call.ends_at_s):
            return NotRun(target, NotRunReason.ABANDONED)
        if not connection.make_usable(call, clock.monotonic_s()):
            return NotRun(target, NotRunReason.UNREACHABLE)
        opened_at_s = clock.monotonic_s()
        # It may have taken some time to open the connection.
        reason = self._find_blocking_reason(call, opened_at_s, True)
        if reason is not None:
            return NotRun(target, reason)
        reply = connection.exchange(call, opened_at_s)
        if call.is_cancelled and isinstance(reply, Unknown):
            return Unknown(target, UnknownReason.CANCELLED)
        return reply


class TargetPools:
    """The connection pools of this host, one for each target.

    Args:
        make_channel: Creates a connection that is not open yet.
        find_blocking_reason: Returns the reason why a call must not be sent, if any.
        slots: Bounds the connections of all pools together; unbounded if none.
    """

    def __init__(
        self,
        make_channel: Callable[[Address], TargetChannel],
        find_blocking_reason: FindBlockingReason,
        slots: ConnectionSlots | None = None,
    ) -> None:
        # An empty one is false.
        self._slots = ConnectionSlots() if slots is None else slots
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
                record,
                self._make_channel,
                self._find_blocking_reason,
                connections_max,
                self._slots,
            )
            self._pools[record.target] = pool
        pool.resize(connections_max)
        pool.submit(call)

    def resize(self, find_max: Callable[[TargetRecord], int]) -> None:
        """Changes the maxima of all pools, as after a change of the routes."""
        for pool in list(self._pools.values()):
            pool.resize(find_max(pool.record))

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
