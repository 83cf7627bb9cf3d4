"""Sets up the log: one JSON object a line on standard error.

Lines tell of changes of state only; what happens often is counted in
`lavendertide.metrics`. A line about one request carries its id as `query`.
"""

import logging
import sys
from typing import Final

from pythonjsonlogger.json import JsonFormatter

from lavendertide.ids import DaemonId
from lavendertide.options import LogOptions

FIELDS: Final = "%(asctime)s %(levelname)s %(name)s %(message)s"
TEXT: Final = "%(asctime)s %(levelname)-7s %(daemon)s %(name)s: %(message)s"


class _DaemonName(logging.Filter):
    """Adds the daemon's name to each line."""

    def __init__(self, daemon: DaemonId) -> None:
        super().__init__()
        self._daemon = daemon

    def filter(self, record: logging.LogRecord) -> bool:
        """Adds the name; never drops a line."""
        record.daemon = self._daemon
        return True


def set_up_logs(options: LogOptions, daemon: DaemonId) -> None:
    """Sends the log of this process to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(_DaemonName(daemon))
    handler.setFormatter(_formatter(options))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(options.level.upper())


def _formatter(options: LogOptions) -> logging.Formatter:
    match options.form:
        case "json":
            return JsonFormatter(
                FIELDS, rename_fields={"asctime": "time", "levelname": "level"}
            )
        case "text":
            return logging.Formatter(TEXT)
