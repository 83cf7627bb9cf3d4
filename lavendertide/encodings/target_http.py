"""HTTP protocol between hosts and targets.

docs/PROTOCOLS.md describes the protocol. A reply is accepted only if its attempt, shard
and version are those of the sub-request. A target may send a second copy of a reply
late, where the next one is expected, so a connection is kept only after replies that
name their attempt.
"""

import json
from typing import Any, Final

from lavendertide.encodings.target_connection import (
    ExchangeFailure,
    HttpReply,
    TargetConnection,
)
from lavendertide.ids import AttemptId
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
from lavendertide.targets.place import TargetPlace

RUN_PATH: Final = "/v1/run"
CANCEL_PATH: Final = "/v1/cancel"
HEALTH_PATH: Final = "/v1/health"
REPLY_MAX_BYTES: Final = 262_144
WARM_TIMEOUT_S: Final = 0.5
STATUS_OK: Final = 200
# Raised for a document with fields missing, of another type, too large or nested too
# deeply.
UNREADABLE: Final = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
REASON_OF_DECLINED_STATUS: Final = {
    409: DeclineReason.VERSION_NOT_HELD,
    410: DeclineReason.DRAINING,
    429: DeclineReason.SHED,
    503: DeclineReason.SHED,
}
REASON_OF_LOST_STATUS: Final = {
    499: LossReason.CANCELLED,
    504: LossReason.TIMED_OUT,
}
REASON_OF_FAILURE: Final = {
    ExchangeFailure.TIMED_OUT: LossReason.TIMED_OUT,
    ExchangeFailure.CLOSED: LossReason.TARGET_CLOSED,
    ExchangeFailure.TOO_LARGE: LossReason.REPLY_TOO_LARGE,
    ExchangeFailure.MALFORMED: LossReason.MALFORMED_REPLY,
}


class HttpTargetExchange:
    """One connection to a target that runs sub-requests.

    Args:
        place: The target.
        reply_max_bytes: A larger reply is not read to its end.
    """

    def __init__(
        self, place: TargetPlace, reply_max_bytes: int = REPLY_MAX_BYTES
    ) -> None:
        self._connection = TargetConnection(place.address, reply_max_bytes)

    @property
    def is_open(self) -> bool:
        """Whether the connection is open, as far as is known."""
        return self._connection.is_open

    def open(self) -> bool:
        """Opens a new connection and warms it up; returns whether it can be used.

        A first exchange with the health endpoint bears the cost of a new connection, so
        that no sub-request does.
        """
        if not self._connection.open():
            return False
        reply = self._connection.exchange("GET", HEALTH_PATH, None, WARM_TIMEOUT_S)
        return not isinstance(reply, ExchangeFailure)

    def run(self, request: SubRequest, timeout_s: float) -> SubReply:
        """Sends one sub-request and waits for its outcome."""
        body = encode_run(request, timeout_s)
        match self._connection.exchange("POST", RUN_PATH, body, timeout_s):
            case ExchangeFailure.NOT_CONNECTED:
                return Declined(request.attempt, DeclineReason.UNREACHABLE)
            case ExchangeFailure() as failure:
                return Lost(request.attempt, REASON_OF_FAILURE[failure])
            case reply:
                outcome = decode_reply(request, reply)
                is_own = isinstance(outcome, Answered) or (
                    _named_attempt(reply.data) == request.attempt
                )
                if not is_own:
                    self.close()
                return outcome

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()


class HttpTargetControl:
    """Connection to a target for cancelling attempts and reading its health."""

    def __init__(self, place: TargetPlace) -> None:
        self._connection = TargetConnection(place.address, REPLY_MAX_BYTES)

    def cancel(self, attempt: AttemptId, timeout_s: float) -> bool:
        """Cancels an attempt; returns whether the target confirms that it has ended."""
        body = json.dumps({"attempt": attempt}).encode()
        reply = self._connection.exchange("POST", CANCEL_PATH, body, timeout_s)
        if isinstance(reply, ExchangeFailure):
            return False
        if _names_other_attempt(attempt, reply.data):
            self.close()
            return False
        return reply.status == STATUS_OK and reply.is_delimited

    def is_draining(self, timeout_s: float) -> bool:
        """Returns whether the target's health endpoint reports that it is draining."""
        reply = self._connection.exchange("GET", HEALTH_PATH, None, timeout_s)
        if isinstance(reply, ExchangeFailure):
            return False
        try:
            return bool(json.loads(reply.data)["state"] == "draining")
        except UNREADABLE:
            return False

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()


def encode_run(request: SubRequest, timeout_s: float) -> bytes:
    """Returns the body of a run request with a time limit."""
    return json.dumps(
        {
            "attempt": request.attempt,
            "query": request.query,
            "owner": request.owner,
            "index": request.index,
            "shard": request.shard,
            "version": request.version,
            "operation": request.operation.value,
            "deadline_ms": int(timeout_s * 1000),
            "page_size": request.page_size,
            "body": request.body,
        }
    ).encode()


def decode_reply(request: SubRequest, reply: HttpReply) -> SubReply:
    """Returns the outcome of a sub-request that a target's HTTP reply reports.

    A reply that names another attempt says nothing about this one, which may have run.
    Nor does a refusal that may have broken off.
    """
    if reply.status == STATUS_OK:
        return _decode_success(request, reply.data)
    if not reply.is_delimited:
        return Lost(request.attempt, LossReason.TARGET_CLOSED)
    if _names_other_attempt(request.attempt, reply.data):
        return Lost(request.attempt, LossReason.MISMATCHED_REPLY)
    decline = REASON_OF_DECLINED_STATUS.get(reply.status)
    if decline is not None:
        return Declined(request.attempt, decline)
    loss = REASON_OF_LOST_STATUS.get(reply.status, LossReason.MISMATCHED_REPLY)
    return Lost(request.attempt, loss)


def _decode_success(request: SubRequest, data: bytes) -> SubReply:
    try:
        answered = _decode_answered(request, json.loads(data))
    except UNREADABLE:
        return Lost(request.attempt, LossReason.MISMATCHED_REPLY)
    return answered or Lost(request.attempt, LossReason.MISMATCHED_REPLY)


def _names_other_attempt(attempt: AttemptId, data: bytes) -> bool:
    return _named_attempt(data) not in (None, attempt)


def _named_attempt(data: bytes) -> str | None:
    """Returns the attempt that a reply belongs to; none if it names none."""
    try:
        return str(json.loads(data)["attempt"])
    except UNREADABLE:
        return None


def _decode_answered(request: SubRequest, reply: dict[str, Any]) -> Answered | None:
    expected = (request.attempt, request.shard, request.version)
    if (reply["attempt"], reply["shard"], reply["version"]) != expected:
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


class HttpExchangeFactory:
    """Creates HTTP connections to targets; none is open yet.

    Args:
        reply_max_bytes: A larger reply is not read to its end.
    """

    def __init__(self, reply_max_bytes: int) -> None:
        self._reply_max_bytes = reply_max_bytes

    def exchange(self, place: TargetPlace) -> HttpTargetExchange:
        """Returns a connection that runs sub-requests."""
        return HttpTargetExchange(place, self._reply_max_bytes)

    def control(self, place: TargetPlace) -> HttpTargetControl:
        """Returns a connection that cancels attempts and reads the health."""
        return HttpTargetControl(place)
