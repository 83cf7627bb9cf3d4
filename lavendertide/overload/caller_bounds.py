"""What a process holds for its callers, with metrics and log lines for its bounds.

It handles the callers that `response_memory`, `write_limit` and `caller_connections`
describe.
"""

import logging
from enum import Enum
from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge

from lavendertide.overload.caller_connections import CallerConnections
from lavendertide.overload.response_memory import ResponseMemory
from lavendertide.overload.short_chunks import ShortChunkBodies

# Time without an eviction after which callers count as usual again.
CALM_S: Final = 10.0

_log = logging.getLogger(__name__)


class Cause(Enum):
    """Why something that was held for a caller was given up."""

    # A caller was closed, as the memory for responses was needed.
    MEMORY = "memory"
    # A caller was closed, as it accepted too little of its response in time.
    TOO_SLOW = "too_slow"
    # A caller was closed, as no more connections may be open.
    CONNECTIONS = "connections"


class CallerBounds:
    """The bounds of one front end.

    Args:
        memory: The account of responses.
        connections_max: Callers' connections that may be open; unbounded if none.
        registry: Gets the metrics; without it there are none.
    """

    def __init__(
        self,
        memory: ResponseMemory | None = None,
        connections_max: int | None = None,
        registry: CollectorRegistry | None = None,
    ) -> None:
        self._memory = memory or ResponseMemory()
        self._connections = CallerConnections(connections_max)
        self._short_chunks = ShortChunkBodies()
        self._counts = dict.fromkeys(Cause, 0)
        self._logged_counts = dict(self._counts)
        self._last_at_s: float | None = None
        self._evictions = Counter(
            "lavendertide_caller_evictions",
            "Callers that were closed because of what was held for them, by cause.",
            ("cause",),
            registry=registry,
        )
        self._ended = Counter(
            "lavendertide_caller_responses_ended",
            "Responses that ended while they were read, for lack of memory.",
            registry=registry,
        )
        self._counted_ended = 0
        for cause in Cause:
            self._evictions.labels(cause.value)
        if registry is not None:
            self._register(registry)

    @property
    def short_chunks(self) -> ShortChunkBodies:
        """The bodies in very many short chunks that are being read."""
        return self._short_chunks

    @property
    def memory(self) -> ResponseMemory | None:
        """The account of responses; none where only those that are read count."""
        return self._memory if self._memory.is_bounding_writes else None

    @property
    def connections(self) -> CallerConnections:
        """The open connections of callers."""
        return self._connections

    def record(self, cause: Cause) -> None:
        """Counts a caller that was closed."""
        self._counts[cause] += 1
        self._evictions.labels(cause.value).inc()

    def log_changes(self, now_s: float) -> None:
        """Logs that callers begin to be closed, and that none has been for a while.

        Called about once a second; it also counts the responses that have ended.
        """
        self._ended.inc(self._memory.refused - self._counted_ended)
        self._counted_ended = self._memory.refused
        since = {
            cause.value: count - self._logged_counts[cause]
            for cause, count in self._counts.items()
            if count > self._logged_counts[cause]
        }
        if since:
            if self._last_at_s is None:
                _log.warning("slow callers closed", extra={"causes": since})
            self._last_at_s = now_s
            self._logged_counts = dict(self._counts)
        elif self._last_at_s is not None and now_s - self._last_at_s >= CALM_S:
            self._last_at_s = None
            _log.info("slow callers no longer closed")

    def _register(self, registry: CollectorRegistry) -> None:
        for name, text, read in (
            (
                "lavendertide_caller_held_bytes",
                "Bytes of requests and responses that are held for callers.",
                lambda: self._memory.held,
            ),
            (
                "lavendertide_caller_held_max_bytes",
                "Bound on these bytes.",
                lambda: self._memory.bytes_max,
            ),
            (
                "lavendertide_caller_connections",
                "Open connections of callers.",
                lambda: len(self._connections),
            ),
            (
                "lavendertide_caller_responses_unread",
                "Responses that callers have yet to accept.",
                lambda: self._memory.writing,
            ),
        ):
            Gauge(name, text, registry=registry).set_function(read)
