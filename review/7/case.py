"""The store comes back from a copy, and the operator's next version is missed."""

import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import (
    CONFIG_APPLY_S,
    STABLE_S,
    Backend,
    Gateway,
    Record,
    Store,
    ask,
    configuration,
    end,
    free_ports,
    play,
    wait_until,
)

AWAY_S = 1.0
# The copy is from before the last write, some seconds old.
COPY_AGE_S = 3.0
MARGIN_S = 1.0
REQUESTS = 10
ROUNDS = 3
ROUND_S = 4.0


def write_when_back(store: Store, key: str, document: Any) -> float:
    """Writes until the store accepts it; returns when it acknowledged."""
    while True:
        try:
            store.put(key, document)
            return time.monotonic()
        except ConnectionError:
            time.sleep(0.01)


def case(record: Record, folder: Path, with_trouble: bool, started: list[Any]) -> bool:
    """Plays the case; returns whether the rule held."""
    store = Store(record)
    started.append(store)
    backends = [
        Backend(record, f"{service}-{number}", service)
        for service in ("old-desk", "new-desk")
        for number in (1, 2)
    ]
    newcomer = Backend(record, "old-desk-3", "old-desk")
    started += [*backends, newcomer]
    store.put("op/config", configuration(7, "old-desk", "new-desk"))
    for backend in backends:
        store.put(backend.key, backend.entry())

    ports = free_ports(10)
    seeds = [ports[2], ports[7]]
    gateways = []
    for number in (0, 1):
        own = ports[5 * number : 5 * number + 5]
        node = f"frontend-a-{number + 1}"
        gateways.append(Gateway(folder, store.address, node, own, seeds))
        started.append(gateways[-1])
    for gateway in gateways:
        wait_until(lambda g=gateway: g.is_ready, 30, f"{gateway.node} is not ready")
    time.sleep(5)

    copy = store.copy()
    # A backend is added. It is the last write before the drill, and all machines have
    # seconds to read it.
    store.put(newcomer.key, newcomer.entry())
    time.sleep(COPY_AGE_S)
    if with_trouble:
        store.stop()
        time.sleep(AWAY_S)
        store.come_back(copy)
    back_at_s = time.monotonic()
    acked_at_s = write_when_back(
        store, "op/config", configuration(9, "new-desk", "old-desk")
    )
    record.add("operator: version 9 acknowledged; the route leads to new-desk")
    if with_trouble:
        # Written again with its next heartbeat.
        time.sleep(0.6)
        store.put(newcomer.key, newcomer.entry())

    late = []
    due_at_s = max(acked_at_s + CONFIG_APPLY_S, back_at_s + STABLE_S) + MARGIN_S
    for turn in range(ROUNDS):
        time.sleep(max(0.0, due_at_s + turn * ROUND_S - time.monotonic()))
        for gateway in gateways:
            for number in range(REQUESTS):
                request = f"{gateway.node}-{turn}-{number}"
                _, body = ask(record, gateway, request)
                if body.endswith(b"of old-desk"):
                    late.append(request)
    total = ROUNDS * REQUESTS * len(gateways)
    record.add(f"judged: {len(late)} of {total} requests were run by old-desk")
    return not late


if __name__ == "__main__":
    end(play(Path(__file__).resolve().parent, case))
