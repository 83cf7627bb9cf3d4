"""Callers' HTTP requests: one task for each connection, served by WSGI."""

from collections.abc import Callable, Iterable
from typing import Any, Final

from returns.result import Failure, Result, Success

from lavendertide.daemon.recording import Searches, Tickets
from lavendertide.encodings import caller_json
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.fleet.addresses import addresses_for
from lavendertide.fleet.roster import Roster
from lavendertide.ids import CallerKey, FailureDomain, Region

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
        roster: Roster,
        queries: Searches,
        tickets: Tickets,
    ) -> None:
        self._body_max_bytes = body_max_bytes
        self._roster = roster
        self._queries = queries
        self._tickets = tickets

    def __call__(
        self, environment: Environment, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answers one request."""
        match self._answer(environment):
            case Success(body):
                status = 200
            case Failure(refusal):
                status, body = caller_json.encode_refusal(refusal)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response(f"{status} {REASONS[status]}", headers)
        return [body]

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
        own = self._roster.own
        answer = addresses_for(
            self._roster,
            key,
            Region(environment.get(REGION_HEADER, own.region)),
            FailureDomain(environment.get(DOMAIN_HEADER, own.failure_domain)),
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
