"""Accounts for the requests that were read whole: each of them has exactly one end.

Load pattern: requests that are waiting, sent or being answered while the configuration,
the settings or the targets change. A request whose end nobody has counted is one that
its caller has got no response to, and the ledger finds it without its caller's help.
"""

import logging
from collections import Counter
from enum import Enum
from types import TracebackType
from typing import Final

from prometheus_client import CollectorRegistry, Counter as CounterMetric, Gauge

from lavendertide.bookkeeping import Isolated
from lavendertide.encodings.response_writing import WriteFailure
from lavendertide.ids import CallerRequestId
from lavendertide.metrics.labels import Children

# Beyond every deadline and the time limit of the longest response.
OVERDUE_S: Final = 60.0
UNKNOWN_REQUEST: Final = CallerRequestId("")

_log = logging.getLogger(__name__)


class RequestEnd(Enum):
    """How a request that was read whole has ended for its caller."""

    # The system has taken over the whole response.
    ANSWERED = "answered"
    # The caller had closed its connection before there was a response.
    CALLER_LEFT = "caller_left"
    # The caller closed its connection while the response was written.
    CLOSED = "closed"
    # The caller accepted too little of the response in time.
    TOO_SLOW = "too_slow"
    # The memory of the response was needed for other callers.
    EVICTED = "evicted"
    # An unexpected exception has ended the connection.
    FAILED = "failed"


class ConnectionEnd(Enum):
    """Why a caller's connection was closed."""

    # The bound on connections refused it.
    REFUSED = "refused"
    # It was closed between two requests, by the caller or since this host ends.
    CLOSED = "closed"
    # No request arrived within the time limit for idle connections.
    IDLE = "idle"
    # A request arrived in part, and the rest not within its time limit.
    INCOMPLETE = "incomplete"
    # The last response has announced the end, or the caller has.
    LAST = "last"
    # A request was read whole and has no complete response.
    UNANSWERED = "unanswered"
    # An unexpected exception.
    FAILED = "failed"


def end_of_write(failure: WriteFailure | None) -> RequestEnd:
    """Returns the end of a request whose response was written, or could not be."""
    match failure:
        case None:
            return RequestEnd.ANSWERED
        case WriteFailure.CLOSED:
            return RequestEnd.CLOSED
        case WriteFailure.TOO_SLOW:
            return RequestEnd.TOO_SLOW
        case WriteFailure.EVICTED:
            return RequestEnd.EVICTED


class RequestAccount:
    """The account of one request, from when it was read until its end.

    It is a context manager. A request that leaves the block without an end has failed.
    """

    def __init__(self, ledger: "RequestLedger", opened_at_s: float) -> None:
        self._ledger = ledger
        self._request = UNKNOWN_REQUEST
        self._opened_at_s = opened_at_s
        self._end: RequestEnd | None = None

    @property
    def request(self) -> CallerRequestId:
        """The id of the request; empty until it is known."""
        return self._request

    @property
    def end(self) -> RequestEnd | None:
        """How the request has ended; none while it is open."""
        return self._end

    def __enter__(self) -> "RequestAccount":
        with Isolated("account", self._request):
            self._ledger.add(self)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._end is None:
            self.record_end(RequestEnd.FAILED)

    def identify(self, request: CallerRequestId) -> None:
        """Sets the id of the request, for the log."""
        self._request = request

    def is_overdue(self, now_s: float) -> bool:
        """Returns whether the request has been open for longer than any may be."""
        return now_s - self._opened_at_s >= OVERDUE_S

    def record_end(self, end: RequestEnd) -> None:
        """Records how the request has ended; only the first end counts."""
        if self._end is not None:
            return
        self._end = end
        with Isolated("account", self._request):
            self._ledger.close(self, end)


