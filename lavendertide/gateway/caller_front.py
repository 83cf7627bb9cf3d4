"""Serves callers' connections, with one task for each connection.

The task reads a request and waits for its response. Meanwhile a second task watches the
connection, so that work for a caller that disconnects ends at once.
"""

import logging
import socket
from dataclasses import dataclass, replace
from typing import Final, Protocol

from returns.result import Failure

from lavendertide.bookkeeping import Isolated
from lavendertide.daemon.in_flight import InFlightCounter
from lavendertide.encodings.http_messages import BadRequest, HttpRequest, HttpResponse
from lavendertide.encodings.http_server_connection import Arrival, ServerConnection
from lavendertide.fleet.readiness import Readiness, ReadinessState
from lavendertide.forwarding.forwarder import Forwarder
from lavendertide.forwarding.messages import (
    Abandoned,
    CallerRequest,
    Failed,
    Gathered,
    Passed,
    RefusalCause,
    Refused,
    Response,
    Unroutable,
)
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.forwarding.request_log import (
    log_failure,
    log_refusal,
    response_outcome,
)
from lavendertide.forwarding.sender import Event, HostEnds
from lavendertide.gateway.caller_watch import notify_when_left
from lavendertide.gateway.request_ledger import (
    UNKNOWN_REQUEST,
    ConnectionEnd,
    RequestAccount,
    RequestEnd,
    RequestLedger,
    end_of_write,
)
from lavendertide.overload.caller_bounds import CallerBounds, Cause
from lavendertide.overload.caller_connections import Admission
from lavendertide.overload.write_limit import BASE_S
from lavendertide.routes.active_routes import ActiveRoutes
from lavendertide.routes.route import CallerLimits, Route
from lavendertide.runtime import clock, tasks

# Limits in force until the first route table, which contains the limits, is known.
DEFAULT_LIMITS: Final = CallerLimits(16_384, 262_144, 3.0, 15.0)
# A host that is not ready usually is again as soon as its peers have replied.
NOT_READY_RETRY_S: Final = 0.2
NO_ROUTE_LABEL: Final = "none"

_log = logging.getLogger(__name__)


class CallerCodec(Protocol):
    """Decodes callers' requests and encodes responses.

    `lavendertide.platform` implements it.
    """

    def decode(self, request: HttpRequest, now_s: float) -> CallerRequest | BadRequest:
        """Returns the decoded request of a caller."""

    def encode(self, request: CallerRequest, response: Response) -> HttpResponse:
        """Returns the HTTP response for the outcome of a request."""

    def encode_bad_request(self, bad: BadRequest) -> HttpResponse:
        """Returns the response to a malformed request."""

    def encode_failure(self, may_have_run: bool) -> HttpResponse:
        """Returns the response to a request that an unexpected exception has ended."""


@dataclass(frozen=True, slots=True)
class _Exchange:
    """A request, its route if it has one, and its response."""

    request: CallerRequest
    route: Route | None
    response: Response


@dataclass(frozen=True, slots=True)
class _Answer:
    """The encoded response to a request.

    Attributes:
        is_last: Whether the connection can't be used after it.
    """

    response: HttpResponse
    is_last: bool = False


