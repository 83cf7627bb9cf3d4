"""Extracts the history of one request from the logs of several hosts.

The history consists of the log lines with the request's id and of related lines of the
same hosts: events shortly before about the request's targets, services and route, about
the platform and about all routes. The reasons for a decision are seldom in the lines of
the request alone.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from typing import Any, Final

# Related lines older than this before the request's first line are left out.
LOOKBACK_S: Final = 30.0
TIME_FORMAT: Final = "%Y-%m-%d %H:%M:%S,%f"
# Messages about the whole host, which are related to every request that it handled.
HOST_MESSAGES: Final = frozenset(
    {
        "started",
        "targets registered",
        "targets learned from a peer",
        "serving",
        "stopped",
        "settings reloaded",
        "platform lost",
        "platform regained",
        "platform history lost; reading everything",
        "source of changes lost; reading the platform directly",
        "source of changes regained",
        "routes adopted",
        "woke late: the view of the fleet is refreshed first",
    }
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a gateway's log.

    Attributes:
        at_s: Time of the line in seconds since the epoch.
        host: Name of the host that wrote it.
        message: The message without its fields.
        details: All other fields, without the level and the logger's name.
    """

    at_s: float
    host: str
    message: str
    details: dict[str, Any]


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Returns the lines that a gateway wrote and skips all others.

    A prefix before the JSON object, such as that of a log collector, is ignored.
    """
    parsed = (_parse_line(text) for text in texts)
    return [line for line in parsed if line is not None]


def build_timeline(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Returns the history of a request in the order of time.

    It is empty if no line has the request's id.
    """
    lines = sorted(lines, key=lambda line: line.at_s)
    request_lines = [line for line in lines if line.details.get("request") == request]
    if not request_lines:
        return []
    hosts = {line.host for line in request_lines}
    request_names = {name for line in request_lines for name in _related_names(line)}
    first_s, last_s = request_lines[0].at_s, request_lines[-1].at_s
    related_lines = [
        line
        for line in lines
        if line.host in hosts
        and "request" not in line.details
        and first_s - LOOKBACK_S <= line.at_s <= last_s
        and (line.message in HOST_MESSAGES or request_names & set(_related_names(line)))
    ]
    return sorted([*request_lines, *related_lines], key=lambda line: line.at_s)


def format_line(line: LogLine, start_s: float) -> str:
    """Formats a line for the terminal, with its time relative to the start.

    Args:
        line: The line to format.
        start_s: Time of the request's first line in seconds since the epoch.
    """
    details = " ".join(f"{name}={value}" for name, value in line.details.items())
    return f"{line.at_s - start_s:+9.3f}s {line.host}: {line.message} {details}"


def _related_names(line: LogLine) -> list[str]:
    names = [line.details.get(field) for field in ("target", "service", "route")]
    return [name for name in names if isinstance(name, str)]


def _parse_line(text: str) -> LogLine | None:
    start = text.find("{")
    try:
        fields = json.loads(text[start:]) if start >= 0 else None
        if not isinstance(fields, dict):
            return None
        at_s = datetime.strptime(fields.pop("time"), TIME_FORMAT).timestamp()
        host, message = fields.pop("host"), fields.pop("message")
    except (ValueError, KeyError, TypeError):
        return None
    for name in ("level", "name"):
        fields.pop(name, None)
    return LogLine(at_s, host, message, fields)
