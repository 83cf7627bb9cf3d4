"""Process tests of requests that run while the operator changes the routes."""

import tempfile
import threading
import unittest
from pathlib import Path
from typing import Any, Final

from standins.gateway_process import GatewayProcess, configuration, route, wait_until
from standins.platform_store import PlainTarget, PlatformStore
from standins.ports import PortBlock

# Time for which the target runs a request, longer than a change takes to arrive.
RUN_S: Final = 1.5
CALLERS: Final = 4
RANKED: Final = tuple(
    route(name, service="desk", priority=rank)
    for rank, name in enumerate(("urgent", "usual", "batch"))
)


class RunningRequestsTest(unittest.TestCase):
    """A change of the routes leaves no running request without its response.

    Guards against LOST beside a change of the configuration: the caller's connection
    was closed although the target had answered.
    """

    def setUp(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        ports = PortBlock()
        self.addCleanup(ports.release)
        self.store = PlatformStore()
        self.addCleanup(self.store.close)
        self.store.put("op/config", configuration(3, *RANKED))
        self.targets = [PlainTarget(name, "desk") for name in ("t1", "t2")]
        for target in self.targets:
            self.addCleanup(target.close)
            self.store.put(f"servers/{target.name}", target.entry())
        self.gateway = GatewayProcess(
            "m1", folder, self.store.address, "", ports, "contracts=pressure\n"
        )
        self.addCleanup(self.gateway.stop)
        wait_until(self.gateway.is_ready)

    def run_beside_change(self, *routes: dict[str, Any]) -> list[int]:
        """Publishes routes while requests run; returns the statuses of these."""
        for target in self.targets:
            target.delay_s = RUN_S
        statuses: list[int] = []

        def call(name: str) -> None:
            statuses.append(self.gateway.get("/batch/x", name=name).status)

        callers = [
            threading.Thread(target=call, args=(f"r{number}",))
            for number in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        wait_until(
            lambda: sum(len(t.executed_requests) for t in self.targets) >= CALLERS
        )
        self.store.put("op/config", configuration(5, *routes))
        wait_until(lambda: self.gateway.get("/added/x").status != 404)
        for caller in callers:
            caller.join()
        return statuses

    def test_the_least_urgent_route_is_removed(self) -> None:
        added = route("added", service="desk", priority=0)
        statuses = self.run_beside_change(*RANKED[:2], added)
        self.assertEqual(statuses, [200] * CALLERS)

    def test_priorities_change(self) -> None:
        added = route("added", service="desk", priority=0)
        equal = [{**each, "priority": 1} for each in RANKED]
        statuses = self.run_beside_change(*equal, added)
        self.assertEqual(statuses, [200] * CALLERS)
