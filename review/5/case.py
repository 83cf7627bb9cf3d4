"""Calls that wait for a connection are sent to a backend that has drained."""

import threading
import time
from collections import Counter
from typing import Final

from common import (
    Backend,
    Client,
    Deployment,
    configuration,
    is_troubled,
    route,
    run_case,
)

GATEWAYS: Final = 1
# Work and rate of the request on the sheet, and the largest "srv_slow" of a site file.
WORK_S: Final = 0.192
SLOW_FACTOR: Final = 12.0
SLOW_S: Final = 8.0
RATE: Final = 11.2
DEADLINE_MS: Final = 6_000
DRAIN_S: Final = 3.0
# How long the old backend serves after its draining was accepted.
SERVES_S: Final = 6.5
SENDING_S: Final = 4.0


def play(deployment: Deployment) -> bool:
    """Replaces a slow backend while requests wait for it."""
    record = deployment.record
    old = Backend("i-old", "desk", record, slots=2, queue=12, work_s=WORK_S)
    deployment.add(old)
    other = Backend("i-other", "desk", record, slots=2, queue=12, work_s=WORK_S)
    deployment.add(other)
    routes = [route("desk", "desk", "non_idempotent", DEADLINE_MS, 702)]
    deployment.store.put("op/config", configuration(1, routes, {"desk": 26}))
    deployment.start_gateways(GATEWAYS)
    answers: Counter[str] = Counter()
    stop = threading.Event()
    sender = threading.Thread(target=_send_all, args=(deployment, answers, stop))
    sender.start()
    time.sleep(2.0)
    if is_troubled():
        record.write("i-old turns slow")
        old.work_s = SLOW_FACTOR * WORK_S
        threading.Timer(SLOW_S, setattr, (old, "work_s", WORK_S)).start()
    time.sleep(2.0)
    new = Backend("i-new", "desk", record, slots=2, queue=12, work_s=WORK_S)
    deployment.add(new)
    time.sleep(0.5)
    drained_at_s = deployment.store.put("servers/i-old", old.entry("draining"))
    record.write("the draining of i-old is acknowledged")
    time.sleep(SENDING_S)
    stop.set()
    time.sleep(max(0.0, drained_at_s + SERVES_S - time.monotonic()))
    record.write("i-old ends")
    old.end()
    sender.join()
    late = [s - drained_at_s for _, s in old.arrivals if s > drained_at_s + DRAIN_S]
    summary = (
        f"answers {dict(answers)}; DRAIN: {len(late)} requests reached the draining "
        f"backend over 3 s after its acknowledgement, at "
        f"{[round(each, 2) for each in late[:8]]} s"
    )
    record.write(summary)
    print(summary)
    return not late


def _send_all(
    deployment: Deployment, answers: Counter[str], stop: threading.Event
) -> None:
    number = 0
    senders = []
    while not stop.wait(1 / RATE):
        number += 1
        gateway = deployment.gateways[number % len(deployment.gateways)]
        sender = threading.Thread(
            target=_send_one, args=(deployment, gateway.port, f"r{number}", answers)
        )
        sender.start()
        senders.append(sender)
    for sender in senders:
        sender.join()


def _send_one(
    deployment: Deployment, port: int, name: str, answers: Counter[str]
) -> None:
    client = Client(port, deployment.record)
    answer = client.send("POST", "/desk/x", name, DEADLINE_MS, body=b"order")
    answers[str(answer.status)] += 1
    client.close()


if __name__ == "__main__":
    run_case(__file__, play)
