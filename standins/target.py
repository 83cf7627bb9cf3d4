"""Implements a stand-in target with slots, a connection limit and index versions.

It draws its response times from a distribution with a tail, and can be drained, slowed
down or crashed. It counts what a real target could not report: requests above its
slots, connections above its limit, and non-idempotent requests that ran more than once.
A request continues to run, and is counted, after its caller has closed the connection.
"""

import contextlib
import random
import time
from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from typing import Any

import eventlet
from eventlet import event, wsgi

from lavendertide.runtime.sockets import close_listener
from standins.http_json import Reply, application

ROWS_PER_SHARD = 3
POISON_MARK = "poison"
POLL_S = 0.005
CANCELLED_MAX = 1_024


class WrongReplyField(Enum):
    """The field that is wrong in the target's replies."""

    NOTHING = "nothing"
    ATTEMPT = "attempt"
    SHARD = "shard"
    VERSION = "version"


class TargetState(Enum):
    """How the target responds to new requests."""

    SERVING = "serving"
    DRAINING = "draining"
    SHEDDING = "shedding"
    FROZEN = "frozen"


@dataclass
class TargetBehaviour:
    """How a target behaves; tests change it while the target runs.

    Attributes:
        slots: Requests that may run at the same time; excess ones are counted.
        connections: Connections that may be open at the same time.
        connect_ms: Time to open a connection.
        median_ms: Median time of a request.
        tail_share: Share of the requests that take `tail_ms` instead.
        versions: The shards held of each index version; requests for any other shard
            or version are refused.
        restart_ms: Time from a crash to the restart.
        misreply: The field that is wrong in its replies.
        padding_bytes: Size of the padding added to each reply.
        document_bytes: Least size of the document in each row.
        cold_ms: How long the target is slow after a restart.
        cold_factor: Factor by which requests take longer in that time.
        health_says: State that the health endpoint reports instead of the real one.
    """

    slots: int
    connections: int
    connect_ms: float = 0.0
    median_ms: float = 5.0
    tail_share: float = 0.0
    tail_ms: float = 0.0
    state: TargetState = TargetState.SERVING
    versions: dict[int, list[int]] = field(default_factory=dict)
    restart_ms: float = 1_000.0
    misreply: WrongReplyField = WrongReplyField.NOTHING
    padding_bytes: int = 0
    document_bytes: int = 0
    cold_ms: float = 0.0
    cold_factor: float = 1.0
    health_says: TargetState | None = None


@dataclass
class TargetCounts:
    """What a target has counted since its process started.

    Attributes:
        requests: Received requests, including refused ones.
        requests_draining: Requests received while the target was draining.
        slot_breaches: Requests that started while all slots were in use.
        connection_breaches: Connections opened above the limit.
        late: Requests that were aborted at their deadline.
    """

    requests: int = 0
    requests_draining: int = 0
    ran: int = 0
    cancelled: int = 0
    slot_breaches: int = 0
    connection_breaches: int = 0
    most_running: int = 0
    most_connections: int = 0
    crashes: int = 0
    late: int = 0


class RequestEnd(Enum):
    """How a request ended; the values are HTTP statuses."""

    DONE = 200
    CANCELLED = 499
    CRASHED = 500
    OVERDUE = 504


@dataclass
class RunningRequest:
    """A running request.

    Attributes:
        epoch: The number of crashes before it started; a later crash ends it.
        ended: Sent when the request has ended.
    """

    epoch: int
    ended: event.Event = field(default_factory=event.Event)
    is_cancelled: bool = False


