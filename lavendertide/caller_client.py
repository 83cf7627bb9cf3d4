"""Client of the callers' API, used by the command line and the demo.

It is also the reference for other clients. A client gets a list of addresses, caches
it for its lifetime and sends requests to these addresses. A search goes to the next
address when a host cannot be reached. A non-idempotent request is retried under the
same ticket, so that it runs at most once. All attempts of a request share its deadline,
and retries respect the `retry_after_s` of the hosts.
"""

import itertools
import json
import math
import time
from typing import Any, Final
from urllib.parse import quote

import urllib3
from returns.result import Failure, Result, Success

from lavendertide.encodings.checked_replies import checked_pool_manager
from lavendertide.encodings.refusal_json import (
    decode_refusal_document,
    unreadable_response,
)
from lavendertide.errors import Refusal, unreachable
from lavendertide.runtime import clock

TIMEOUT_MARGIN_S: Final = 0.5
TICKET_MS: Final = 1_500
CONNECT_TIMEOUT_S: Final = 0.5
GET_TIMEOUT_S: Final = 1.5
ATTEMPTS_MAX: Final = 3
CONNECTIONS_MAX: Final = 4
HTTP_OK: Final = 200
HTTP_SERVER_ERROR: Final = 500
UNREACHABLE_REMEDY: Final = (
    "Check that the host runs and that this is its addresses.callers."
)

Document = dict[str, Any]


