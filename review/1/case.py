"""A late second copy of a rejection is taken for the answer to the next send.

The same request is sent again on the same connection, and bears the same id.
"""

import random
import socket
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Final

from common import (
    Backend,
    Client,
    Deployment,
    Request,
    configuration,
    is_troubled,
    route,
    run_case,
)

GATEWAYS: Final = 2
SERVICES: Final = 20
# The dose of "garble" with how "extra late" in the site file.
GARBLED_SHARE: Final = 0.6
COPIED: Final = 0.03
GARBLED_S: Final = 5.0
BETWEEN_S: Final = 2.0
# Requests a second to each service. A backend can run five a second.
RATE: Final = 5.0
WORK_S: Final = 0.4
PLAY_S: Final = 82.0
DEADLINE_MS: Final = 6_000
MAX_CONNS: Final = 26


@dataclass
class CopyingBackend(Backend):
    """A backend that sends a second copy of some answers, late.

    The copy is sent at the point where the next answer on the connection is expected.
    """

    is_garbling: bool = False
    copies: dict[socket.socket, bytes] = field(default_factory=dict)

    def answer(
        self, connection: socket.socket, request: Request, status: int, body: bytes
    ) -> None:
        """Sends an answer and sometimes keeps a copy of it."""
        super().answer(connection, request, status, body)
        if self.is_garbling and random.random() < COPIED:
            self.copies[connection] = self.render(request, status, body)
            self.record.write(f"{self.name}: {request.name} has a late copy, {status}")

    def handle_arrival(self, connection: socket.socket, request: Request) -> None:
        """Sends the copy of an earlier answer before the request is answered."""
        copy = self.copies.pop(connection, None)
        if copy is not None:
            connection.sendall(copy)
            self.record.write(f"{self.name}: late copy sent, {request.name} is waiting")


def play(deployment: Deployment) -> bool:
    """Sends requests that must run once at most to backends that are often full."""
    record = deployment.record
    random.seed(7)
    names = [f"desk-{number}" for number in range(SERVICES)]
    backends = [
        CopyingBackend(f"i-{name}", name, record, work_s=WORK_S, queue=2)
        for name in names
    ]
    for backend in backends:
        deployment.add(backend)
    routes = [route(n, n, "non_idempotent", DEADLINE_MS, 702) for n in names]
    services = dict.fromkeys(names, MAX_CONNS)
    deployment.store.put("op/config", configuration(1, routes, services))
    deployment.start_gateways(GATEWAYS)
    stop = threading.Event()
    if is_troubled():
        garbled = backends[: int(GARBLED_SHARE * len(backends))]
        threading.Thread(target=_garble, args=(deployment, garbled, stop)).start()
    answers: dict[str, int | None] = {}
    clients = [
        threading.Thread(target=_send_all, args=(deployment, name, answers))
        for name in names
    ]
    for each in clients:
        each.start()
    for each in clients:
        each.join()
    stop.set()
    # Requests that were given up may still run.
    time.sleep(2.0)
    return _judge(deployment, answers)


def _garble(
    deployment: Deployment, backends: list[CopyingBackend], stop: threading.Event
) -> None:
    while not stop.is_set():
        for is_garbling in (True, False):
            deployment.record.write(f"garbling: {is_garbling}")
            for backend in backends:
                backend.is_garbling = is_garbling
            stop.wait(GARBLED_S if is_garbling else BETWEEN_S)


def _send_all(
    deployment: Deployment, service: str, answers: dict[str, int | None]
) -> None:
    ends_at_s = time.monotonic() + PLAY_S
    number = 0
    senders: list[threading.Thread] = []
    while time.monotonic() < ends_at_s:
        time.sleep(random.expovariate(RATE))
        number += 1
        gateway = deployment.gateways[number % len(deployment.gateways)]
        sender = threading.Thread(
            target=_send_one,
            args=(deployment, gateway.port, service, f"{service}-r{number}", answers),
        )
        sender.start()
        senders.append(sender)
    for sender in senders:
        sender.join()


def _send_one(
    deployment: Deployment,
    port: int,
    service: str,
    name: str,
    answers: dict[str, int | None],
) -> None:
    client = Client(port, deployment.record)
    answer = client.send("POST", f"/{service}/x", name, DEADLINE_MS, body=b"order")
    answers[name] = answer.status
    client.close()


def _judge(deployment: Deployment, answers: dict[str, int | None]) -> bool:
    runs = Counter(name for each in deployment.backends for name, _ in each.runs)
    twice = sorted(name for name, count in runs.items() if count > 1)
    denied = sorted(
        name for name, status in answers.items() if status in (429, 503) and runs[name]
    )
    counts = Counter(answers.values())
    summary = (
        f"sent {len(answers)}, answers {dict(counts)}; "
        f"TWICE: ran more than once {len(twice)} {twice[:5]}; "
        f"REFUSED: answered 503 and ran {len(denied)} {denied[:5]}"
    )
    deployment.record.write(summary)
    print(summary)
    return not twice and not denied


if __name__ == "__main__":
    run_case(__file__, play)
