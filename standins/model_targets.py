"""Targets with slots, queues, pauses and faults, as times rather than processes."""

import heapq
import random
from dataclasses import dataclass, field
from enum import Enum
from typing import Final
from zlib import crc32

from lavendertide.forwarding.messages import (
    NotRun,
    NotRunReason,
    Replied,
    TargetReply,
    Unknown,
    UnknownReason,
)
from lavendertide.forwarding.pool import TargetCall
from lavendertide.registry.record import TargetRecord
from lavendertide.runtime import clock, tasks

# The users' sheets: two slots and a short queue a target, a pause of 200 ms each 4.5 s.
SLOTS: Final = 2
QUEUE_MAX: Final = 6
PAUSE_S: Final = 0.2
PAUSE_EACH_S: Final = 4.5
# Part of the answers that a lossy target loses, as on the users' days of high load.
LOST_SHARE: Final = 0.4
# Part of the requests that never end at a target that hangs, as there.
HUNG_SHARE: Final = 0.5


class Fault(Enum):
    """What is wrong with a target."""

    NONE = "none"
    # Each request takes ten times as long.
    SLOW = "slow"
    # Requests run, their answers are lost with the connection.
    RESETS = "resets"
    # The same for some of them.
    LOSSY = "lossy"
    # Some requests take a slot and never end.
    HANGS = "hangs"
    # No connection can be opened.
    GONE = "gone"


@dataclass
class ModelTarget:
    """One target.

    Attributes:
        work_s: Mean time that a request takes in a slot.
        executed_requests: Requests in the order in which they began to run.
    """

    record: TargetRecord
    work_s: float
    generator: random.Random
    fault: Fault = Fault.NONE
    executed_requests: list[str] = field(default_factory=list)
    _free_at_s: list[float] = field(default_factory=lambda: [0.0] * SLOTS)
    _starts_s: list[float] = field(default_factory=list)

    def serve(
        self, call: TargetCall, closed: tasks.Signal, now_s: float
    ) -> TargetReply:
        """Runs a request when a slot is free; waits as long as it takes.

        Args:
            call: The request.
            closed: Happens when the other side closes the connection.
            now_s: Present time, monotonic.
        """
        target = self.record.target
        if self._queued(now_s) >= QUEUE_MAX:
            return NotRun(target, NotRunReason.REFUSED)
        starts_s = max(now_s, self._free_at_s[0])
        if starts_s >= call.ends_at_s:
            closed.wait(call.ends_at_s - now_s)
            return NotRun(target, NotRunReason.REFUSED)
        ends_s = self._end_of(starts_s)
        if self.fault is Fault.HANGS and self.generator.random() < HUNG_SHARE:
            ends_s = call.ends_at_s
        heapq.heapreplace(self._free_at_s, ends_s)
        heapq.heappush(self._starts_s, starts_s)
        self.executed_requests.append(call.request.request)
        if closed.wait(min(ends_s, call.ends_at_s) - now_s):
            self._free(ends_s, clock.monotonic_s())
            return Unknown(target, UnknownReason.CLOSED)
        if ends_s >= call.ends_at_s:
            return Unknown(target, UnknownReason.TIMED_OUT)
        if self._loses_answer():
            return Unknown(target, UnknownReason.CLOSED)
        return Replied(target, 200, (), b"", target)

    def _free(self, ends_s: float, now_s: float) -> None:
        """Frees the slot of a request that was broken off, if none waits behind it."""
        if ends_s in self._free_at_s:
            self._free_at_s.remove(ends_s)
            self._free_at_s.append(now_s)
            heapq.heapify(self._free_at_s)

    def _loses_answer(self) -> bool:
        match self.fault:
            case Fault.RESETS:
                return True
            case Fault.LOSSY:
                return self.generator.random() < LOST_SHARE
            case _:
                return False

    def _queued(self, now_s: float) -> int:
        while self._starts_s and self._starts_s[0] <= now_s:
            heapq.heappop(self._starts_s)
        return len(self._starts_s)

    def _end_of(self, starts_s: float) -> float:
        factor = 10.0 if self.fault is Fault.SLOW else 1.0
        ends_s = starts_s + factor * self.generator.gammavariate(4.0, self.work_s / 4)
        # All targets pause by the same clock, each at a moment of its own.
        phase_s = crc32(self.record.target.encode()) % 1_000 / 1_000 * PAUSE_EACH_S
        since_pause_s = (ends_s + phase_s) % PAUSE_EACH_S
        return ends_s + max(0.0, PAUSE_S - since_pause_s)


class ModelChannel:
    """A connection to a model target."""

    def __init__(self, target: ModelTarget) -> None:
        self._target = target
        self._closed = tasks.Signal()
        self._is_open = False

    def is_usable(self, now_s: float) -> bool:
        """Returns whether it is open."""
        return self._is_open

    def open(self, timeout_s: float) -> bool:
        """Opens it anew, unless the target is gone."""
        self._closed = tasks.Signal()
        self._is_open = self._target.fault is not Fault.GONE
        return self._is_open

    def close(self) -> None:
        """Ends a running exchange."""
        self._is_open = False
        self._closed.set()

    def exchange(self, call: TargetCall, now_s: float) -> TargetReply:
        """Has the target serve a request."""
        reply = self._target.serve(call, self._closed, now_s)
        if isinstance(reply, Unknown):
            self._is_open = False
        return reply