class CallerClient:
    """Sends the requests of a caller with one key.

    Args:
        hosts: Addresses of some hosts, from which the list of addresses to use is
            requested.
        key: The caller's key.
        region: The caller's region, if known.
        failure_domain: The caller's failure domain, if known.
    """

    def __init__(
        self,
        hosts: list[str],
        key: str,
        region: str | None = None,
        failure_domain: str | None = None,
    ) -> None:
        self._hosts = hosts
        self._headers = {"X-Caller-Key": key}
        if region:
            self._headers["X-Region"] = region
        if failure_domain:
            self._headers["X-Failure-Domain"] = failure_domain
        self._http = checked_pool_manager(CONNECTIONS_MAX)
        self._addresses: list[str] = []
        self._addresses_expire_at_s = 0.0

    def addresses(self, now_s: float) -> Result[list[str], Refusal]:
        """Returns the addresses to use, requested anew once the list has expired."""
        if self._addresses and now_s < self._addresses_expire_at_s:
            return Success(self._addresses)
        last = _unreachable("any host", "no address")
        for host in itertools.chain(self._addresses, self._hosts):
            match self._send(host, "GET", "/v1/addresses", None, CONNECT_TIMEOUT_S):
                case Success((200, response)) if response.get("addresses"):
                    self._addresses = response["addresses"]
                    self._addresses_expire_at_s = now_s + response["lifetime_s"]
                    return Success(self._addresses)
                case Success((200, _)):
                    last = _unreachable(host, "its list of addresses is empty")
                case Success((_, response)):
                    last = decode_refusal_document(response)
                case Failure(refusal):
                    last = refusal
        return Failure(last)

    def search(
        self, index: str, body: str, deadline_ms: int, page_size: int, now_s: float
    ) -> Result[Document, Refusal]:
        """Searches an index within a deadline."""
        request = {
            "index": index,
            "body": body,
            "deadline_ms": deadline_ms,
            "page_size": page_size,
        }
        return self._post("/v1/search", request, deadline_ms, now_s)

    def request_ticket(self, now_s: float) -> Result[str, Refusal]:
        """Requests a ticket for one non-idempotent request."""
        response = self._post("/v1/tickets", {}, TICKET_MS, now_s)
        return response.map(lambda document: str(document["ticket"]))

    def execute(
        self,
        ticket: str,
        index: str,
        operation: str,
        body: str,
        deadline_ms: int,
        now_s: float,
    ) -> Result[Document, Refusal]:
        """Sends a non-idempotent request, which never runs twice under one ticket."""
        request = {
            "ticket": ticket,
            "index": index,
            "operation": operation,
            "body": body,
            "deadline_ms": deadline_ms,
        }
        return self._post("/v1/execute", request, deadline_ms, now_s)

    def outcome(self, ticket: str, now_s: float) -> Result[Document, Refusal]:
        """Returns the outcome recorded for a ticket without running anything."""
        path = f"/v1/tickets/{quote(ticket, safe='')}"
        return self.addresses(now_s).bind(
            lambda addresses: self._get_from_any(addresses, path)
        )

    def _get_from_any(
        self, addresses: list[str], path: str
    ) -> Result[Document, Refusal]:
        last = _unreachable("any host", "no address")
        for address in addresses:
            match self._send(address, "GET", path, None, GET_TIMEOUT_S):
                case Success((200, response)):
                    return Success(response)
                case Success((status, response)) if status < HTTP_SERVER_ERROR:
                    return Failure(decode_refusal_document(response))
                case Success((_, response)):
                    last = decode_refusal_document(response)
                case Failure(refusal):
                    last = refusal
        return Failure(last)

    def _post(
        self, path: str, body: Document, deadline_ms: int, now_s: float
    ) -> Result[Document, Refusal]:
        ends_at_s = clock.monotonic_s() + deadline_ms / 1000
        return self.addresses(now_s).bind(
            lambda addresses: self._post_to_any(addresses, path, body, ends_at_s)
        )

    def _post_to_any(
        self,
        addresses: list[str],
        path: str,
        body: Document,
        ends_at_s: float,
    ) -> Result[Document, Refusal]:
        """Tries the addresses in turn; all attempts share one deadline.

        A retry is safe for every path: a search may run twice, an unused ticket
        expires, and an execution request runs at most once under its ticket.
        """
        last = _unreachable("any host", "no address")
        for number in range(ATTEMPTS_MAX):
            remaining_s = ends_at_s - clock.monotonic_s()
            if number and remaining_s <= 0:
                break
            attempt_body = _with_deadline(body, remaining_s)
            address = addresses[number % len(addresses)]
            timeout_s = max(0.0, remaining_s) + TIMEOUT_MARGIN_S
            match self._send(address, "POST", path, attempt_body, timeout_s):
                case Success((status, response)) if status == HTTP_OK:
                    return Success(response)
                case Success((status, response)):
                    last = decode_refusal_document(response)
                    is_round_over = (number + 1) % len(addresses) == 0
                    pause_s = _pause_s(status, response, is_round_over)
                    if pause_s is None or pause_s >= remaining_s:
                        break
                    time.sleep(pause_s)
                case Failure(refusal):
                    self._demote(address)
                    last = refusal
        return Failure(last)

    def _demote(self, address: str) -> None:
        """Moves an unreachable address behind the others and expires the list."""
        self._addresses_expire_at_s = 0.0
        if address in self._addresses:
            others = [other for other in self._addresses if other != address]
            self._addresses = [*others, address]

    def _send(
        self,
        address: str,
        method: str,
        path: str,
        body: Document | None,
        timeout_s: float,
    ) -> Result[tuple[int, Document], Refusal]:
        try:
            response = self._http.request(
                method,
                f"http://{address}{path}",
                headers=self._headers,
                body=None if body is None else json.dumps(body).encode(),
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
            )
            document = response.json()
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return Failure(_unreachable(address, type(error).__name__))
        if not isinstance(document, dict):
            return Failure(unreadable_response())
        return Success((response.status, document))


def _with_deadline(body: Document, remaining_s: float) -> Document:
    """Returns the body with its deadline limited to the remaining time."""
    if "deadline_ms" not in body:
        return body
    remaining_ms = max(1, math.ceil(1000 * remaining_s))
    return {**body, "deadline_ms": min(body["deadline_ms"], remaining_ms)}


def _pause_s(status: int, response: Document, is_round_over: bool) -> float | None:
    """Returns the pause before the next attempt, none if a retry is useless.

    After a 503 the next host is tried at once, and the pause is due only after each
    address has been tried. After a 429 the pause is due before any retry.
    """
    hint_s = float(response.get("retry_after_s") or 0.0)
    match status:
        case 429:
            return hint_s
        case 503:
            return hint_s if is_round_over else 0.0
        case _:
            return None


def _unreachable(address: str, problem: str) -> Refusal:
    return unreachable(address, problem, UNREACHABLE_REMEDY)
