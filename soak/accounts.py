"""The gateways' own accounts of requests: each one that was read whole has an end.

They show faults that no caller can tell from outside, such as a connection that was
closed although a request waited in it.
"""

import json
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Final

from prometheus_client.parser import text_string_to_metric_families

# The callers wait for each response for longer than any takes, so no request may end
# in another way.
PROPER_END: Final = "answered"
# Reasons for which a connection must not be closed while data waits in it.
UNREAD_REASONS: Final = frozenset({"idle", "incomplete", "failed"})
STOPPED: Final = "stopped"
PREFIX: Final = "lavendertide_"
# The metrics that are read, each with one label at most.
COUNTED: Final = (f"{PREFIX}caller_", f"{PREFIX}bookkeeping_")


@dataclass(frozen=True, slots=True)
class Account:
    """The counts of one gateway, from its start until they were read.

    Attributes:
        read: Requests that were read whole.
        ends: The same requests by their end.
        unaccounted: Requests that are neither open nor ended.
        unread: Connections that were closed with unread data, by reason.
        failures: Records that an exception has prevented, by kind.
    """

    read: int
    ends: Counter[str]
    unaccounted: int
    unread: Counter[str]
    failures: Counter[str]

    @property
    def is_settled(self) -> bool:
        """Whether each request has an end."""
        return self.read == self.ends.total()


def parse_metrics(text: str) -> Account:
    """Returns the account in the metrics that a gateway exports.

    Raises:
        KeyError: The gateway exports no account.
    """
    found: dict[str, Counter[str]] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if not sample.name.startswith(COUNTED):
                continue
            label = next(iter(sample.labels.values()), "")
            counts = found.setdefault(sample.name.removeprefix(PREFIX), Counter())
            counts[label] += int(sample.value)
    return Account(
        found["caller_requests_read_total"].total(),
        found["caller_requests_ended_total"],
        found["caller_requests_unaccounted"].total(),
        found["caller_connections_unread_total"],
        # Has no samples until a record has failed.
        found.get("bookkeeping_failures_total", Counter()),
    )


def check_account(node: str, account: Account) -> Iterator[str]:
    """Yields one line for each fault in the account of an idle gateway."""
    if not account.is_settled or account.unaccounted:
        yield (
            f"account: {node} has read {account.read}, ended {dict(account.ends)}, "
            f"unaccounted {account.unaccounted}"
        )
    for end, count in sorted(account.ends.items()):
        if count and end != PROPER_END:
            yield f"account: {node} ended {count} requests as {end}"
    for reason in sorted(UNREAD_REASONS):
        if account.unread[reason]:
            yield f"account: {node} closed {account.unread[reason]} unread as {reason}"
    for kind, count in sorted(account.failures.items()):
        if count:
            yield f"account: {node} failed {count} times to record {kind}"


def check_log(node: str, text: str) -> Iterator[str]:
    """Yields one line for each fault that the log of a gateway tells of its requests.

    It holds the accounts of all processes that were stopped, and the faults of those
    that were killed as well.
    """
    for line in _parse_lines(text.splitlines()):
        match line:
            case {"message": message, "read": int(read), "ends": dict(ends)} if (
                message == STOPPED
            ):
                account = Account(read, Counter(ends), 0, Counter(), Counter())
                yield from check_account(node, account)
            case {"message": "request without a complete response", "end": end}:
                yield f"account: {node} ended {line['request']} as {end}"
            case {"message": "connection closed with unread data", "reason": reason}:
                if reason in UNREAD_REASONS:
                    yield f"account: {node} closed a connection unread as {reason}"
            case {"message": "bookkeeping failed" | "request has no end" as message}:
                yield f"account: {node}: {message}, {line['request']}"


def count_stops(text: str) -> int:
    """Returns how often a gateway has logged its account at its end."""
    lines = _parse_lines(text.splitlines())
    return sum(line.get("message") == STOPPED and "read" in line for line in lines)


def _parse_lines(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yields the lines that are objects; the interpreter may write others."""
    for line in lines:
        try:
            document = json.loads(line)
        except ValueError:
            continue
        if isinstance(document, dict):
            yield document
