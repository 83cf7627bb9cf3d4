"""Sends requests from threads in several manners and records the outcomes."""

import contextlib
import http.client
import json
import random
import threading
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final

from soak.connection import CallerConnection, Reply, Request
from standins.gateway_process import GatewayProcess

# Pause between two requests of a caller; long enough for a machine with other load.
PAUSE_S: Final = 0.03
DEADLINE_S: Final = 2.0
# Socket timeout after which a caller gives up a connection; far beyond any deadline.
SOCKET_TIMEOUT_S: Final = 10.0
# Now and then a connection is idle for longer: two thirds of the shortest limit.
LONG_PAUSE_S: Final = 2.0
LONG_PAUSE_SHARE: Final = 0.02
# A body that doesn't fit into one segment; less than the default limit of bodies.
BODY_CHUNKS: Final = (b"x" * 8_192,) * 8
# Callers that keep connections: two for each gateway.
KEPT_CALLERS: Final = 6


class RequestKind(Enum):
    """Kinds of requests; the values are the path prefixes of the routes."""

    LOOKUP = "lookups"
    # Must not run twice.
    ORDER = "orders"
    SEARCH = "searches"


class Manner(Enum):
    """How a caller uses its connections."""

    # One request after another on a persistent connection.
    KEPT = "kept"
    # Two requests at once.
    PIPELINED = "pipelined"
    # A long body in chunks.
    CHUNKED = "chunked"
    # A body that is sent only after an interim response.
    EXPECTING = "expecting"
    # The sending side ends after each request.
    HALF_CLOSED = "half-closed"


@dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of one request.

    Attributes:
        name: Id of the request.
        gateway: Number of the gateway that received the request.
        status: HTTP status, or 0 if the connection ended without a response.
        echoed: The request id that the response carries.
        signatures: The targets that the response names.
        missing: Number of shards that the response lacks.
        is_behind_last: Whether it has no response since that to a request before it
            announced the end of the connection.
        is_unsent: Whether the gateway refused the connection.
        is_dropped: Whether the gateway had closed the idle connection before. The
            request is sent again under another name, and its times are those from and
            until which the connection was idle.
    """

    name: str
    kind: RequestKind
    gateway: int
    sent_at_s: float
    ended_at_s: float
    status: int = 0
    echoed: str = ""
    body: bytes = b""
    signatures: tuple[str, ...] = ()
    missing: int = 0
    is_behind_last: bool = False
    is_unsent: bool = False
    is_dropped: bool = False


@dataclass(frozen=True, slots=True)
class _SentRequest:
    name: str
    kind: RequestKind
    sent_at_s: float


class Caller:
    """Sends one request after another, in one manner.

    Attributes:
        outcomes: The outcomes of all requests so far.
    """

    def __init__(
        self,
        name: str,
        gateways: Sequence[GatewayProcess],
        manner: Manner = Manner.KEPT,
    ) -> None:
        self._name = name
        self._gateways = gateways
        self._manner = manner
        self._random = random.Random(name)
        self._connection: CallerConnection | None = None
        self._gateway = 0
        self._sent = 0
        self._used_at_s = 0.0
        self.outcomes: list[Outcome] = []

    def run(self, stopped: threading.Event) -> None:
        """Sends requests of random kinds until `stopped` is set."""
        while not stopped.is_set():
            self.send(self._draw_kind())
            is_long = self._random.random() < LONG_PAUSE_SHARE
            stopped.wait(LONG_PAUSE_S if is_long else PAUSE_S)
        self.disconnect()

    def send(self, kind: RequestKind) -> Outcome | None:
        """Sends a request, or two that are pipelined, and records the outcomes.

        Returns:
            The last outcome, or None if no gateway resolved the name of the host.
        """
        if self._connection is not None and self._connection.is_closed:
            self._record_dropped(kind)
        if self._connection is None:
            number = self._resolve()
            if number is None:
                return None
            self._gateway = number
        match self._manner:
            case Manner.PIPELINED:
                self._exchange([self._next(kind), self._next(self._draw_kind())])
            case _:
                self._exchange([self._next(kind)])
        return self.outcomes[-1]

    def disconnect(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _record_dropped(self, kind: RequestKind) -> None:
        self.disconnect()
        request = self._next(kind)
        dropped = Outcome(
            request.name,
            kind,
            self._gateway,
            self._used_at_s,
            request.sent_at_s,
            is_dropped=True,
        )
        self.outcomes.append(dropped)

    def _draw_kind(self) -> RequestKind:
        return self._random.choice(list(RequestKind))

    def _next(self, kind: RequestKind) -> _SentRequest:
        self._sent += 1
        return _SentRequest(f"{self._name}-{self._sent}", kind, time.monotonic())

    def _exchange(self, sent: Sequence[_SentRequest]) -> None:
        replies: list[Reply] = []
        with contextlib.suppress(OSError):
            for reply in self._replies(self._connect(), sent):
                replies.append(reply)
                self.outcomes.append(self._outcome(sent[len(replies) - 1], reply))
        is_last = bool(replies) and replies[-1].is_last
        self._used_at_s = ended_at_s = time.monotonic()
        for each in sent[len(replies) :]:
            outcome = Outcome(
                each.name,
                each.kind,
                self._gateway,
                each.sent_at_s,
                ended_at_s,
                is_behind_last=is_last,
                is_unsent=self._connection is None,
            )
            self.outcomes.append(outcome)
        if is_last or len(replies) < len(sent) or self._manner is Manner.HALF_CLOSED:
            self.disconnect()

    def _replies(
        self, connection: CallerConnection, sent: Sequence[_SentRequest]
    ) -> Iterable[Reply]:
        requests = [self._request(each) for each in sent]
        match self._manner:
            case Manner.PIPELINED:
                yield from connection.pipeline(requests)
            case Manner.HALF_CLOSED:
                yield connection.exchange_and_end_sending(requests[0])
            case Manner.KEPT | Manner.CHUNKED | Manner.EXPECTING:
                yield connection.exchange(requests[0])

    def _request(self, sent: _SentRequest) -> Request:
        headers = {
            "Host": "shop.example",
            "Lavendertide-Request-Id": sent.name,
            "Lavendertide-Deadline-Ms": str(int(DEADLINE_S * 1_000)),
        }
        path = f"/{sent.kind.value}/{sent.name}"
        expects = self._manner is Manner.EXPECTING
        if expects or self._manner is Manner.CHUNKED:
            return Request("POST", path, headers, BODY_CHUNKS, expects)
        method = "POST" if sent.kind is RequestKind.ORDER else "GET"
        return Request(method, path, headers)

    def _outcome(self, sent: _SentRequest, reply: Reply) -> Outcome:
        found = reply.headers
        signature = found.get("lavendertide-server-stamp", "")
        listed = found.get("lavendertide-part-stamps", signature)
        return Outcome(
            sent.name,
            sent.kind,
            self._gateway,
            sent.sent_at_s,
            time.monotonic(),
            reply.status,
            found.get("lavendertide-request-id", ""),
            reply.body,
            tuple(each for each in listed.split(", ") if each),
            int(found.get("lavendertide-missing-parts", "0")),
        )

    def _connect(self) -> CallerConnection:
        if self._connection is None:
            port = self._gateways[self._gateway].ports[0]
            self._connection = CallerConnection(port, SOCKET_TIMEOUT_S)
        return self._connection

    def _resolve(self) -> int | None:
        """Resolves the host name at the gateways, in random order, until one replies.

        Returns:
            The number of the gateway to connect to, or None if no gateway replied with
            an address.
        """
        shuffled = list(self._gateways)
        self._random.shuffle(shuffled)
        by_address = {
            f"127.0.0.1:{gateway.ports[0]}": number
            for number, gateway in enumerate(self._gateways)
        }
        for gateway in shuffled:
            with contextlib.suppress(OSError, http.client.HTTPException, ValueError):
                reply = json.loads(self._request_resolution(gateway))
                resolved = [by_address[address] for address in reply["addrs"]]
                if resolved:
                    return self._random.choice(resolved)
        return None

    def _request_resolution(self, gateway: GatewayProcess) -> bytes:
        connection = http.client.HTTPConnection("127.0.0.1", gateway.ports[3], 0.5)
        try:
            connection.request(
                "GET", "/api/resolve?name=shop.example&region=north&zone=a"
            )
            return connection.getresponse().read()
        finally:
            connection.close()


class Callers:
    """Runs several callers, each in a thread, while the context is open."""

    def __init__(self, gateways: Sequence[GatewayProcess]) -> None:
        self._stopped = threading.Event()
        manners: list[Manner] = [Manner.KEPT] * KEPT_CALLERS
        manners += (manner for manner in Manner if manner is not Manner.KEPT)
        self._callers = [
            Caller(f"{manner.value}-{number}", gateways, manner)
            for number, manner in enumerate(manners)
        ]
        self._threads = [
            threading.Thread(target=caller.run, args=(self._stopped,))
            for caller in self._callers
        ]

    @property
    def outcomes(self) -> list[Outcome]:
        """The outcomes of the requests of all callers."""
        return [each for caller in self._callers for each in caller.outcomes]

    def __enter__(self) -> "Callers":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()
