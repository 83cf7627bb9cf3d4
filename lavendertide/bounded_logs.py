"""The log of a gateway: one JSON object a line on standard output, bounded.

A line costs processor time that requests need, and its reader may stop reading. So
lines are written without waiting, at a bounded rate; what does not fit is counted and
the count is logged. Warnings, and the lines that say how requests ended, have reserves
that other lines cannot use up.
"""

import logging
import sys
from enum import Enum
from typing import Final

from prometheus_client import Counter
from pythonjsonlogger.json import JsonFormatter

from lavendertide.ids import DaemonId
from lavendertide.runtime import clock, output

FIELDS: Final = "%(asctime)s %(levelname)s %(name)s %(message)s"
# Lines a second that cost about a hundredth of a core, and what a burst may use.
LINES_PER_S: Final = 60.0
BURST_LINES: Final = 240.0
# Lines of the burst that others may not use: a second's worth for warnings, and as many
# again for the ends of requests. A host that is busy answers about as many a second.
WARNING_LINES: Final = 60.0
ENDED_LINES: Final = 60.0
# The logger to which the end of each request is written.
ENDED_REQUESTS: Final = "lavendertide.requests"
# What is kept for a reader that has stopped reading; beyond it lines are dropped.
UNWRITTEN_MAX_BYTES: Final = 65_536

DROPPED: Final = Counter(
    "lavendertide_log_lines_dropped", "Log lines over the rate or without a reader."
)


class LineKind(Enum):
    """How much a line is needed, from which it follows what may use up its place."""

    WARNING = "warning"
    ENDED_REQUEST = "ended_request"
    OTHER = "other"

    @property
    def reserved_lines(self) -> float:
        """How many lines have to be left for the kinds that are needed more."""
        match self:
            case LineKind.WARNING:
                return 0.0
            case LineKind.ENDED_REQUEST:
                return WARNING_LINES
            case LineKind.OTHER:
                return WARNING_LINES + ENDED_LINES


def kind_of(record: logging.LogRecord) -> LineKind:
    """Returns how much a line is needed."""
    if record.levelno >= logging.WARNING:
        return LineKind.WARNING
    if record.name == ENDED_REQUESTS:
        return LineKind.ENDED_REQUEST
    return LineKind.OTHER


class LineBudget:
    """Decides which lines are written."""

    def __init__(self, now_s: float) -> None:
        self._lines = BURST_LINES
        self._refilled_at_s = now_s
        self._dropped = 0

    def try_spend(self, kind: LineKind, now_s: float) -> bool:
        """Takes one line out of the budget; returns whether it may be written."""
        earned = (now_s - self._refilled_at_s) * LINES_PER_S
        self._lines = min(BURST_LINES, self._lines + max(0.0, earned))
        self._refilled_at_s = now_s
        if self._lines < 1.0 + kind.reserved_lines:
            self._dropped += 1
            return False
        self._lines -= 1.0
        return True

    def pop_dropped_count(self) -> int:
        """Returns how many lines were dropped since the last call."""
        dropped, self._dropped = self._dropped, 0
        return dropped


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without waiting."""

    def __init__(self, descriptor: int, host: DaemonId) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._host = host
        self._budget = LineBudget(clock.monotonic_s())
        self._unwritten = b""
        output.make_non_blocking(descriptor)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line, or counts it as dropped."""
        if not self._budget.try_spend(kind_of(record), clock.monotonic_s()):
            DROPPED.inc()
            return
        record.host = self._host
        dropped = self._budget.pop_dropped_count()
        if dropped:
            record.dropped_before = dropped
        try:
            self._write(self.format(record).encode() + b"\n")
        except Exception:
            self.handleError(record)

    def _write(self, line: bytes) -> None:
        if len(self._unwritten) + len(line) > UNWRITTEN_MAX_BYTES:
            DROPPED.inc()
            return
        data = self._unwritten + line
        written = output.write_now(self._descriptor, data)
        self._unwritten = data[written:]


def set_up_gateway_logs(host: DaemonId) -> None:
    """Sends the log of this process to standard output."""
    handler = BoundedHandler(sys.stdout.fileno(), host)
    handler.setFormatter(
        JsonFormatter(FIELDS, rename_fields={"asctime": "time", "levelname": "level"})
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
