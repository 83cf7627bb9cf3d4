"""Process tests of gateways whose store is restored while requests flow."""

import json
import os
import random
import tempfile
import threading
import time
import unittest
from pathlib import Path
from typing import Any, Final

from standins.forwarding_records import DESK
from standins.gateway_process import (
    GatewayProcess,
    configuration,
    route,
    wait_until,
)
from standins.platform_store import Absence, PlainTarget, PlatformStore
from standins.ports import PortBlock
from tests.run import DEFAULT_SEED, SEED_VARIABLE

CONFIGURATION: Final = "op/config"
GATEWAYS: Final = 3
# Time from the second writing until all hosts are at the store's state.
FOLLOWED_S: Final = 2.0
# `bounds.drain-ms` of the gateways.
DRAIN_S: Final = 3.0
REQUEST_PAUSE_S: Final = 0.02
METRICS_PORT: Final = 4


class StoreRestoredTest(unittest.TestCase):
    """No request fails by a restoration, and no change of the store is missed."""

    def setUp(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        ports = PortBlock()
        self.addCleanup(ports.release)
        self.store = PlatformStore()
        self.addCleanup(self.store.close)
        self.store.put(CONFIGURATION, configuration(3, route("lookups", service=DESK)))
        self.targets = {name: self.add_target(name, DESK) for name in ("a", "b")}
        self.targets["o"] = self.add_target("o", "other")
        self.gateways: list[GatewayProcess] = []
        for number in range(GATEWAYS):
            seeds = ",".join(each.control for each in self.gateways)
            gateway = GatewayProcess(
                f"m{number}", folder, self.store.address, seeds, ports
            )
            self.addCleanup(gateway.stop)
            self.gateways.append(gateway)
        for gateway in self.gateways:
            wait_until(gateway.is_ready)
        self.stopped = threading.Event()
        self.statuses: list[int] = []

    def add_target(self, name: str, service: str) -> PlainTarget:
        """Starts a target and registers it."""
        target = PlainTarget(name, service)
        self.addCleanup(target.close)
        self.store.put(f"servers/{name}", target.entry())
        return target

    def send_requests(self, gateway: GatewayProcess) -> None:
        """Sends one lookup after another and records the statuses."""
        while not self.stopped.wait(REQUEST_PAUSE_S):
            self.statuses.append(gateway.get("/lookups/x").status)

    def is_followed(self) -> bool:
        """Returns whether all gateways have read all that the store has."""
        expected = {"era": self.store.era, "revision": self.store.revision}
        for gateway in self.gateways:
            response: Any = gateway.get("/status", METRICS_PORT)
            found = json.loads(response.body)["store"]
            if {key: found[key] for key in expected} != expected:
                return False
        return True

    def restore(self, draw: random.Random) -> None:
        """Has the store lose two writes, and has them made again after a change."""
        copy = self.store.copy()
        late = self.add_target("late", DESK)
        draining = self.targets["a"].entry("draining")
        self.store.put("servers/a", draining)
        wait_until(self.is_followed)
        time.sleep(draw.uniform(0.0, 2.0))
        self.store.go_away(draw.choice(list(Absence)))
        time.sleep(draw.uniform(0.0, 1.0))
        self.store.come_back(copy)
        time.sleep(draw.choice([0.0, draw.uniform(0.0, 1.0)]))
        moved = configuration(9, route("lookups", service="other"))
        lost: list[tuple[str, Any]] = [
            ("servers/late", late.entry()),
            ("servers/a", draining),
        ]
        draw.shuffle(lost)
        # It takes the first of the revisions that were lost.
        for key, document in [(CONFIGURATION, moved), *lost]:
            self.store.put(key, document)

    def test_requests_go_on_and_all_changes_are_followed(self) -> None:
        draw = random.Random(os.environ.get(SEED_VARIABLE, DEFAULT_SEED))
        callers = [
            threading.Thread(target=self.send_requests, args=(gateway,))
            for gateway in self.gateways
        ]
        for caller in callers:
            caller.start()
        try:
            self.restore(draw)
            wait_until(self.is_followed, FOLLOWED_S)
            time.sleep(DRAIN_S)
            counts = [len(self.targets[name].executed_requests) for name in "ab"]
            time.sleep(1.0)
        finally:
            self.stopped.set()
            for caller in callers:
                caller.join()
        self.assertEqual(set(self.statuses), {200})
        # All requests have moved to the other service.
        after = [len(self.targets[name].executed_requests) for name in "ab"]
        self.assertEqual(after, counts)
        self.assertTrue(self.targets["o"].executed_requests)