class StandInTarget:
    """A stand-in target that listens on an address of its own.

    Attributes:
        counts: What the target has counted.
        executions: How often each non-idempotent request ran, by its body.
    """

    def __init__(
        self, name: str, address: str, behaviour: TargetBehaviour, seed: int
    ) -> None:
        self.name = name
        self.behaviour = behaviour
        self.counts = TargetCounts()
        self.executions: Counter[str] = Counter()
        self._address = address
        self._random = random.Random(f"{seed}-{name}")
        self._epoch = 0
        self._cold_until_s = 0.0
        self._running_requests: dict[str, RunningRequest] = {}
        self._open_connections: set[Any] = set()
        self._cancelled: OrderedDict[str, None] = OrderedDict()
        self._listener: Any = None

    @property
    def is_cold(self) -> bool:
        """Whether the target is slow because it restarted recently."""
        return time.monotonic() < self._cold_until_s

    def serve(self) -> None:
        """Listens until the process ends, and restarts after each crash."""
        while True:
            host, port = self._address.split(":")
            self._listener = eventlet.listen((host, int(port)), backlog=128)
            # The server raises an error when a crash closes its listener.
            with contextlib.suppress(OSError):
                wsgi.server(
                    self._listener,
                    application(self._handle),
                    protocol=self._protocol(),
                    log_output=False,
                    debug=False,
                    max_size=4 * self.behaviour.connections,
                )
            eventlet.sleep(self.behaviour.restart_ms / 1000)
            self._cold_until_s = time.monotonic() + self.behaviour.cold_ms / 1000

    def crash(self) -> None:
        """Drops all connections and requests and stops listening until the restart.

        Has no effect on a target that is already down.
        """
        listener, self._listener = self._listener, None
        if listener is None:
            return
        close_listener(listener)
        self.counts.crashes += 1
        self._epoch += 1
        self._running_requests.clear()
        for connection in list(self._open_connections):
            connection.drop()

    def _protocol(self) -> type[wsgi.HttpProtocol]:
        target = self

        class CountedProtocol(wsgi.HttpProtocol):  # type: ignore[misc]
            """Counts connections and delays the opening of each."""

            def setup(self) -> None:
                target._open_connections.add(self)
                self.is_refused = target._is_above_limit()
                eventlet.sleep(target.behaviour.connect_ms / 1000)
                super().setup()

            def handle(self) -> None:
                if not self.is_refused:
                    super().handle()

            def finish(self) -> None:
                target._open_connections.discard(self)
                super().finish()

            def drop(self) -> None:
                # The client may have closed the connection already. While it is being
                # opened, `connection` is not set yet, but `request` is.
                with contextlib.suppress(OSError):
                    self.request.shutdown(2)

        return CountedProtocol

    def _is_above_limit(self) -> bool:
        count = len(self._open_connections)
        self.counts.most_connections = max(self.counts.most_connections, count)
        is_above_limit = count > self.behaviour.connections
        self.counts.connection_breaches += is_above_limit
        return is_above_limit

    def _handle(self, method: str, path: str, query: str, body: Any) -> Reply:
        match path:
            case "/v1/run":
                return self._run(body)
            case "/v1/cancel":
                return self._cancel(body["attempt"])
            case "/v1/health":
                return 200, self._health()
        return 404, {}

    def _health(self) -> dict[str, Any]:
        reported = self.behaviour.health_says or self.behaviour.state
        return {
            "state": reported.value,
            "running": len(self._running_requests),
            "versions": sorted(self.behaviour.versions),
        }

    def _cancel(self, attempt: str) -> Reply:
        self._cancelled[attempt] = None
        while len(self._cancelled) > CANCELLED_MAX:
            self._cancelled.popitem(last=False)
        running_request = self._running_requests.get(attempt)
        if running_request is not None:
            running_request.is_cancelled = True
            running_request.ended.wait()
        return 200, {"attempt": attempt}

    def _run(self, request: dict[str, Any]) -> Reply:
        self.counts.requests += 1
        refusal = self._refusal_status(request)
        if refusal is not None:
            return refusal, {"attempt": request["attempt"]}
        running_request = self._running_requests[request["attempt"]] = RunningRequest(
            self._epoch
        )
        self._record_running()
        end = self._execute(request, running_request)
        if running_request.epoch == self._epoch:
            del self._running_requests[request["attempt"]]
        running_request.ended.send(None)
        if end is not RequestEnd.DONE:
            return end.value, {"attempt": request["attempt"]}
        return 200, self._reply(request)

    def _reply(self, request: dict[str, Any]) -> dict[str, Any]:
        reply = expected_reply(request | self._wrong_fields(request))
        if self.behaviour.padding_bytes:
            reply["padding"] = "x" * self.behaviour.padding_bytes
        if self.behaviour.document_bytes:
            reply["rows"] = [
                [key, score, document.ljust(self.behaviour.document_bytes, ".")]
                for key, score, document in reply["rows"]
            ]
        return reply

    def _wrong_fields(self, request: dict[str, Any]) -> dict[str, Any]:
        """Returns the request fields that are replaced to make the reply wrong."""
        match self.behaviour.misreply:
            case WrongReplyField.ATTEMPT:
                return {"attempt": request["attempt"] + "0", "body": "another"}
            case WrongReplyField.SHARD:
                return {"shard": request["shard"] + 1}
            case WrongReplyField.VERSION:
                return {"version": request["version"] + 1}
            case WrongReplyField.NOTHING:
                return {}

    def _refusal_status(self, request: dict[str, Any]) -> int | None:
        overdue_s = time.monotonic() + request["deadline_ms"] / 1000
        while self.behaviour.state is TargetState.FROZEN:
            eventlet.sleep(POLL_S)
        match self.behaviour.state:
            case TargetState.DRAINING:
                self.counts.requests_draining += 1
                return 410
            case TargetState.SHEDDING:
                return 429
        if request["shard"] not in self.behaviour.versions.get(request["version"], []):
            return 409
        if request["attempt"] in self._cancelled:
            return RequestEnd.CANCELLED.value
        return RequestEnd.OVERDUE.value if time.monotonic() >= overdue_s else None

    def _record_running(self) -> None:
        running = len(self._running_requests)
        self.counts.most_running = max(self.counts.most_running, running)
        if running > self.behaviour.slots:
            self.counts.slot_breaches += 1

    def _execute(
        self, request: dict[str, Any], running_request: RunningRequest
    ) -> RequestEnd:
        if POISON_MARK in request["body"]:
            self.crash()
            return RequestEnd.CRASHED
        end = self._wait_for_end(
            self._delay_s(), request["deadline_ms"] / 1000, running_request
        )
        match end:
            case RequestEnd.CANCELLED:
                self.counts.cancelled += 1
            case RequestEnd.OVERDUE:
                self.counts.late += 1
            case RequestEnd.DONE:
                self.counts.ran += 1
                if request["operation"] != "search":
                    self.executions[request["body"]] += 1
        return end

    def _wait_for_end(
        self, delay_s: float, deadline_s: float, running_request: RunningRequest
    ) -> RequestEnd:
        now_s = time.monotonic()
        done_s, overdue_s = now_s + delay_s, now_s + deadline_s
        while now_s < done_s:
            eventlet.sleep(min(POLL_S, done_s - now_s))
            now_s = time.monotonic()
            if running_request.epoch != self._epoch:
                return RequestEnd.CRASHED
            if running_request.is_cancelled:
                return RequestEnd.CANCELLED
            if now_s >= overdue_s:
                return RequestEnd.OVERDUE
        return RequestEnd.DONE

    def _delay_s(self) -> float:
        cold = self.behaviour.cold_factor if self.is_cold else 1.0
        if self._random.random() < self.behaviour.tail_share:
            return cold * self.behaviour.tail_ms / 1000
        spread = self._random.lognormvariate(0.0, 0.2)
        return cold * self.behaviour.median_ms * spread / 1000


def expected_reply(request: dict[str, Any]) -> dict[str, Any]:
    """Returns the reply that every replica of the requested shard gives."""
    rows = [_row(request, number) for number in range(ROWS_PER_SHARD)]
    return {
        "attempt": request["attempt"],
        "shard": request["shard"],
        "version": request["version"],
        "rows": sorted(rows, key=lambda row: (-row[1], row[0]))[: _page_size(request)],
        "matches": ROWS_PER_SHARD,
        "amount": 100 * ROWS_PER_SHARD,
    }


def _page_size(request: dict[str, Any]) -> int:
    return int(request.get("page_size", ROWS_PER_SHARD))


def _row(request: dict[str, Any], number: int) -> tuple[str, float, str]:
    name = f"{request['index']}/{request['version']}/{request['shard']}/{number}"
    digest = blake2b(f"{name}/{request['body']}".encode(), digest_size=4).digest()
    return name, float(int.from_bytes(digest, "big")), request["body"]
