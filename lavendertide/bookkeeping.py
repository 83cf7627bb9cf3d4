"""Keeps a failure in the records of a request from ending the request.

Statistics, limits and evidence are recorded in the task of the request, or of its
attempt at a target. If one of these records fails, the caller still gets the response.
"""

import logging
from types import TracebackType

from prometheus_client import Counter

from lavendertide.ids import AttemptId, CallerRequestId, QueryId, TicketId

FAILURES = Counter(
    "lavendertide_bookkeeping_failures",
    "Records of requests that an unexpected exception has prevented, by their kind.",
    ("kind",),
)

RecordedId = CallerRequestId | QueryId | TicketId | AttemptId

_log = logging.getLogger(__name__)


class Isolated:
    """A block whose exceptions are logged and counted, and end with it.

    Args:
        kind: What the block records.
        request: The request, or the attempt of one, that it belongs to.
    """

    __slots__ = ("_kind", "_request")

    def __init__(self, kind: str, request: RecordedId) -> None:
        self._kind = kind
        self._request = request

    def __enter__(self) -> None:
        return None

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool:
        if not isinstance(error, Exception):
            return False
        FAILURES.labels(self._kind).inc()
        _log.error(
            "bookkeeping failed",
            exc_info=error,
            extra={"request": self._request, "kind": self._kind},
        )
        return True
