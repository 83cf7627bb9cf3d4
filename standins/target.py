"""A stand-in target: slots, a connection cap, delays with a tail, versions, drain.

It counts what a real target could not tell: requests above its slots, connections
above its cap, and non-idempotent requests that ran more than once.
"""

import random
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from typing import Any

import eventlet
from eventlet import wsgi

from standins.http_json import Reply, application

ROWS_PER_SHARD = 3
POISON_MARK = "poison"


class TargetState(Enum):
    """What the target does with new work."""

    SERVING = "serving"
    DRAINING = "draining"
    SHEDDING = "shedding"
    FROZEN = "frozen"


class Misreply(Enum):
    """What is wrong with the target's answers."""

    NOTHING = "nothing"
    ATTEMPT = "attempt"
    SHARD = "shard"
    VERSION = "version"


@dataclass
class TargetBehaviour:
    """How a target behaves; tests change it while it runs.

    Attributes:
        connect_ms: Time to open a connection.
        median_ms: Usual time of a request.
        tail_share: Part of the requests that take `tail_ms` instead.
        versions: For each held version the held shards; a missing one is refused.
        restart_ms: How long a crash lasts.
        misreply: What is wrong with its answers.
        padding_bytes: What each answer carries besides its rows.
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
    misreply: Misreply = Misreply.NOTHING
    padding_bytes: int = 0


@dataclass
class TargetCounts:
    """What a target has seen."""

    requests: int = 0
    ran: int = 0
    cancelled: int = 0
    slot_breaches: int = 0
    connection_breaches: int = 0
    most_running: int = 0
    most_connections: int = 0
    crashes: int = 0
    late: int = 0


class StandInTarget:
    """One target on its own address."""

    def __init__(
        self, name: str, address: str, behaviour: TargetBehaviour, seed: int
    ) -> None:
        self.name = name
        self.behaviour = behaviour
        self.counts = TargetCounts()
        self.executions: Counter[str] = Counter()
        self._address = address
        self._random = random.Random(f"{seed}-{name}")
        self._running = 0
        self._open: set[Any] = set()
        self._cancelled: set[str] = set()
        self._listener: Any = None

    def serve(self) -> None:
        """Listens until the process ends, again after each crash."""
        while True:
            host, port = self._address.split(":")
            self._listener = eventlet.listen((host, int(port)), backlog=128)
            wsgi.server(
                self._listener,
                application(self._handle),
                protocol=self._protocol(),
                log_output=False,
                debug=False,
                max_size=4 * self.behaviour.connections,
            )
            eventlet.sleep(self.behaviour.restart_ms / 1000)

    def crash(self) -> None:
        """Drops all connections and stops listening for a while."""
        self.counts.crashes += 1
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.close()
        for connection in list(self._open):
            connection.drop()

    def _protocol(self) -> type[wsgi.HttpProtocol]:
        target = self

        class CountedProtocol(wsgi.HttpProtocol):  # type: ignore[misc]
            """Counts connections and makes opening one cost time."""

            def setup(self) -> None:
                target._open.add(self)
                target._count_connections()
                eventlet.sleep(target.behaviour.connect_ms / 1000)
                super().setup()

            def finish(self) -> None:
                target._open.discard(self)
                super().finish()

            def drop(self) -> None:
                self.connection.shutdown(2)

        return CountedProtocol

    def _count_connections(self) -> None:
        count = len(self._open)
        self.counts.most_connections = max(self.counts.most_connections, count)
        if count > self.behaviour.connections:
            self.counts.connection_breaches += 1

    def _handle(self, method: str, path: str, query: str, body: Any) -> Reply:
        match path:
            case "/v1/run":
                return self._run(body)
            case "/v1/cancel":
                self._cancelled.add(body["attempt"])
                return 200, {}
            case "/v1/health":
                return 200, self._health()
        return 404, {}

    def _health(self) -> dict[str, Any]:
        return {
            "state": self.behaviour.state.value,
            "running": self._running,
            "versions": sorted(self.behaviour.versions),
        }

    def _run(self, request: dict[str, Any]) -> Reply:
        self.counts.requests += 1
        match self.behaviour.state:
            case TargetState.DRAINING:
                return 410, {}
            case TargetState.SHEDDING:
                return 429, {}
        shards = self.behaviour.versions.get(request["version"], [])
        if request["shard"] not in shards:
            return 409, {}
        self._running += 1
        self._count_slots()
        try:
            return self._work(request)
        finally:
            self._running -= 1

    def _count_slots(self) -> None:
        self.counts.most_running = max(self.counts.most_running, self._running)
        if self._running > self.behaviour.slots:
            self.counts.slot_breaches += 1

    def _work(self, request: dict[str, Any]) -> Reply:
        if POISON_MARK in request["body"]:
            self.crash()
            eventlet.sleep(self.behaviour.restart_ms / 1000)
            return 500, {}
        delay_s = self._delay_s()
        if delay_s * 1000 > request["deadline_ms"]:
            self.counts.late += 1
        if not self._wait(delay_s, request["attempt"]):
            self.counts.cancelled += 1
            return 499, {}
        self.counts.ran += 1
        if request["operation"] != "search":
            self.executions[request["body"]] += 1
        return 200, self._reply(request)

    def _reply(self, request: dict[str, Any]) -> dict[str, Any]:
        reply = answer_of(request | self._mistake(request))
        if self.behaviour.padding_bytes:
            reply["padding"] = "x" * self.behaviour.padding_bytes
        return reply

    def _mistake(self, request: dict[str, Any]) -> dict[str, Any]:
        """Returns what the target takes the request for instead."""
        match self.behaviour.misreply:
            case Misreply.ATTEMPT:
                return {"attempt": request["attempt"] + "0", "body": "another"}
            case Misreply.SHARD:
                return {"shard": request["shard"] + 1}
            case Misreply.VERSION:
                return {"version": request["version"] + 1}
            case Misreply.NOTHING:
                return {}

    def _wait(self, delay_s: float, attempt: str) -> bool:
        step_s = 0.005
        while delay_s > 0:
            eventlet.sleep(min(step_s, delay_s))
            delay_s -= step_s
            if attempt in self._cancelled:
                self._cancelled.discard(attempt)
                return False
        return True

    def _delay_s(self) -> float:
        if self._random.random() < self.behaviour.tail_share:
            return self.behaviour.tail_ms / 1000
        return self.behaviour.median_ms * self._random.lognormvariate(0.0, 0.2) / 1000


def answer_of(request: dict[str, Any]) -> dict[str, Any]:
    """Returns the answer that any replica of the shard would give."""
    rows = [_row(request, number) for number in range(ROWS_PER_SHARD)]
    return {
        "attempt": request["attempt"],
        "shard": request["shard"],
        "version": request["version"],
        "rows": sorted(rows, key=lambda row: (-row[1], row[0]))[: _page(request)],
        "matches": ROWS_PER_SHARD,
        "amount": 100 * ROWS_PER_SHARD,
    }


def _page(request: dict[str, Any]) -> int:
    return int(request.get("page_size", ROWS_PER_SHARD))


def _row(request: dict[str, Any], number: int) -> tuple[str, float, str]:
    name = f"{request['index']}/{request['version']}/{request['shard']}/{number}"
    digest = blake2b(f"{name}/{request['body']}".encode(), digest_size=4).digest()
    return name, float(int.from_bytes(digest, "big")), request["body"]
