"""Sends requests from threads with persistent connections and records the outcomes."""

import contextlib
import http.client
import json
import random
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final

from standins.gateway_process import GatewayProcess

# Pause between two requests of a caller; long enough for a machine with other load.
PAUSE_S: Final = 0.03
DEADLINE_S: Final = 2.0
# Socket timeout after which a caller gives up a connection; far beyond any deadline.
SOCKET_TIMEOUT_S: Final = 10.0


class RequestKind(Enum):
    """Kinds of requests; the values are the path prefixes of the routes."""

    LOOKUP = "lookups"
    # Must not run twice.
    ORDER = "orders"
    SEARCH = "searches"


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


class Caller:
    """Sends one request after another on a persistent connection.

    Attributes:
        outcomes: The outcomes of all requests so far.
    """

    def __init__(self, name: str, gateways: Sequence[GatewayProcess]) -> None:
        self._name = name
        self._gateways = gateways
        self._random = random.Random(name)
        self._connection: http.client.HTTPConnection | None = None
        self._gateway = 0
        self.outcomes: list[Outcome] = []

    def run(self, stopped: threading.Event) -> None:
        """Sends requests of random kinds until `stopped` is set."""
        while not stopped.is_set():
            self.send(self._random.choice(list(RequestKind)))
            time.sleep(PAUSE_S)
        self.disconnect()

    def send(self, kind: RequestKind) -> Outcome | None:
        """Sends one request and records its outcome.

        Returns:
            The outcome, or None if no gateway resolved the name of the host.
        """
        connection = self._connect()
        if connection is None:
            return None
        name = f"{self._name}-{len(self.outcomes)}"
        sent_at_s = time.monotonic()
        try:
            outcome = self._exchange(connection, name, kind, sent_at_s)
        except (OSError, http.client.HTTPException):
            self.disconnect()
            ended_at_s = time.monotonic()
            outcome = Outcome(name, kind, self._gateway, sent_at_s, ended_at_s)
        self.outcomes.append(outcome)
        return outcome

    def disconnect(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _exchange(
        self,
        connection: http.client.HTTPConnection,
        name: str,
        kind: RequestKind,
        sent_at_s: float,
    ) -> Outcome:
        headers = {
            "Host": "shop.example",
            "Lavendertide-Request-Id": name,
            "Lavendertide-Deadline-Ms": str(int(DEADLINE_S * 1_000)),
        }
        method = "POST" if kind is RequestKind.ORDER else "GET"
        connection.request(method, f"/{kind.value}/{name}", headers=headers)
        response = connection.getresponse()
        body = response.read()
        ended_at_s = time.monotonic()
        found = response.headers
        signature = found.get("Lavendertide-Server-Stamp", "")
        listed = found.get("Lavendertide-Part-Stamps", signature)
        if found.get("Connection", "").lower() == "close":
            self.disconnect()
        return Outcome(
            name,
            kind,
            self._gateway,
            sent_at_s,
            ended_at_s,
            response.status,
            found.get("Lavendertide-Request-Id", ""),
            body,
            tuple(each for each in listed.split(", ") if each),
            int(found.get("Lavendertide-Missing-Parts", "0")),
        )

    def _connect(self) -> http.client.HTTPConnection | None:
        if self._connection is not None:
            return self._connection
        number = self._resolve()
        if number is None:
            return None
        self._gateway = number
        port = self._gateways[number].ports[0]
        self._connection = http.client.HTTPConnection(
            "127.0.0.1", port, SOCKET_TIMEOUT_S
        )
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

    def __init__(self, count: int, gateways: Sequence[GatewayProcess]) -> None:
        self._stopped = threading.Event()
        self._callers = [Caller(f"c{n}", gateways) for n in range(count)]
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
