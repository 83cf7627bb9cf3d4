"""Callers in threads that keep connections open and note what each request met."""

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

# Between two requests of one caller; slow enough for a machine with other work.
PAUSE_S: Final = 0.03
DEADLINE_S: Final = 2.0
# After which a caller takes a connection for dead, far beyond any deadline.
DEAD_S: Final = 10.0


class Kind(Enum):
    """What a caller asks; the values are the paths of the routes."""

    LOOKUP = "lookups"
    # May not run twice.
    ORDER = "orders"
    SEARCH = "searches"


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of one request.

    Attributes:
        gateway: The one it was sent to.
        status: Zero if the connection ended instead.
        signatures: The targets that the response names.
        missing: Shards that the response leaves out.
    """

    name: str
    kind: Kind
    gateway: int
    sent_at_s: float
    ended_at_s: float
    status: int = 0
    echoed: str = ""
    body: bytes = b""
    signatures: tuple[str, ...] = ()
    missing: int = 0


class Caller:
    """Sends one request after another on a connection that it keeps."""

    def __init__(self, name: str, gateways: Sequence[GatewayProcess]) -> None:
        self._name = name
        self._gateways = gateways
        self._random = random.Random(name)
        self._connection: http.client.HTTPConnection | None = None
        self._gateway = 0
        self.outcomes: list[Outcome] = []

    def run(self, stopped: threading.Event) -> None:
        """Sends until it is stopped."""
        while not stopped.is_set():
            self.send(self._random.choice(list(Kind)))
            time.sleep(PAUSE_S)
        self.leave()

    def send(self, kind: Kind) -> Outcome | None:
        """Sends one request; none if no gateway says where to."""
        connection = self._connect()
        if connection is None:
            return None
        name = f"{self._name}-{len(self.outcomes)}"
        sent_at_s = time.monotonic()
        try:
            outcome = self._exchange(connection, name, kind, sent_at_s)
        except (OSError, http.client.HTTPException):
            self.leave()
            ended_at_s = time.monotonic()
            outcome = Outcome(name, kind, self._gateway, sent_at_s, ended_at_s)
        self.outcomes.append(outcome)
        return outcome

    def leave(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _exchange(
        self,
        connection: http.client.HTTPConnection,
        name: str,
        kind: Kind,
        sent_at_s: float,
    ) -> Outcome:
        headers = {
            "Host": "shop.example",
            "Lavendertide-Request-Id": name,
            "Lavendertide-Deadline-Ms": str(int(DEADLINE_S * 1_000)),
        }
        method = "POST" if kind is Kind.ORDER else "GET"
        connection.request(method, f"/{kind.value}/{name}", headers=headers)
        response = connection.getresponse()
        body = response.read()
        ended_at_s = time.monotonic()
        found = response.headers
        signature = found.get("Lavendertide-Server-Stamp", "")
        listed = found.get("Lavendertide-Part-Stamps", signature)
        if found.get("Connection", "").lower() == "close":
            self.leave()
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
        self._connection = http.client.HTTPConnection("127.0.0.1", port, DEAD_S)
        return self._connection

    def _resolve(self) -> int | None:
        """Asks gateways one after another which of them to use."""
        asked = list(self._gateways)
        self._random.shuffle(asked)
        by_address = {
            f"127.0.0.1:{gateway.ports[0]}": number
            for number, gateway in enumerate(self._gateways)
        }
        for gateway in asked:
            with contextlib.suppress(OSError, http.client.HTTPException, ValueError):
                answer = json.loads(self._ask(gateway))
                named = [by_address[address] for address in answer["addrs"]]
                if named:
                    return self._random.choice(named)
        return None

    def _ask(self, gateway: GatewayProcess) -> bytes:
        connection = http.client.HTTPConnection("127.0.0.1", gateway.ports[3], 0.5)
        try:
            connection.request(
                "GET", "/api/resolve?name=shop.example&region=north&zone=a"
            )
            return connection.getresponse().read()
        finally:
            connection.close()


class Callers:
    """Several callers, each in a thread."""

    def __init__(self, count: int, gateways: Sequence[GatewayProcess]) -> None:
        self._stopped = threading.Event()
        self._callers = [Caller(f"c{n}", gateways) for n in range(count)]
        self._threads = [
            threading.Thread(target=caller.run, args=(self._stopped,))
            for caller in self._callers
        ]

    @property
    def outcomes(self) -> list[Outcome]:
        """What all their requests met."""
        return [each for caller in self._callers for each in caller.outcomes]

    def __enter__(self) -> "Callers":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()