class RequestLedger:
    """The requests of one front that were read whole, and their ends.

    Args:
        registry: Gets the metrics; without it there are none.
    """

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        self._read = 0
        self._ends: Counter[RequestEnd] = Counter()
        self._open: dict[RequestAccount, None] = {}
        self._reported: set[RequestAccount] = set()
        self._read_metric = CounterMetric(
            "lavendertide_caller_requests_read",
            "Requests of callers that were read whole.",
            registry=registry,
        )
        ends_metric = CounterMetric(
            "lavendertide_caller_requests_ended",
            "The same requests by how they have ended for their callers.",
            ("end",),
            registry=registry,
        )
        connections_metric = CounterMetric(
            "lavendertide_caller_connections_ended",
            "Callers' connections that were closed, by reason.",
            ("reason",),
            registry=registry,
        )
        unread_metric = CounterMetric(
            "lavendertide_caller_connections_unread",
            "Callers' connections that were closed with unread data, by reason.",
            ("reason",),
            registry=registry,
        )
        self._ends_metric = Children(ends_metric.labels)
        self._connections_metric = Children(connections_metric.labels)
        self._unread_metric = Children(unread_metric.labels)
        for end in RequestEnd:
            self._ends_metric.child_of(end.value)
        for reason in ConnectionEnd:
            self._connections_metric.child_of(reason.value)
            self._unread_metric.child_of(reason.value)
        if registry is not None:
            Gauge(
                "lavendertide_caller_requests_unaccounted",
                "Requests that were read and are neither open nor ended; always zero.",
                registry=registry,
            ).set_function(lambda: self.unaccounted)

    @property
    def read(self) -> int:
        """Number of requests that were read whole."""
        return self._read

    @property
    def open(self) -> int:
        """Number of them that have not ended yet."""
        return len(self._open)

    @property
    def ends(self) -> dict[RequestEnd, int]:
        """Number of them that have ended, by their end."""
        return dict(self._ends)

    @property
    def unaccounted(self) -> int:
        """Requests read that are neither open nor ended, or the other way round."""
        return self._read - self.open - self._ends.total()

    @property
    def summary(self) -> dict[str, object]:
        """The counts as fields of a log line."""
        ends = {end.value: count for end, count in self._ends.items()}
        return {"read": self._read, "open": self.open, "ends": ends}

    def record_read(self) -> None:
        """Counts a request that was read whole."""
        self._read += 1
        self._read_metric.inc()

    def account(self, now_s: float) -> RequestAccount:
        """Returns the account of a request that was just read whole."""
        return RequestAccount(self, now_s)

    def add(self, account: RequestAccount) -> None:
        """Adds an open account; called by the account."""
        self._open[account] = None

    def close(self, account: RequestAccount, end: RequestEnd) -> None:
        """Counts the end of a request; called by its account."""
        self._open.pop(account, None)
        self._reported.discard(account)
        self._ends[end] += 1
        self._ends_metric.child_of(end.value).inc()
        # The line on the end of a request says it if its caller has left.
        if end not in (RequestEnd.ANSWERED, RequestEnd.CALLER_LEFT):
            _log.info(
                "request without a complete response",
                extra={"request": account.request, "end": end.value},
            )

    def record_connection(self, reason: ConnectionEnd, has_unread: bool) -> None:
        """Counts a caller's connection that is being closed.

        Args:
            reason: Why it is closed.
            has_unread: Whether data of the caller waits to be read.
        """
        self._connections_metric.child_of(reason.value).inc()
        if has_unread:
            self._unread_metric.child_of(reason.value).inc()
            _log.info(
                "connection closed with unread data", extra={"reason": reason.value}
            )

    def report_overdue(self, now_s: float) -> list[CallerRequestId]:
        """Logs and returns the requests that have become overdue since the last call.

        Called about once a second. The oldest requests come first.
        """
        found: list[CallerRequestId] = []
        for account in self._open:
            if not account.is_overdue(now_s):
                break
            if account not in self._reported:
                self._reported.add(account)
                found.append(account.request)
                _log.error("request has no end", extra={"request": account.request})
        return found
