"""A request that crashes its backends comes again and is never held back.

The service has two backends, which start again under the ids that they had.
"""

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
    Store,
    configuration,
    is_troubled,
    route,
    run_case,
)

GATEWAYS: Final = 2
BACKENDS: Final = 2
MAX_CONNS: Final = 110
BACK_AFTER_S: Final = 2.0
# The store has a backend's new entry this long after its start.
ENTRY_LAG_S: Final = 0.8
STABLE_S: Final = 4.0
PLAY_S: Final = 60.0
POISON_EVERY_S: Final = 4.0
ORDERS_PER_S: Final = 5.0
ORDER_WORK_S: Final = 0.2
DEADLINE_MS: Final = 3_000
# The rule counts from the third crash and allows three retries.
CRASHES_TO_KNOW: Final = 3
RETRIES_MAX: Final = 3
POISON: Final = "/desk/poison"


@dataclass
class CrashingBackend(Backend):
    """A backend that crashes when it begins to run one request, and comes back.

    Attributes:
        store: Where it registers again.
        crashes: Ids of the requests that have crashed it, with the time.
    """

    store: Store | None = None
    crashes: list[tuple[str, float]] = field(default_factory=list)

    def handle_arrival(self, connection: socket.socket, request: Request) -> None:
        """Crashes if the request is the poisonous one."""
        is_own = request.headers.get("lavendertide-expect-instance") == self.name
        if request.path != POISON or not is_own:
            return
        self.record.write(f"{self.name}: {request.name} CRASHES it")
        self.crashes.append((request.name, time.monotonic()))
        self.end()
        threading.Thread(target=self._come_back, daemon=True).start()
        raise ConnectionResetError

    def _come_back(self) -> None:
        time.sleep(BACK_AFTER_S)
        self.start_again()
        self.record.write(f"{self.name}: starts again")
        time.sleep(ENTRY_LAG_S)
        if self.store is not None:
            self.store.put(f"servers/{self.name}", self.entry())


def play(deployment: Deployment) -> bool:
    """Repeats a request that crashes backends, beside orders that run once at most."""
    record = deployment.record
    backends = [
        CrashingBackend(f"i-desk-{number}", "desk", record, work_s=ORDER_WORK_S)
        for number in range(BACKENDS)
    ]
    for backend in backends:
        backend.store = deployment.store
        deployment.add(backend)
    routes = [
        route("desk", "desk", "idempotent", DEADLINE_MS, 702),
        route("order", "desk", "non_idempotent", DEADLINE_MS, 702),
    ]
    deployment.store.put("op/config", configuration(1, routes, {"desk": MAX_CONNS}))
    deployment.start_gateways(GATEWAYS)
    orders: Counter[str] = Counter()
    stop = threading.Event()
    sender = threading.Thread(target=_send_orders, args=(deployment, orders, stop))
    sender.start()
    # One caller, which keeps its connection to one machine.
    caller = Client(deployment.gateways[0].port, record)
    ends_at_s = time.monotonic() + PLAY_S
    number = 0
    while time.monotonic() < ends_at_s:
        number += 1
        if is_troubled():
            caller.send("GET", POISON, f"poison-{number}", DEADLINE_MS)
        time.sleep(POISON_EVERY_S)
    caller.close()
    stop.set()
    sender.join()
    crashes = sorted(
        (crash for each in backends for crash in each.crashes),
        key=lambda crash: crash[1],
    )
    late: set[str] = set()
    if len(crashes) >= CRASHES_TO_KNOW:
        known_at_s = crashes[CRASHES_TO_KNOW - 1][1] + STABLE_S
        late = {name for name, at_s in crashes if at_s > known_at_s}
    summary = (
        f"crashes {len(crashes)}; BUDGET: {len(late)} retries reached backends over "
        f"4 s after the third crash; orders beside it: {dict(orders)}"
    )
    record.write(summary)
    print(summary)
    return len(late) <= RETRIES_MAX


def _send_orders(
    deployment: Deployment, orders: Counter[str], stop: threading.Event
) -> None:
    senders = []
    number = 0
    while not stop.wait(1 / ORDERS_PER_S):
        number += 1
        gateway = deployment.gateways[number % len(deployment.gateways)]
        sender = threading.Thread(
            target=_send_order,
            args=(deployment, gateway.port, f"order-{number}", orders),
        )
        sender.start()
        senders.append(sender)
    for sender in senders:
        sender.join()


def _send_order(
    deployment: Deployment, port: int, name: str, orders: Counter[str]
) -> None:
    client = Client(port, deployment.record)
    answer = client.send("POST", "/order/x", name, DEADLINE_MS, body=b"order")
    orders[str(answer.status)] += 1
    client.close()


if __name__ == "__main__":
    run_case(__file__, play)
