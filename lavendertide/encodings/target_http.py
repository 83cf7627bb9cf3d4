"""Exchanges with a target over HTTP, by `urllib3`.

docs/PROTOCOLS.md describes the protocol. A reply is checked for the attempt, shard and
version that were asked for before anybody else sees it.
"""

import json
from typing import Any, Final

import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

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
DECLINES: Final = {
    409: DeclineReason.VERSION_NOT_HELD,
    410: DeclineReason.DRAINING,
    429: DeclineReason.SHED,
    503: DeclineReason.SHED,
}


class HttpTargetExchange:
    """One kept-alive connection to a target.

    Args:
        place: The target.
        reply_max_bytes: A larger reply is not read to its end.
    """

    def __init__(
        self, place: TargetPlace, reply_max_bytes: int = REPLY_MAX_BYTES
    ) -> None:
        self._reply_max_bytes = reply_max_bytes
        host, port = split_address(place.address)
        self._pool = urllib3.HTTPConnectionPool(
            host, port, maxsize=1, block=False, retries=False
        )

    def run(
        self, place: TargetPlace, request: SubRequest, timeout_s: float
    ) -> SubReply:
        """Sends one sub-request and returns what became of it."""
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
        )
        try:
            response = self._pool.urlopen(
                "POST",
                RUN_PATH,
                body=encode_run(request),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
                retries=False,
                preload_content=False,
            )
            data = self._read(response)
        except (NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            return Declined(request.attempt, DeclineReason.UNREACHABLE)
        except urllib3.exceptions.TimeoutError:
            return Lost(request.attempt, LossReason.TIMED_OUT)
        except HTTPError:
            return Lost(request.attempt, LossReason.TARGET_CLOSED)
        if data is None:
            return Lost(request.attempt, LossReason.REPLY_TOO_LARGE)
        return decode_reply(request, response.status, data)

    def close(self) -> None:
        """Closes the connection."""
        self._pool.close()

    def _read(self, response: urllib3.BaseHTTPResponse) -> bytes | None:
        """Returns the body, none if it is larger than may be read."""
        data = response.read(self._reply_max_bytes + 1)
        if len(data) > self._reply_max_bytes:
            response.close()
            return None
        response.release_conn()
        return data


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
