"""Callers' HTTP requests: one task for each connection, served by WSGI."""

from collections.abc import Callable, Iterable
from typing import Any, Final

from returns.result import Failure, Result, Success

from lavendertide.daemon.in_flight import InFlight
from lavendertide.daemon.query_service import QueryService
from lavendertide.daemon.ticket_service import TicketService
from lavendertide.encodings import caller_json
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.fleet.addresses import AddressBook
from lavendertide.fleet.readiness import Readiness, ReadinessState
from lavendertide.ids import CallerKey, FailureDomain, Region
from lavendertide.messages import MemberRecord
from lavendertide.runtime import clock

Environment = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]

KEY_HEADER: Final = "HTTP_X_CALLER_KEY"
DOMAIN_HEADER: Final = "HTTP_X_FAILURE_DOMAIN"
REGION_HEADER: Final = "HTTP_X_REGION"
REASONS: Final = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    410: "Gone",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    503: "Service Unavailable",
}


class CallerFront:
    """The WSGI application that callers reach."""

    def __init__(
        self,
        body_max_bytes: int,
        own: MemberRecord,
        address_book: AddressBook,
        readiness: Readiness,
        queries: QueryService,
        tickets: TicketService,
        in_flight: InFlight,
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
        """Answers one request."""
        self._in_flight.enter()
        hook: tuple[Callable[..., None], tuple[()], dict[str, Any]]
        hook = (self._leave, (), {})
        environment["eventlet.posthooks"].append(hook)
        now_s = clock.monotonic_s()
        match self._readiness.check(now_s).bind(lambda _: self._answer(environment)):
            case Success(body):
                status = 200
            case Failure(refusal):
                status, body = caller_json.encode_refusal(refusal)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        if self._readiness.state is ReadinessState.LEAVING:
            headers.append(("Connection", "close"))
        start_response(f"{status} {REASONS[status]}", headers)
        return [body]

    def _leave(self, _: Environment) -> None:
        self._in_flight.leave()

    def _answer(self, environment: Environment) -> Result[bytes, Refusal]:
        key = CallerKey(environment.get(KEY_HEADER, ""))
        match environment["REQUEST_METHOD"], environment["PATH_INFO"]:
            case "GET", "/v1/addresses":
                return Success(self._addresses(key, environment))
            case "POST", "/v1/search":
                return self._read(environment).bind(
                    lambda data: self._search(key, data)
                )
            case "POST", "/v1/tickets":
                return self._tickets.mint(key).map(caller_json.encode_ticket)
            case "POST", "/v1/execute":
                return self._read(environment).bind(
                    lambda data: self._execute(key, data)
                )
            case _:
                return Failure(caller_json.malformed("There is no such path."))

    def _search(self, key: CallerKey, data: bytes) -> Result[bytes, Refusal]:
        question = caller_json.decode_question(key, data)
        return question.bind(self._queries.search).map(caller_json.encode_answer)

    def _execute(self, key: CallerKey, data: bytes) -> Result[bytes, Refusal]:
        order = caller_json.decode_order(key, data)
        return order.bind(self._tickets.execute).map(caller_json.encode_execution)

    def _addresses(self, key: CallerKey, environment: Environment) -> bytes:
        answer = self._address_book.answer(
            key,
            Region(environment.get(REGION_HEADER, self._own.region)),
            FailureDomain(environment.get(DOMAIN_HEADER, self._own.failure_domain)),
            clock.monotonic_s(),
        )
        return caller_json.encode_addresses(answer)

    def _read(self, environment: Environment) -> Result[bytes, Refusal]:
        try:
            length = int(environment.get("CONTENT_LENGTH") or 0)
        except ValueError:
            return Failure(caller_json.malformed("Content-Length is not a number."))
        if length > self._body_max_bytes:
            return Failure(_too_large(self._body_max_bytes))
        data: bytes = environment["wsgi.input"].read(length)
        return Success(data)


def _too_large(body_max_bytes: int) -> Refusal:
    return Refusal(
        RefusalKind.BODY_TOO_LARGE,
        f"A request body holds at most {body_max_bytes} bytes.",
        "Send a smaller body.",
        Fault.CALLER,
    )
