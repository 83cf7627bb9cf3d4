"""Rate-limited, non-blocking log of a gateway: one JSON object a line on stdout.

Each line costs processor time that requests need, and the reader of the output may
stop reading. Lines are therefore written without waiting and at a bounded rate. Dropped
lines are counted, and the count is logged. Part of the burst is reserved for warnings
and for the lines that report how requests ended.
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
# Sustained rate, which costs about a hundredth of a core, and size of a burst.
LINES_PER_S: Final = 60.0
BURST_LINES: Final = 240.0
# Lines of the burst that are reserved for warnings, one second of the rate, and as many
# for the ends of requests. A busy host finishes about that many requests a second.
WARNING_LINES: Final = 60.0
ENDED_LINES: Final = 60.0
# Name of the logger for the ends of requests.
ENDED_REQUESTS: Final = "lavendertide.requests"
# Size of the buffer for a slow reader; lines that do not fit are dropped.
UNWRITTEN_MAX_BYTES: Final = 65_536

DROPPED: Final = Counter(
    "lavendertide_log_lines_dropped", "Log lines over the rate or without a reader."
)


class LineKind(Enum):
    """Kind of a log line, which determines the part of the burst that it may use."""

    WARNING = "warning"
    ENDED_REQUEST = "ended_request"
    OTHER = "other"

    @property
    def reserved_lines(self) -> float:
        """Lines of the budget that are reserved for the more important kinds."""
        match self:
            case LineKind.WARNING:
                return 0.0
            case LineKind.ENDED_REQUEST:
                return WARNING_LINES
            case LineKind.OTHER:
                return WARNING_LINES + ENDED_LINES


def kind_of(record: logging.LogRecord) -> LineKind:
    """Classifies a line by its level and its logger."""
    if record.levelno >= logging.WARNING:
        return LineKind.WARNING
    if record.name == ENDED_REQUESTS:
        return LineKind.ENDED_REQUEST
    return LineKind.OTHER


class LineBudget:
    """A token bucket that decides which lines are written."""

    def __init__(self, now_s: float) -> None:
        self._lines = BURST_LINES
        self._refilled_at_s = now_s
        self._dropped = 0

    def try_spend(self, kind: LineKind, now_s: float) -> bool:
        """Spends one line of the budget; returns false if the line must be dropped."""
        earned = (now_s - self._refilled_at_s) * LINES_PER_S
        self._lines = min(BURST_LINES, self._lines + max(0.0, earned))
        self._refilled_at_s = now_s
        if self._lines < 1.0 + kind.reserved_lines:
            self._dropped += 1
            return False
        self._lines -= 1.0
        return True

    def pop_dropped_count(self) -> int:
        """Returns the number of lines dropped since the last call and resets it."""
        dropped, self._dropped = self._dropped, 0
        return dropped


class BoundedHandler(logging.Handler):
    """A log handler that writes to a descriptor without blocking."""

    def __init__(self, descriptor: int, host: DaemonId) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._host = host
        self._budget = LineBudget(clock.monotonic_s())
        self._unwritten = b""
        output.make_non_blocking(descriptor)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line, or drops and counts it if the rate is exceeded."""
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
        """Writes a line and buffers the rest; drops it if the buffer is full."""
        if len(self._unwritten) + len(line) > UNWRITTEN_MAX_BYTES:
            DROPPED.inc()
            return
        data = self._unwritten + line
        written = output.write_now(self._descriptor, data)
        self._unwritten = data[written:]


def set_up_gateway_logs(host: DaemonId) -> None:
    """Configures logging of this process to standard output."""
    handler = BoundedHandler(sys.stdout.fileno(), host)
    handler.setFormatter(
        JsonFormatter(FIELDS, rename_fields={"asctime": "time", "levelname": "level"})
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
