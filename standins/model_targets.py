"""Models targets with slots, queues, pauses and faults by computed service times."""

import heapq
import math
import random
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Final
from zlib import crc32

from lavendertide.forwarding.messages import (
    NotRun,
    NotRunReason,
    Replied,
    TargetNotice,
    TargetReply,
    Unknown,
    UnknownReason,
)
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.overload.reported_load import ReportedLoad
from lavendertide.registry.record import TargetRecord
from lavendertide.runtime import clock, tasks
from standins.model_notices import PAUSE_S as PAUSE_DEMANDED_S, NoticeChecker

# From the deployment's data sheets: a target has two slots and a short queue, and
# pauses for 200 ms every 4.5 s.
SLOTS: Final = 2
QUEUE_MAX: Final = 6
PAUSE_S: Final = 0.2
PAUSE_INTERVAL_S: Final = 4.5
# Share of the replies that a lossy target loses, as seen on days of high load.
LOST_SHARE: Final = 0.4
# Share of the requests that never end at a hanging target, as seen on the same days.
HUNG_SHARE: Final = 0.5


class Fault(Enum):
    """Faults of a model target."""

    NONE = "none"
    # Each request takes several times as long.
    SLOW = "slow"
    # Requests run, but every reply is lost because the connection breaks.
    RESETS = "resets"
    # Requests run, but some of the replies are lost in the same way.
    LOSSY = "lossy"
    # Requests run, but some of the replies never come.
    SILENT = "silent"
    # Requests run, and some of the replies are errors.
    ERRORS = "errors"
    # Some requests occupy a slot and never end.
    HANGS = "hangs"
    # No connection can be opened.
    GONE = "gone"
    # Each request is turned away, and its host is told how long to stay away.
    FULL = "full"
    # Requests run, and each reply says that the target is leaving.
    LEAVING = "leaving"


@dataclass
class ModelTarget:
    """A target whose slots, queue and pauses are computed from service times.

    Attributes:
        record: The target's entry in the registry.
        work_s: Mean time that a request takes in a slot.
        generator: Source of the service times and of lost replies.
        fault: The present fault.
        work_factor: How many times as long work takes at present.
        crowding: How many times as long it takes while more than half of the slots are
            used.
        reports_load: Whether replies report the load.
        slow_factor: How many times as long each request takes while it is slow.
        lost_share: Share of the replies that a fault loses or turns into errors.
        forgets_after_s: Rest after which it forgets a connection.
        pause_phase_s: Offset of its pauses from those of other targets; derived from
            its name if absent.
        executed_requests: Ids of the requests in the order in which they began to run.
        notices: Checks that hosts respect what this run has told them.
        ended_violations: What the checks of earlier runs have found.
    """

    record: TargetRecord
    work_s: float
    generator: random.Random
    fault: Fault = Fault.NONE
    work_factor: float = 1.0
    crowding: float = 1.0
    reports_load: bool = False
    slow_factor: float = 10.0
    lost_share: float = LOST_SHARE
    forgets_after_s: float = math.inf
    pause_phase_s: float | None = None
    executed_requests: list[str] = field(default_factory=list)
    notices: NoticeChecker = field(default_factory=NoticeChecker)
    ended_violations: list[str] = field(default_factory=list)
    _free_at_s: list[float] = field(init=False)
    _queued_starts_s: list[float] = field(default_factory=list)
    # A dictionary keeps the order, on which the day of a seed depends.
    _running: dict[tasks.Signal, None] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._free_at_s = [0.0] * self.record.slots

    def serve(
        self, host: int, call: TargetCall, closed: tasks.Signal, now_s: float
    ) -> TargetReply:
        """Runs a request once a slot is free and blocks until it has ended.

        Args:
            host: Number of the host that has sent the request.
            call: The request.
            closed: Set when the gateway closes the connection.
            now_s: Present time, monotonic.
        """
        self.notices.record_arrival(host, now_s)
        if self.fault is Fault.FULL:
            self.notices.record_pause(host, now_s)
            notice = TargetNotice(pause_s=PAUSE_DEMANDED_S)
            return NotRun(self.record.target, NotRunReason.REFUSED, notice)
        reply = self._run(call, closed, now_s)
        if self.reports_load and isinstance(reply, Replied):
            reply = replace(reply, notice=TargetNotice(load=self._load()))
        if self.fault is Fault.LEAVING and isinstance(reply, Replied):
            self.notices.record_leaving(host, clock.monotonic_s())
            return replace(reply, notice=TargetNotice(is_leaving=True))
        return reply

    def restart(self) -> None:
        """Starts a new run under the same name, without faults."""
        started_at_ms = self.record.started_at_ms + 1
        self.record = replace(self.record, started_at_ms=started_at_ms)
        self.fault = Fault.NONE
        self.ended_violations += self.notices.violations
        self.notices = NoticeChecker()

    def crash(self) -> None:
        """Ends the process, and with it all connections and running requests."""
        self.fault = Fault.GONE
        for closed in tuple(self._running):
            closed.set()
        self._free_at_s = [0.0] * self.record.slots
        self._queued_starts_s.clear()

    def _run(self, call: TargetCall, closed: tasks.Signal, now_s: float) -> TargetReply:
        target = self.record.target
        if self._count_queued(now_s) >= QUEUE_MAX:
            return NotRun(target, NotRunReason.REFUSED)
        starts_s = max(now_s, self._free_at_s[0])
        if starts_s >= call.ends_at_s:
            closed.wait(call.ends_at_s - now_s)
            return NotRun(target, NotRunReason.REFUSED)
        ends_s = self._compute_end_s(starts_s)
        if self.fault is Fault.HANGS and self.generator.random() < HUNG_SHARE:
            ends_s = call.ends_at_s
        heapq.heapreplace(self._free_at_s, ends_s)
        heapq.heappush(self._queued_starts_s, starts_s)
        self.executed_requests.append(call.request.request)
        self._running[closed] = None
        is_closed = closed.wait(min(ends_s, call.ends_at_s) - now_s)
        del self._running[closed]
        if is_closed:
            self._free(ends_s, clock.monotonic_s())
            return Unknown(target, UnknownReason.CLOSED)
        if ends_s >= call.ends_at_s:
            return Unknown(target, UnknownReason.TIMED_OUT)
        if self._loses_reply():
            return self._lose_reply(call, closed)
        return Replied(target, 200, (), b"", target)

    def _free(self, ends_s: float, now_s: float) -> None:
        """Frees the slot of an aborted request, unless a queued request has it next."""
        if ends_s in self._free_at_s:
            self._free_at_s.remove(ends_s)
            self._free_at_s.append(now_s)
            heapq.heapify(self._free_at_s)

    def _load(self) -> ReportedLoad:
        now_s = clock.monotonic_s()
        waiting = self._count_queued(now_s)
        running = sum(free_s > now_s for free_s in self._free_at_s)
        return ReportedLoad(running, waiting, self.record.slots)

    def _loses_reply(self) -> bool:
        match self.fault:
            case Fault.RESETS:
                return True
            case Fault.LOSSY | Fault.SILENT | Fault.ERRORS:
                return self.generator.random() < self.lost_share
            case _:
                return False

    def _lose_reply(self, call: TargetCall, closed: tasks.Signal) -> TargetReply:
        target = self.record.target
        match self.fault:
            case Fault.ERRORS:
                return Replied(target, 500, (), b"", "")
            case Fault.SILENT:
                is_closed = closed.wait(call.ends_at_s - clock.monotonic_s())
                reason = UnknownReason.CLOSED if is_closed else UnknownReason.TIMED_OUT
                return Unknown(target, reason)
            case _:
                return Unknown(target, UnknownReason.CLOSED)

    def _count_queued(self, now_s: float) -> int:
        while self._queued_starts_s and self._queued_starts_s[0] <= now_s:
            heapq.heappop(self._queued_starts_s)
        return len(self._queued_starts_s)

    def _compute_end_s(self, starts_s: float) -> float:
        factor = self.slow_factor if self.fault is Fault.SLOW else self.work_factor
        # The request itself uses a slot, too.
        running = 1 + sum(free_s > starts_s for free_s in self._free_at_s)
        if 2 * running > self.record.slots:
            factor *= self.crowding
        ends_s = starts_s + factor * self.generator.gammavariate(4.0, self.work_s / 4)
        # All targets pause with the same period, each with a phase of its own.
        phase_s = self.pause_phase_s
        if phase_s is None:
            share = crc32(self.record.target.encode()) % 1_000 / 1_000
            phase_s = share * PAUSE_INTERVAL_S
        since_pause_s = (ends_s + phase_s) % PAUSE_INTERVAL_S
        return ends_s + max(0.0, PAUSE_S - since_pause_s)


