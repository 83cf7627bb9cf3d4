"""Exchanges with a target over HTTP, by `urllib3`.

docs/PROTOCOLS.md describes the protocol. A reply is checked for the attempt, shard and
version that were asked for before anybody else sees it.
"""

import json
from http.client import HTTPException
from typing import Any, Final

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, ReadTimeoutError

from lavendertide.configuration.catalog import TargetPlace
from lavendertide.messages import (
    Answered,
    Declined,
    DeclineReason,
    LossReason,
    Lost,
    Row,
    SubReply,
    SubRequest,
)
from lavendertide.runtime.sockets import split_address

RUN_PATH: Final = "/v1/run"
CONNECT_TIMEOUT_S: Final = 0.25
REPLY_MAX_BYTES: Final = 262_144
STATUS_OK: Final = 200
HEADERS: Final = {"Content-Type": "application/json"}
DECLINES: Final = {
    409: DeclineReason.VERSION_NOT_HELD,
    410: DeclineReason.DRAINING,
    429: DeclineReason.SHED,
    503: DeclineReason.SHED,
}


class HttpTargetExchange:
    """One kept-alive connection to a target.

    It uses `urllib3`'s connection and not its pool: each connection belongs to one
    task, and the pool's upkeep costs about a fifth of an exchange.

    Args:
        place: The target.
        reply_max_bytes: A larger reply is not read to its end.
    """

    def __init__(
        self, place: TargetPlace, reply_max_bytes: int = REPLY_MAX_BYTES
    ) -> None:
        self._reply_max_bytes = reply_max_bytes
        host, port = split_address(place.address)
        self._connection = HTTPConnection(host, port)

    def run(
        self, place: TargetPlace, request: SubRequest, timeout_s: float
    ) -> SubReply:
        """Sends one sub-request and returns what became of it."""
        try:
            self._make_ready(timeout_s)
        except (HTTPError, OSError):
            self.close()
            return Declined(request.attempt, DeclineReason.UNREACHABLE)
        try:
            return self._exchange(request)
        except (TimeoutError, ReadTimeoutError):
            self.close()
            return Lost(request.attempt, LossReason.TIMED_OUT)
        except (HTTPError, HTTPException, OSError):
            self.close()
            return Lost(request.attempt, LossReason.TARGET_CLOSED)

    def close(self) -> None:
        """Closes the connection; the next exchange opens it again."""
        self._connection.close()

    def _make_ready(self, timeout_s: float) -> None:
        if self._connection.sock is not None and not self._connection.is_connected:
            self._connection.close()
        if self._connection.sock is None:
            self._connection.timeout = min(CONNECT_TIMEOUT_S, timeout_s)
            self._connection.connect()
        # The library sets this timeout on the socket before each wait.
        self._connection.timeout = timeout_s

    def _exchange(self, request: SubRequest) -> SubReply:
        self._connection.request(
            "POST",
            RUN_PATH,
            body=encode_run(request),
            headers=HEADERS,
            preload_content=False,
        )
        response = self._connection.getresponse()
        data = response.read(self._reply_max_bytes + 1)
        if len(data) > self._reply_max_bytes:
            self.close()
            return Lost(request.attempt, LossReason.REPLY_TOO_LARGE)
        return decode_reply(request, response.status, data)


def encode_run(request: SubRequest) -> bytes:
    """Returns the body of a run request."""
    return json.dumps(
        {
            "attempt": request.attempt,
            "query": request.query,
            "owner": request.owner,
            "index": request.index,
            "shard": request.shard,
            "version": request.version,
            "operation": request.operation.value,
            "deadline_ms": request.remaining_ms,
            "page_size": request.page_size,
            "body": request.body,
        }
    ).encode()


def decode_reply(request: SubRequest, status: int, data: bytes) -> SubReply:
    """Returns what a target's HTTP answer means for the sub-request."""
    decline = DECLINES.get(status)
    if decline is not None:
        return Declined(request.attempt, decline)
    if status != STATUS_OK:
        return Lost(request.attempt, LossReason.TARGET_CLOSED)
    try:
        answer = _answered(request, json.loads(data))
    except (KeyError, TypeError, ValueError):
        return Lost(request.attempt, LossReason.MISMATCHED_REPLY)
    return answer or Lost(request.attempt, LossReason.MISMATCHED_REPLY)


def _answered(request: SubRequest, reply: dict[str, Any]) -> Answered | None:
    asked = (request.attempt, request.shard, request.version)
    if (reply["attempt"], reply["shard"], reply["version"]) != asked:
        return None
    return Answered(
        attempt=request.attempt,
        query=request.query,
        shard=request.shard,
        version=request.version,
        rows=tuple(
            Row(str(key), float(score), str(document))
            for key, score, document in reply["rows"]
        ),
        matches=int(reply["matches"]),
        amount=int(reply["amount"]),
    )
