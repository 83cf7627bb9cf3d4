"""Callers' connections: one task each, which reads a request and waits for its answer.

While the answer is awaited a second task watches the connection, so that work for a
caller that has left ends at once.
"""

import logging
import socket
from dataclasses import dataclass
from typing import Final, Protocol

from returns.result import Failure

from lavendertide.daemon.in_flight import InFlight
from lavendertide.encodings.http_messages import BadRequest, HttpRequest, HttpResponse
from lavendertide.encodings.http_server_connection import ServerConnection
from lavendertide.fleet.readiness import Readiness, ReadinessState
from lavendertide.forwarding.forwarder import Forwarder
from lavendertide.forwarding.messages import (
    Abandoned,
    CallerRequest,
    Gathered,
    Passed,
    RefusalCause,
    Refused,
    Response,
)
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.forwarding.request_log import log_refusal, response_outcome
from lavendertide.forwarding.sender import CallerLeft, Event
from lavendertide.routes.active_routes import ActiveRoutes
from lavendertide.routes.route import CallerLimits, Route
from lavendertide.runtime import clock, tasks

# Limits before the first routes, and with them the published ones, are known.
FIRST_LIMITS: Final = CallerLimits(16_384, 262_144, 3.0, 15.0)
# How long a caller may take to accept an answer.
WRITE_TIMEOUT_S: Final = 10.0
# A host that is not ready is so for about as long as its peers take to answer.
NOT_READY_RETRY_S: Final = 0.2
NO_ROUTE_LABEL: Final = "none"

_log = logging.getLogger(__name__)


class CallerCodec(Protocol):
    """Translates callers' messages, as `lavendertide.platform` implements it."""

    def decode(self, request: HttpRequest, now_s: float) -> CallerRequest | BadRequest:
        """Returns what a caller asks."""

    def encode(self, request: CallerRequest, answer: Response) -> HttpResponse:
        """Returns the response that says an answer."""

    def encode_bad_request(self, bad: BadRequest) -> HttpResponse:
        """Returns the response to what is no proper request."""


@dataclass(frozen=True, slots=True)
class _Asked:
    request: CallerRequest
    route: Route | None
    answer: Response


class CallerFront:
    """Serves the connections of callers."""

    def __init__(
        self,
        codec: CallerCodec,
        forwarder: Forwarder,
        book: ActiveRoutes,
        readiness: Readiness,
        in_flight: InFlight,
        metrics: ForwardingMetrics,
    ) -> None:
        self._codec = codec
        self._forwarder = forwarder
        self._book = book
        self._readiness = readiness
        self._in_flight = in_flight
        self._metrics = metrics
        self._idle: set[ServerConnection] = set()

    def serve(self, accepted: socket.socket) -> None:
        """Serves one connection until it ends."""
        connection = ServerConnection(accepted, self._limits.header_max_bytes)
        try:
            while self._serve_one(connection):
                pass
        finally:
            self._idle.discard(connection)
            connection.close()

    def close_idle(self) -> None:
        """Closes the connections on which no request is being read or answered."""
        for connection in list(self._idle):
            connection.close()

    @property
    def _limits(self) -> CallerLimits:
        table = self._book.table
        return table.limits if table is not None else FIRST_LIMITS

    def _serve_one(self, connection: ServerConnection) -> bool:
        """Serves one request; returns whether another may follow."""
        limits = self._limits
        self._idle.add(connection)
        read = connection.read_request(
            limits.idle_timeout_s, limits.header_timeout_s, limits.body_max_bytes
        )
        self._idle.discard(connection)
        if read is None:
            return False
        self._in_flight.enter()
        try:
            return self._answer(connection, read)
        finally:
            self._in_flight.leave()

    def _answer(
        self, connection: ServerConnection, read: HttpRequest | BadRequest
    ) -> bool:
        request: CallerRequest | BadRequest
        match read:
            case HttpRequest():
                request = self._codec.decode(read, clock.monotonic_s())
            case BadRequest():
                request = read
        if isinstance(request, CallerRequest):
            return self._answer_request(connection, request)
        _log.info("request malformed", extra={"status": request.status})
        connection.write(self._codec.encode_bad_request(request), True, WRITE_TIMEOUT_S)
        return False

    def _answer_request(
        self, connection: ServerConnection, request: CallerRequest
    ) -> bool:
        asked = self._ask(connection, request)
        self._count(asked)
        if isinstance(asked.answer, Abandoned):
            return False
        is_last = self._readiness.state is ReadinessState.LEAVING
        response = self._codec.encode(request, asked.answer)
        is_written = connection.write(response, is_last, WRITE_TIMEOUT_S)
        return is_written and not is_last and connection.is_reusable

    def _ask(self, connection: ServerConnection, request: CallerRequest) -> _Asked:
        now_s = clock.monotonic_s()
        route = self._forwarder.find_route(request.host, request.path)
        if not isinstance(route, Route):
            self._log_refusal(request, route, now_s)
            return _Asked(request, None, route)
        if isinstance(self._readiness.check(now_s), Failure):
            refused = Refused(RefusalCause.NOT_READY, NOT_READY_RETRY_S)
            self._log_refusal(request, refused, now_s)
            return _Asked(request, route, refused)
        inbox: tasks.Mailbox[Event] = tasks.Mailbox()
        watcher = tasks.spawn(_watch, connection, inbox)
        try:
            answer = self._forwarder.forward(request, route, inbox)
        finally:
            watcher.stop()
        if isinstance(answer, Refused):
            self._log_refusal(request, answer, now_s)
        return _Asked(request, route, answer)

    def _count(self, asked: _Asked) -> None:
        name = asked.route.name if asked.route is not None else NO_ROUTE_LABEL
        latency_s = clock.monotonic_s() - asked.request.arrived_at_s
        self._metrics.record_response(name, _outcome(asked.answer), latency_s)

    def _log_refusal(
        self, request: CallerRequest, answer: Response, now_s: float
    ) -> None:
        state = self._readiness.state.value
        log_refusal(request, self._book.age(now_s), _outcome(answer), state)


def _watch(connection: ServerConnection, inbox: tasks.Mailbox[Event]) -> None:
    if connection.wait_for_close():
        inbox.send(CallerLeft())


def _outcome(answer: Response) -> str:
    match answer:
        case Passed(reply):
            return "success" if reply.is_success else "target_failure"
        case Gathered(missing=missing):
            return "partial" if missing else "success"
        case _:
            return response_outcome(answer)
