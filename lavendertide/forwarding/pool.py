"""The connections from this host to one target, one task each.

A target accepts a bounded number of connections from all hosts together, so each host
opens its part of them and no more. Requests beyond that wait here, where they can
still be withdrawn.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, Protocol

from lavendertide.forwarding.messages import (
    CallerRequest,
    NotRun,
    NotRunReason,
    TargetReply,
    Unknown,
    UnknownReason,
)
from lavendertide.ids import Address
from lavendertide.registry.record import TargetRecord
from lavendertide.runtime import clock, tasks

# A connection that nobody has used for so long is closed.
IDLE_S: Final = 20.0
# Opening a connection to a living target takes milliseconds; one that is dark never
# answers.
CONNECT_TIMEOUT_S: Final = 0.25

# A host that loses power leaves connections that its targets still count, beside those
# that it opens after its start.
GENERATIONS: Final = 2
# How long after its start a host counts on that: as long as idle connections are kept.
PREVIOUS_CONNECTIONS_S: Final = IDLE_S

_log = logging.getLogger(__name__)


def connection_share(
    connections_max: int, slots: int, hosts: int, has_previous_connections: bool
) -> int:
    """Returns how many connections one host may open to a target.

    Half of the target's are left for those of an earlier start. A host that could not
    use the target's slots at a time would make requests wait for each other, so later
    it may take more. After its own start it does not: where all hosts have lost power,
    the target still counts what each of them had, and resets what is over its bound.

    Args:
        connections_max: Connections that the target takes from all hosts.
        slots: Requests that it runs at a time.
        hosts: How many hosts share it.
        has_previous_connections: Whether it may still count this host's connections of
            before its start.
    """
    whole = connections_max // max(1, hosts)
    share = max(1, whole // GENERATIONS)
    return share if has_previous_connections else max(share, min(slots, whole))


@dataclass(eq=False, slots=True)
class TargetCall:
    """One sub-request to one target.

    Attributes:
        number: Names the call on this host.
        part: Which of the request's services is asked.
        late_at_s: When its reply counts as late, monotonic.
        ends_at_s: When nobody waits for its reply any more, monotonic.
        done: Called once with the reply.
    """

    number: int
    part: int
    request: CallerRequest
    record: TargetRecord
    late_at_s: float
    ends_at_s: float
    done: Callable[["TargetCall", TargetReply], None]
    is_cancelled: bool = False
    wire: "TargetChannel | None" = field(default=None, repr=False)

    def is_late(self, now_s: float) -> bool:
        """Returns whether its reply takes longer than usual."""
        return now_s >= self.late_at_s

    def cancel(self) -> None:
        """Says that nobody waits for the reply; a running exchange is broken off."""
        if self.wire is not None and not self.is_cancelled:
            self.wire.close()
        self.is_cancelled = True


class TargetChannel(Protocol):
    """One connection to a target, as `lavendertide.platform` implements it."""

    def is_usable(self, now_s: float) -> bool:
        """Returns whether the next request may be sent on it."""

    def open(self, timeout_s: float) -> bool:
        """Opens it anew; returns whether the target accepted it."""

    def exchange(self, call: TargetCall, now_s: float) -> TargetReply:
        """Sends a request and waits for its reply."""

    def close(self) -> None:
        """Closes it; a waiting exchange ends."""


class TargetPool:
    """All connections of this host to one target.

    Args:
        record: The target.
        make_wire: Makes a connection that is not open yet.
        connections_max: How many may be open at a time.
    """

    def __init__(
        self,
        record: TargetRecord,
        make_wire: Callable[[Address], TargetChannel],
        connections_max: int,
    ) -> None:
        self._record = record
        self._make_wire = make_wire
        self._connections_max = connections_max
        self._calls: tasks.Mailbox[TargetCall] = tasks.Mailbox()
        self._connections = 0
        self._idle = 0
        self._is_closed = False

    @property
    def record(self) -> TargetRecord:
        """The run of the target to which the connections lead."""
        return self._record

    @property
    def waiting(self) -> int:
        """Calls for which no connection was free."""
        return len(self._calls)

    def resize(self, connections_max: int) -> None:
        """Changes how many connections may be open; surplus ones close when idle."""
        self._connections_max = connections_max

    def submit(self, call: TargetCall) -> None:
        """Has a call made; its reply goes to `call.done`."""
        self._calls.send(call)
        may_open = self._connections < self._connections_max
        if self._idle < len(self._calls) and may_open:
            self._connections += 1
            tasks.spawn(self._serve)

    def close(self) -> None:
        """Lets what runs end and opens nothing new."""
        self._is_closed = True

    def _serve(self) -> None:
        wire = self._make_wire(self._record.address)
        try:
            while (call := self._next_call()) is not None:
                call.done(call, self._make(call, wire))
        finally:
            wire.close()
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

    def _make(self, call: TargetCall, wire: TargetChannel) -> TargetReply:
        target = self._record.target
        now_s = clock.monotonic_s()
        if call.is_cancelled or now_s >= call.ends_at_s:
            return NotRun(target, NotRunReason.ABANDONED)
        if not wire.is_usable(now_s) and not self._open(wire, call, now_s):
            return NotRun(target, NotRunReason.UNREACHABLE)
        if call.is_cancelled:
            return NotRun(target, NotRunReason.ABANDONED)
        call.wire = wire
        try:
            reply = wire.exchange(call, clock.monotonic_s())
        except Exception:
            _log.exception("exchange failed", extra={"target": target})
            wire.close()
            return Unknown(target, UnknownReason.MALFORMED)
        finally:
            call.wire = None
        if call.is_cancelled and isinstance(reply, Unknown):
            return Unknown(target, UnknownReason.CANCELLED)
        return reply

    def _open(self, wire: TargetChannel, call: TargetCall, now_s: float) -> bool:
        return wire.open(min(CONNECT_TIMEOUT_S, call.ends_at_s - now_s))


class TargetPools:
    """The connections of this host to all targets.

    Args:
        make_wire: Makes a connection that is not open yet.
    """

    def __init__(self, make_wire: Callable[[Address], TargetChannel]) -> None:
        self._make_wire = make_wire
        self._pools: dict[str, TargetPool] = {}

    def submit(self, call: TargetCall, connections_max: int) -> None:
        """Has a call made over the connections to its target."""
        record = call.record
        pool = self._pools.get(record.target)
        if pool is not None and not pool.record.is_same_start(record):
            pool.close()
            pool = None
        if pool is None:
            pool = TargetPool(record, self._make_wire, connections_max)
            self._pools[record.target] = pool
        pool.resize(connections_max)
        pool.submit(call)

    def remove(self, record: TargetRecord) -> None:
        """Lets go of a target that is gone."""
        pool = self._pools.get(record.target)
        if pool is not None and pool.record.is_same_start(record):
            del self._pools[record.target]
            pool.close()
