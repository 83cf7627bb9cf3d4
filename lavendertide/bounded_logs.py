"""The log of a gateway: one JSON object a line on standard output, bounded.

A line costs processor time that requests need, and its reader may stop reading. So
lines are written without waiting, at a bounded rate; what does not fit is counted and
the count is logged. Warnings have a reserve that ordinary lines cannot use up.
"""

import logging
import sys
from typing import Final

from prometheus_client import Counter
from pythonjsonlogger.json import JsonFormatter

from lavendertide.ids import DaemonId
from lavendertide.runtime import clock, output

FIELDS: Final = "%(asctime)s %(levelname)s %(name)s %(message)s"
# Lines a second that cost about a hundredth of a core, and what a burst may use.
LINES_PER_S: Final = 60.0
BURST_LINES: Final = 240.0
# Lines of the burst that only warnings may use.
RESERVED_LINES: Final = 60.0
# What is kept for a reader that has stopped reading; beyond it lines are dropped.
UNWRITTEN_MAX_BYTES: Final = 65_536

DROPPED: Final = Counter(
    "lavendertide_log_lines_dropped", "Log lines over the rate or without a reader."
)


class LineBudget:
    """Decides which lines are written."""

    def __init__(self, now_s: float) -> None:
        self._lines = BURST_LINES
        self._refilled_at_s = now_s
        self._dropped = 0

    def take(self, is_warning: bool, now_s: float) -> bool:
        """Takes one line out of the budget; returns whether it may be written."""
        earned = (now_s - self._refilled_at_s) * LINES_PER_S
        self._lines = min(BURST_LINES, self._lines + max(0.0, earned))
        self._refilled_at_s = now_s
        least = 1.0 if is_warning else 1.0 + RESERVED_LINES
        if self._lines < least:
            self._dropped += 1
            return False
        self._lines -= 1.0
        return True

    def take_dropped(self) -> int:
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
        is_warning = record.levelno >= logging.WARNING
        if not self._budget.take(is_warning, clock.monotonic_s()):
            DROPPED.inc()
            return
        record.host = self._host
        dropped = self._budget.take_dropped()
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
