"""The administration API over HTTP; docs/PROTOCOLS.md lists its paths."""

from collections.abc import Callable, Iterable
from typing import Any, Final
from urllib.parse import parse_qs, unquote

from prometheus_client import CONTENT_TYPE_LATEST
from returns.result import Failure, Result, Success

from lavendertide.daemon.access import Access, access_of, require_operator
from lavendertide.daemon.admin_service import AdminService
from lavendertide.daemon.failed_requests import record_failure
from lavendertide.encodings import admin_json
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.ids import OwnerId, PlanId
from lavendertide.options import AdminOptions

ENTRIES_DEFAULT: Final = 50
PLANS_PREFIX: Final = "/v1/plans/"
BEARER: Final = "Bearer "
JSON: Final = "application/json"
STATUS_OF_KIND: Final = {
    RefusalKind.MALFORMED_REQUEST: "400 Bad Request",
    RefusalKind.UNKNOWN_KEY: "401 Unauthorized",
    RefusalKind.NOT_ENTITLED: "403 Forbidden",
    RefusalKind.NOT_FOUND: "404 Not Found",
    RefusalKind.INTERNAL_ERROR: "500 Internal Server Error",
}
STATUS_UNAVAILABLE: Final = "503 Service Unavailable"

Environment = dict[str, Any]
Reply = Result[admin_json.Document, Refusal]


class AdminFront:
    """The WSGI application of the administration API.

    Args:
        options: Keys of operators and owners.
        service: Handles every path except the metrics.
        exposition: Returns the metrics in the Prometheus text format.
    """

    def __init__(
        self,
        options: AdminOptions,
        service: AdminService,
        exposition: Callable[[], bytes],
    ) -> None:
        self._options = options
        self._service = service
        self._exposition = exposition

    def __call__(
        self,
        environment: Environment,
        start_response: Callable[[str, list[tuple[str, str]]], Any],
    ) -> Iterable[bytes]:
        """Authenticates and handles one request."""
        content_type = JSON
        try:
            result = self._authenticate_and_handle(environment)
        except Exception:
            result = Failure(record_failure(environment["PATH_INFO"]))
        match result:
            case Success(bytes(body)):
                status, content_type = "200 OK", CONTENT_TYPE_LATEST
            case Success(document):
                status, body = "200 OK", admin_json.encode(document)
            case Failure(refusal):
                status = STATUS_OF_KIND.get(refusal.kind, STATUS_UNAVAILABLE)
                body = admin_json.encode_refusal(refusal)
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(status, headers)
        return [body]

    def _authenticate_and_handle(
        self, environment: Environment
    ) -> Result[admin_json.Document | bytes, Refusal]:
        header = environment.get("HTTP_AUTHORIZATION", "")
        access = access_of(self._options, header.removeprefix(BEARER))
        return access.bind(lambda granted: self._handle(granted, environment))

    def _handle(
        self, access: Access, environment: Environment
    ) -> Result[admin_json.Document | bytes, Refusal]:
        path = environment["PATH_INFO"]
        match environment["REQUEST_METHOD"], path:
            case "GET", "/metrics":
                return require_operator(access).map(lambda _: self._exposition())
            case "GET", "/v1/status":
                return self._service.status(access)
            case "GET", "/v1/configuration":
                return self._service.configuration(access)
            case "GET", "/v1/targets":
                return self._service.targets(access)
            case "POST", "/v1/drain":
                return self._service.drain(access)
            case "GET", _:
                return self._handle_owner_paths(access, path, environment)
            case _:
                return Failure(_path_not_found(path))

    def _handle_owner_paths(
        self, access: Access, path: str, environment: Environment
    ) -> Reply:
        query = parse_qs(environment.get("QUERY_STRING", ""))
        if path == "/v1/plans":
            return self._service.plans(access)
        if path.startswith(PLANS_PREFIX):
            plan = PlanId(unquote(path.removeprefix(PLANS_PREFIX)))
            return self._service.plan(access, plan)
        if path == "/v1/books":
            owner = query.get("owner", [None])[0]
            return _parse_entries_max(query).bind(
                lambda entries_max: self._service.failure_log(
                    access, OwnerId(owner) if owner else None, entries_max
                )
            )
        return Failure(_path_not_found(path))


def _parse_entries_max(query: dict[str, list[str]]) -> Result[int, Refusal]:
    text = query.get("entries", [str(ENTRIES_DEFAULT)])[0]
    if text.isdecimal():
        return Success(int(text))
    return Failure(
        Refusal(
            RefusalKind.MALFORMED_REQUEST,
            f"entries: '{text}' is not a whole number.",
            "Give a number of entries such as 50.",
            Fault.CALLER,
        )
    )


def _path_not_found(path: str) -> Refusal:
    return Refusal(
        RefusalKind.NOT_FOUND,
        f"There is no path '{path}' for this method.",
        "docs/PROTOCOLS.md lists the paths of the administration API.",
        Fault.CALLER,
    )
