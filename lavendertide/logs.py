"""Configuration of a daemon's log on standard error, as JSON lines or plain text.

Only changes of state are logged; frequent events are counted in `lavendertide.metrics`.
A line about one request has its id in the field `query`.
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
    """Adds the daemon's name to each record."""

    def __init__(self, daemon: DaemonId) -> None:
        super().__init__()
        self._daemon = daemon

    def filter(self, record: logging.LogRecord) -> bool:
        """Sets the record's `daemon` and returns true, so that no record is dropped."""
        record.daemon = self._daemon
        return True


def set_up_logs(options: LogOptions, daemon: DaemonId) -> None:
    """Configures logging of this process to standard error."""
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
