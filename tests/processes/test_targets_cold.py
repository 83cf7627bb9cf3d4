"""Process tests of cold targets, with stand-ins for the platform and its targets."""

import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

from lavendertide.warmup.allowance import ColdBounds
from standins.gateway_process import ROUTES, GatewayProcess, configuration, wait_until
from standins.platform_store import PlainTarget, PlatformStore
from standins.ports import PortBlock

COLD_PER_S = 4
LOAD_S = 3.0
# A gateway takes nothing of an allowance for the first seconds.
STARTED_IN_S = 25.0


class ColdServiceTest(unittest.TestCase):
    """Guards against gateways that together send a cold target more than it can take.

    Both know each other, and callers ask for many times the allowance.
    """

    def setUp(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.ports = PortBlock()
        self.addCleanup(self.ports.release)
        self.store = PlatformStore()
        self.addCleanup(self.store.close)
        published = configuration(3, *ROUTES)
        for service in published["services"]:
            service |= {"cold-start-s": 60, "cold-per-s": COLD_PER_S}
        self.store.put("op/config", published)
        self.target = PlainTarget("t1", "desk")
        self.addCleanup(self.target.close)
        self.put_entry(cold_left_ms=120_000)
        self.gateways: list[GatewayProcess] = []
        for node in ("m1", "m2"):
            seeds = ",".join(gateway.control for gateway in self.gateways)
            gateway = GatewayProcess(
                node, folder, self.store.address, seeds, self.ports
            )
            self.addCleanup(gateway.stop)
            self.gateways.append(gateway)

    def put_entry(self, cold_left_ms: int) -> None:
        """Publishes the target's entry."""
        entry: dict[str, Any] = self.target.entry()
        self.store.put("servers/t1", {**entry, "cold-left-ms": cold_left_ms})

    def test_both_serve_within_the_allowance_and_refuse_the_rest(self) -> None:
        for gateway in self.gateways:
            wait_until(gateway.is_ready)
        for gateway in self.gateways:
            wait_until(
                lambda g=gateway: g.get("/lookups/w").status == 200,  # type: ignore[misc]
                STARTED_IN_S,
            )
        time.sleep(1.5)
        before = len(self.target.executed_requests)
        served, refused = 0, []
        began_s = time.monotonic()
        while time.monotonic() - began_s < LOAD_S:
            for gateway in self.gateways:
                response = gateway.get("/lookups/x")
                if response.status == 200:
                    served += 1
                else:
                    refused.append(response)
        windows = int(time.monotonic() - began_s) + 1
        executed = len(self.target.executed_requests) - before
        self.assertEqual(executed, served)
        self.assertGreater(served, 0)
        self.assertLessEqual(served, windows * ColdBounds().spendable(COLD_PER_S))
        self.assertTrue(refused)
        for response in refused:
            self.assertEqual(response.status, 503)
            self.assertEqual(response.body, b"targets_cold\n")  # type: ignore[attr-defined]
            self.assertLess(float(response.headers["Retry-After"]), 2.0)
