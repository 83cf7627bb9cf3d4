"""What a caller does: ask for addresses, keep the answer a while, send requests.

The command line and the demo use it; it also shows other callers how to behave. A
search goes to the next address when a host cannot be reached. A non-idempotent request
is sent again under the same ticket, which runs once at most. All tries of a request
share its deadline, and a host's hint when to come back is kept.
"""

import itertools
import json
import math
import time
from typing import Any, Final
from urllib.parse import quote

import urllib3
from returns.result import Failure, Result, Success

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
TRIES: Final = 3
HTTP_OK: Final = 200
HTTP_SERVER_ERROR: Final = 500
UNREACHABLE_REMEDY: Final = (
    "See whether the host runs and whether this is its addresses.callers."
)

Document = dict[str, Any]


class CallerClient:
    """A caller with one key.

    Args:
        hosts: Addresses of any hosts, asked once for the addresses to use.
        key: The caller's key.
        region: Where the caller is, if it knows.
        failure_domain: Where the caller is, if it knows.
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
        self._http = urllib3.PoolManager(maxsize=4, retries=False)
        self._addresses: list[str] = []
        self._addresses_expire_at_s = 0.0

    def addresses(self, now_s: float) -> Result[list[str], Refusal]:
        """Returns the addresses to use, asked again once the answer is too old."""
        if self._addresses and now_s < self._addresses_expire_at_s:
            return Success(self._addresses)
        last = _no_answer("any host", "no address")
        for host in itertools.chain(self._addresses, self._hosts):
            match self._send(host, "GET", "/v1/addresses", None, CONNECT_TIMEOUT_S):
                case Success((200, answer)) if answer.get("addresses"):
                    self._addresses = answer["addresses"]
                    self._addresses_expire_at_s = now_s + answer["lifetime_s"]
                    return Success(self._addresses)
                case Success((200, _)):
                    last = _no_answer(host, "it knows no address to use")
                case Success((_, answer)):
                    last = decode_refusal_document(answer)
                case Failure(refusal):
                    last = refusal
        return Failure(last)

    def search(
        self, index: str, body: str, deadline_ms: int, page_size: int, now_s: float
    ) -> Result[Document, Refusal]:
        """Searches an index."""
        request = {
            "index": index,
            "body": body,
            "deadline_ms": deadline_ms,
            "page_size": page_size,
        }
        return self._post("/v1/search", request, deadline_ms, now_s)

    def request_ticket(self, now_s: float) -> Result[str, Refusal]:
        """Returns a ticket for one non-idempotent request."""
        answer = self._post("/v1/tickets", {}, TICKET_MS, now_s)
        return answer.map(lambda document: str(document["ticket"]))

    def execute(
        self,
        ticket: str,
        index: str,
        operation: str,
        body: str,
        deadline_ms: int,
        now_s: float,
    ) -> Result[Document, Refusal]:
        """Sends a non-idempotent request; sending it again never runs it twice."""
        request = {
            "ticket": ticket,
            "index": index,
            "operation": operation,
            "body": body,
            "deadline_ms": deadline_ms,
        }
        return self._post("/v1/execute", request, deadline_ms, now_s)

    def outcome(self, ticket: str, now_s: float) -> Result[Document, Refusal]:
        """Returns what is known of a ticket's request, and runs nothing."""
        path = f"/v1/tickets/{quote(ticket, safe='')}"
        return self.addresses(now_s).bind(
            lambda addresses: self._get_from_any(addresses, path)
        )

    def _get_from_any(
        self, addresses: list[str], path: str
    ) -> Result[Document, Refusal]:
        last = _no_answer("any host", "no address")
        for address in addresses:
            match self._send(address, "GET", path, None, GET_TIMEOUT_S):
                case Success((200, answer)):
                    return Success(answer)
                case Success((status, answer)) if status < HTTP_SERVER_ERROR:
                    return Failure(decode_refusal_document(answer))
                case Success((_, answer)):
                    last = decode_refusal_document(answer)
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
        """Tries one address after another; all tries share one deadline.

        Sending again is safe on every path: a search may run twice, a ticket that
        nobody uses is forgotten, and an order runs once under its ticket.
        """
        last = _no_answer("any host", "no address")
        for number in range(TRIES):
            left_s = ends_at_s - clock.monotonic_s()
            if number and left_s <= 0:
                break
            sent = _with_deadline(body, left_s)
            address = addresses[number % len(addresses)]
            timeout_s = max(0.0, left_s) + TIMEOUT_MARGIN_S
            match self._send(address, "POST", path, sent, timeout_s):
                case Success((status, answer)) if status == HTTP_OK:
                    return Success(answer)
                case Success((status, answer)):
                    last = decode_refusal_document(answer)
                    is_round_over = (number + 1) % len(addresses) == 0
                    pause_s = _pause_s(status, answer, is_round_over)
                    if pause_s is None or pause_s >= left_s:
                        break
                    time.sleep(pause_s)
                case Failure(refusal):
                    self._ask_last(address)
                    last = refusal
        return Failure(last)

    def _ask_last(self, address: str) -> None:
        """Puts an address that did not answer behind the others."""
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
            return Failure(_no_answer(address, type(error).__name__))
        if not isinstance(document, dict):
            return Failure(unreadable_response())
        return Success((response.status, document))


def _with_deadline(body: Document, left_s: float) -> Document:
    """Returns the body with no more than what is left of the deadline."""
    if "deadline_ms" not in body:
        return body
    left_ms = max(1, math.ceil(1000 * left_s))
    return {**body, "deadline_ms": min(body["deadline_ms"], left_ms)}


def _pause_s(status: int, answer: Document, is_round_over: bool) -> float | None:
    """Returns when to try again after a refusal, none for never."""
    hint_s = float(answer.get("retry_after_s") or 0.0)
    match status:
        case 429:
            return hint_s
        case 503:
            return hint_s if is_round_over else 0.0
        case _:
            return None


def _no_answer(address: str, problem: str) -> Refusal:
    return unreachable(address, problem, UNREACHABLE_REMEDY)
