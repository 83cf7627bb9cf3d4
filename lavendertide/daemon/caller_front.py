"""The callers' HTTP API, a WSGI application with one task for each connection."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final

from returns.result import Failure, Result, Success

from lavendertide.daemon.failed_requests import record_failure
from lavendertide.daemon.in_flight import InFlightCounter
from lavendertide.daemon.recording import Searches, Tickets
from lavendertide.encodings import caller_json
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.executions.execution_request import RefusedExecution
from lavendertide.fleet.addresses import AddressBook
from lavendertide.fleet.readiness import Readiness, ReadinessState
from lavendertide.ids import CallerKey, FailureDomain, Region, TicketId
from lavendertide.messages import MemberRecord, Outcome
from lavendertide.runtime import clock

Environment = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]

KEY_HEADER: Final = "HTTP_X_CALLER_KEY"
DOMAIN_HEADER: Final = "HTTP_X_FAILURE_DOMAIN"
REGION_HEADER: Final = "HTTP_X_REGION"
TICKETS_PATH: Final = "/v1/tickets/"
EXECUTE_PATH: Final = "/v1/execute"
REASONS: Final = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@dataclass(frozen=True, slots=True)
class _Response:
    """What is sent to a caller.

    Attributes:
        retry_after_s: Seconds after which a retry may succeed, if it is known.
    """

    status: int
    body: bytes
    retry_after_s: int | None = None

    @property
    def headers(self) -> list[tuple[str, str]]:
        """The headers of the response."""
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(self.body))),
        ]
        if self.retry_after_s is not None:
            headers.append(("Retry-After", str(self.retry_after_s)))
        return headers


class CallerFront:
    """The WSGI application of the callers' API."""

    def __init__(
        self,
        body_max_bytes: int,
        own: MemberRecord,
        address_book: AddressBook,
        readiness: Readiness,
        queries: Searches,
        tickets: Tickets,
        in_flight: InFlightCounter,
    ) -> None:
        self._body_max_bytes = body_max_bytes
        self._own = own
        self._address_book = address_book
        self._readiness = readiness
        self._queries = queries
        self._tickets = tickets
        self._in_flight = in_flight

    def __call__(
        self, environment: Environment, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handles one request; a draining daemon closes the connection after it.

        After an unexpected exception the response says that the request may have run.
        """
        self._in_flight.record_accepted()
        hook: tuple[Callable[..., None], tuple[()], dict[str, Any]]
        hook = (self._record_finished, (), {})
        environment["eventlet.posthooks"].append(hook)
        try:
            response = self._respond(environment)
        except Exception:
            refusal = record_failure(environment["PATH_INFO"])
            response = _Response(
                caller_json.status_of(refusal.kind), caller_json.encode_failure(refusal)
            )
        headers = response.headers
        if self._readiness.state is ReadinessState.LEAVING:
            headers.append(("Connection", "close"))
        start_response(f"{response.status} {REASONS[response.status]}", headers)
        return [response.body]

    def _respond(self, environment: Environment) -> _Response:
        ready = self._readiness.check(clock.monotonic_s())
        result = ready.alt(_refusal_converter(environment)).bind(
            lambda _: self._handle(environment)
        )
        match result:
            case Failure(RefusedExecution(refusal, outcome)):
                return _Response(
                    caller_json.status_of(refusal.kind),
                    caller_json.encode_refusal(refusal, outcome),
                    caller_json.retry_after_s(refusal.kind),
                )
            case _:
                return _Response(200, result.unwrap())

    def _record_finished(self, _: Environment) -> None:
        self._in_flight.record_finished()

    def _handle(self, environment: Environment) -> Result[bytes, RefusedExecution]:
        key = CallerKey(environment.get(KEY_HEADER, ""))
        match environment["REQUEST_METHOD"], environment["PATH_INFO"]:
            case "GET", "/v1/addresses":
                return Success(self._addresses(key, environment))
            case "POST", "/v1/search":
                data = self._read_body(environment)
                return data.bind(lambda sent: self._search(key, sent)).alt(
                    _refuse_as_not_run
                )
            case "POST", "/v1/tickets":
                ticket_id = self._tickets.issue_ticket(key)
                return ticket_id.map(caller_json.encode_ticket).alt(_refuse_as_not_run)
            case "POST", path if path == EXECUTE_PATH:
                sent = self._read_body(environment)
                return sent.alt(_refuse_as_unknown).bind(
                    lambda data: self._execute(key, data)
                )
            case "GET", path if path.startswith(TICKETS_PATH):
                return self._request_status(key, path.removeprefix(TICKETS_PATH))
            case _:
                no_path = caller_json.malformed("There is no such path.")
                return Failure(_refuse_as_not_run(no_path))

    def _search(self, key: CallerKey, data: bytes) -> Result[bytes, Refusal]:
        search_request = caller_json.decode_search_request(key, data)
        return search_request.bind(self._queries.search).map(
            caller_json.encode_search_response
        )

    def _execute(self, key: CallerKey, data: bytes) -> Result[bytes, RefusedExecution]:
        execution_request = caller_json.decode_execution_request(key, data).alt(
            _refuse_as_unknown
        )
        return execution_request.bind(self._tickets.execute).map(
            caller_json.encode_execution_result
        )

    def _request_status(
        self, key: CallerKey, ticket_id: str
    ) -> Result[bytes, RefusedExecution]:
        outcome = self._tickets.request_status(key, TicketId(ticket_id))
        return outcome.map(caller_json.encode_execution_result).alt(_refuse_as_unknown)

    def _addresses(self, key: CallerKey, environment: Environment) -> bytes:
        addresses = self._address_book.addresses_for(
            key,
            Region(environment.get(REGION_HEADER, self._own.region)),
            FailureDomain(environment.get(DOMAIN_HEADER, self._own.failure_domain)),
            clock.monotonic_s(),
        )
        return caller_json.encode_addresses(addresses)

    def _read_body(self, environment: Environment) -> Result[bytes, Refusal]:
        try:
            length = int(environment.get("CONTENT_LENGTH") or 0)
        except ValueError:
            return Failure(caller_json.malformed("Content-Length is not a number."))
        if length > self._body_max_bytes:
            return Failure(_body_too_large(self._body_max_bytes))
        try:
            data: bytes = environment["wsgi.input"].read(length)
        except OSError:
            return Failure(caller_json.malformed("The body did not arrive in time."))
        return Success(data)


def _refuse_as_not_run(refusal: Refusal) -> RefusedExecution:
    return RefusedExecution(refusal, Outcome.NOT_RUN)


def _refusal_converter(
    environment: Environment,
) -> Callable[[Refusal], RefusedExecution]:
    """Returns the conversion for a refusal that precedes reading the body.

    Without the body the ticket is unknown, so an earlier try of a request to execute
    may have run.
    """
    return (
        _refuse_as_unknown
        if environment["PATH_INFO"] == EXECUTE_PATH
        else _refuse_as_not_run
    )


def _refuse_as_unknown(refusal: Refusal) -> RefusedExecution:
    """Refuses an execution whose request could not be read.

    An earlier try under the same ticket may have run, so the outcome is unknown.
    """
    return RefusedExecution(refusal, Outcome.UNKNOWN)


def _body_too_large(body_max_bytes: int) -> Refusal:
    return Refusal(
        RefusalKind.BODY_TOO_LARGE,
        f"A request body holds at most {body_max_bytes} bytes.",
        "Send a smaller body.",
        Fault.CALLER,
    )