class ModelChannel:
    """A connection to a model target.

    Args:
        host: Number of the host that has the connection.
        target: The target.
        delay_s: Network delay of each way.
        host_delay_s: Seconds by which the host itself delays each reply.
    """

    def __init__(
        self,
        host: int,
        target: ModelTarget,
        delay_s: float = 0.0,
        host_delay_s: float = 0.0,
    ) -> None:
        self._host = host
        self._target = target
        self._delay_s = delay_s
        self._host_delay_s = host_delay_s
        self._closed = tasks.Signal()
        self._is_open = False
        self._rests_since_s = 0.0

    def is_usable(self, now_s: float) -> bool:
        """Returns whether the connection is open."""
        return self._is_open

    def open(self, timeout_s: float) -> bool:
        """Opens a new connection; returns False if the target is gone."""
        self._closed = tasks.Signal()
        self._is_open = self._target.fault is not Fault.GONE
        self._rests_since_s = clock.monotonic_s()
        return self._is_open

    def has_data(self) -> bool:
        """Returns False: replies are returned as soon as they exist."""
        return False

    def close(self) -> None:
        """Closes the connection and aborts the exchange that runs on it."""
        self._is_open = False
        self._closed.set()

    def release(self) -> None:
        """Closes the connection; no exchange runs on it."""
        self.close()

    def exchange(self, call: TargetCall, now_s: float) -> TargetReply:
        """Sends a request to the target and returns its reply.

        The connection is closed if the outcome of the request is unknown.
        """
        if now_s - self._rests_since_s > self._target.forgets_after_s:
            self._is_open = False
            return Unknown(call.record.target, UnknownReason.CLOSED)
        if self._delay_s:
            tasks.sleep(self._delay_s)
            now_s = clock.monotonic_s()
        reply = self._target.serve(self._host, call, self._closed, now_s)
        if self._delay_s or self._host_delay_s:
            tasks.sleep(self._delay_s + self._host_delay_s)
        if isinstance(reply, Unknown):
            self._is_open = False
        self._rests_since_s = clock.monotonic_s()
        return reply
