"""What a caller does: ask for addresses, keep the answer a while, send requests.

The command line and the demo use it; it also shows other callers how to behave. A
search goes to the next address when a host cannot be reached. A non-idempotent request
is sent again under the same ticket, which runs once at most.
"""

import itertools
import json
from typing import Any, Final

import urllib3
from returns.result import Failure, Result, Success

from lavendertide.errors import Fault, Refusal, RefusalKind

TIMEOUT_MARGIN_S: Final = 0.5
CONNECT_TIMEOUT_S: Final = 0.5
TRIES: Final = 3
TEMPORARY_STATUSES: Final = frozenset({503})

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
        self._kept_until_s = 0.0

    def addresses(self, now_s: float) -> Result[list[str], Refusal]:
        """Returns the addresses to use, asked again once the answer is too old."""
        if self._addresses and now_s < self._kept_until_s:
            return Success(self._addresses)
        for host in itertools.chain(self._addresses, self._hosts):
            match self._send(host, "GET", "/v1/addresses", None, CONNECT_TIMEOUT_S):
                case Success((200, answer)) if answer["addresses"]:
                    self._addresses = answer["addresses"]
                    self._kept_until_s = now_s + answer["lifetime_s"]
                    return Success(self._addresses)
        return Failure(_unreachable("any host", "no answer"))

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

    def ticket(self, now_s: float) -> Result[str, Refusal]:
        """Returns a ticket for one non-idempotent request."""
        answer = self._post("/v1/tickets", {}, 0, now_s)
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

    def _post(
        self, path: str, body: Document, deadline_ms: int, now_s: float
    ) -> Result[Document, Refusal]:
        return self.addresses(now_s).bind(
            lambda addresses: self._post_to_any(addresses, path, body, deadline_ms)
        )

    def _post_to_any(
        self, addresses: list[str], path: str, body: Document, deadline_ms: int
    ) -> Result[Document, Refusal]:
        timeout_s = deadline_ms / 1000 + TIMEOUT_MARGIN_S
        last: Refusal = _unreachable("any host", "no address")
        for address in itertools.islice(itertools.cycle(addresses), TRIES):
            match self._send(address, "POST", path, body, timeout_s):
                case Success((200, answer)):
                    return Success(answer)
                case Success((status, answer)):
                    last = _refusal_of(answer)
                    if status not in TEMPORARY_STATUSES:
                        return Failure(last)
                case Failure(refusal):
                    self._kept_until_s = 0.0
                    last = refusal
        return Failure(last)

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
            return Success((response.status, response.json()))
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return Failure(_unreachable(address, type(error).__name__))


def _refusal_of(answer: Document) -> Refusal:
    return Refusal(
        RefusalKind(answer["kind"]),
        answer["message"],
        answer["remedy"],
        Fault(answer["fault"]),
    )


def _unreachable(address: str, problem: str) -> Refusal:
    return Refusal(
        RefusalKind.UNREACHABLE,
        f"No answer from {address}: {problem}.",
        "See whether the host runs and whether the address is right.",
        Fault.LINK,
    )