class CallerFront:
    """Reads requests on callers' connections, has them forwarded and responds."""

    def __init__(
        self,
        codec: CallerCodec,
        forwarder: Forwarder,
        active_routes: ActiveRoutes,
        readiness: Readiness,
        in_flight: InFlightCounter,
        metrics: ForwardingMetrics,
        bounds: CallerBounds | None = None,
        ledger: RequestLedger | None = None,
    ) -> None:
        self._codec = codec
        self._forwarder = forwarder
        self._active_routes = active_routes
        self._readiness = readiness
        self._in_flight = in_flight
        self._metrics = metrics
        self._bounds = bounds or CallerBounds()
        self._connections = self._bounds.connections
        self._ledger = ledger or RequestLedger()
        self._inboxes: set[tasks.Mailbox[Event]] = set()

    def serve(self, accepted: socket.socket) -> None:
        """Serves the requests of one connection until it closes."""
        connection = ServerConnection(accepted)
        reason = ConnectionEnd.FAILED
        try:
            reason = self._serve_requests(connection)
            if reason is ConnectionEnd.LAST:
                connection.finish()
        finally:
            has_unread = connection.has_unread
            self._connections.remove(connection)
            connection.close()
            with Isolated("connection", UNKNOWN_REQUEST):
                self._ledger.record_connection(reason, has_unread)

    def close_idle(self) -> None:
        """Closes the connections on which no request has begun to arrive.

        A request that has arrived in part, or was not read yet, is read and refused
        instead, since a closed connection doesn't say whether the request has run.
        """
        for connection in self._connections.idle:
            if connection.is_idle:
                connection.shut_down()

    def end_requests(self) -> None:
        """Has all requests in flight answered at once."""
        for inbox in list(self._inboxes):
            inbox.send(HostEnds())

    def _find_limits(self) -> CallerLimits:
        table = self._active_routes.table
        return table.limits if table is not None else DEFAULT_LIMITS

    def _admits(self, connection: ServerConnection) -> bool:
        admission = self._connections.add(connection)
        if admission is not Admission.ADDED:
            self._bounds.record(Cause.CONNECTIONS)
        return admission is not Admission.REFUSED

    def _serve_requests(self, connection: ServerConnection) -> ConnectionEnd:
        """Serves the requests of a connection; returns why it can serve no more."""
        if not self._admits(connection):
            return ConnectionEnd.REFUSED
        while (reason := self._serve_request(connection)) is None:
            pass
        return reason

    def _serve_request(self, connection: ServerConnection) -> ConnectionEnd | None:
        """Serves one request; returns why there can be no other, none if there can."""
        self._connections.mark_idle(connection)
        arrival = connection.wait_for_request(self._find_limits)
        self._connections.mark_busy(connection)
        match arrival:
            case Arrival.CLOSED:
                return ConnectionEnd.CLOSED
            case Arrival.TIMED_OUT:
                return ConnectionEnd.IDLE
        self._in_flight.record_accepted()
        try:
            received = connection.read_request(
                self._find_limits, self._bounds.memory, self._bounds.short_chunks
            )
            if received is None:
                return ConnectionEnd.INCOMPLETE
            if isinstance(received, BadRequest):
                self._respond_to_malformed(connection, received)
                return ConnectionEnd.LAST
            with Isolated("account", UNKNOWN_REQUEST):
                self._ledger.record_read()
            with self._ledger.account(clock.monotonic_s()) as account:
                answer = self._find_answer(connection, received, account)
                # A caller that reads slowly keeps the encoded response alone.
                del received
                return self._respond(connection, answer, account)
        finally:
            self._in_flight.record_finished()

    def _respond_to_malformed(
        self, connection: ServerConnection, bad: BadRequest
    ) -> None:
        _log.info("request malformed", extra={"status": bad.status})
        self._write(connection, self._codec.encode_bad_request(bad), True)

    def _respond(
        self,
        connection: ServerConnection,
        answer: _Answer | None,
        account: RequestAccount,
    ) -> ConnectionEnd | None:
        """Writes a response; returns why the connection can serve no other, if so."""
        if answer is None:
            account.record_end(RequestEnd.CALLER_LEFT)
            return ConnectionEnd.UNANSWERED
        is_last = answer.is_last or self._readiness.state is ReadinessState.LEAVING
        self._write(connection, answer.response, is_last)
        account.record_end(end_of_write(connection.write_failure))
        if connection.write_failure is not None:
            return ConnectionEnd.UNANSWERED
        is_reusable = connection.is_reusable and not is_last
        return None if is_reusable else ConnectionEnd.LAST

    def _find_answer(
        self,
        connection: ServerConnection,
        received: HttpRequest,
        account: RequestAccount,
    ) -> _Answer | None:
        """Returns the answer to a request; none if its caller has left.

        After an unexpected exception it is a refusal, if the request was not forwarded,
        or else a failure.
        """
        response: Response = Refused(RefusalCause.INTERNAL_ERROR, NOT_READY_RETRY_S)
        try:
            request = self._codec.decode(received, clock.monotonic_s())
            if isinstance(request, BadRequest):
                _log.info("request malformed", extra={"status": request.status})
                return _Answer(self._codec.encode_bad_request(request), True)
            account.identify(request.request)
            request = replace(request, round_trip_s=connection.round_trip_s)
            exchange = self._exchange(connection, request)
            response = exchange.response
            with Isolated("response", request.request):
                self._record_metrics(exchange)
            if isinstance(response, Abandoned):
                return None
            return _Answer(self._codec.encode(request, response))
        except Exception:
            log_failure(account.request, RefusalCause.INTERNAL_ERROR.value)
            return _Answer(self._codec.encode_failure(not _is_refusal(response)))

    def _write(
        self, connection: ServerConnection, response: HttpResponse, is_last: bool
    ) -> None:
        connection.write(response, is_last, BASE_S, self._bounds.memory)
        failure = connection.write_failure
        if failure is not None and failure.cause is not None:
            self._bounds.record(failure.cause)

    def _exchange(
        self, connection: ServerConnection, request: CallerRequest
    ) -> _Exchange:
        """Has a request forwarded, unless it has no route or this host isn't ready."""
        now_s = clock.monotonic_s()
        route = self._forwarder.find_route(request.host, request.path)
        if not isinstance(route, Route):
            self._log_refusal(request, route, now_s)
            return _Exchange(request, None, route)
        if isinstance(self._readiness.check(now_s), Failure):
            refused = Refused(RefusalCause.NOT_READY, NOT_READY_RETRY_S)
            self._log_refusal(request, refused, now_s)
            return _Exchange(request, route, refused)
        return _Exchange(request, route, self._forward(connection, request, route))

    def _forward(
        self, connection: ServerConnection, request: CallerRequest, route: Route
    ) -> Response:
        inbox: tasks.Mailbox[Event] = tasks.Mailbox()
        watcher = tasks.spawn(notify_when_left, connection, inbox)
        self._inboxes.add(inbox)
        # Without knowledge of what was sent, a refusal might be untrue.
        response: Response = Failed(RefusalCause.INTERNAL_ERROR, False)
        try:
            with Isolated("forwarding", request.request):
                response = self._forwarder.forward(request, route, inbox)
        finally:
            with Isolated("watcher", request.request):
                self._inboxes.discard(inbox)
                watcher.stop()
        return response

    def _record_metrics(self, exchange: _Exchange) -> None:
        name = exchange.route.name if exchange.route is not None else NO_ROUTE_LABEL
        latency_s = clock.monotonic_s() - exchange.request.arrived_at_s
        self._metrics.record_response(
            name, _outcome_label(exchange.response), latency_s
        )

    def _log_refusal(
        self, request: CallerRequest, response: Response, now_s: float
    ) -> None:
        state = self._readiness.state.value
        log_refusal(
            request, self._active_routes.age(now_s), _outcome_label(response), state
        )


def _is_refusal(response: Response) -> bool:
    """Returns whether a response says that no target has run the request."""
    return isinstance(response, Refused | Unroutable)


def _outcome_label(response: Response) -> str:
    match response:
        case Passed(reply):
            return "success" if reply.is_success else "target_failure"
        case Gathered(missing=missing):
            return "partial" if missing else "success"
        case _:
            return response_outcome(response)
