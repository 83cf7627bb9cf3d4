"""Process tests of cold targets, with stand-ins for the platform and its targets."""

import json
import re
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

    def wait_for_parts(self) -> None:
        """Waits until both gateways send to the target, and a window is over."""
        for gateway in self.gateways:
            wait_until(gateway.is_ready)
        for gateway in self.gateways:
            wait_until(
                lambda g=gateway: g.get("/lookups/w").status == 200,  # type: ignore[misc]
                STARTED_IN_S,
            )
        time.sleep(1.5)

    def test_a_busy_gateway_gets_what_an_idle_one_has(self) -> None:
        """Guards against transfers that real links, dialled late, do not complete."""
        self.wait_for_parts()
        before = len(self.target.executed_requests)
        began_s = time.monotonic()
        while time.monotonic() - began_s < LOAD_S:
            self.gateways[0].get("/lookups/x")
            time.sleep(0.02)
        windows = int(time.monotonic() - began_s) + 1
        executed = len(self.target.executed_requests) - before
        self.assertLessEqual(executed, windows * ColdBounds().spendable(COLD_PER_S))
        metrics = self.gateways[0].get("/metrics", 4).body  # type: ignore[attr-defined]
        received = re.search(rb"(?m)^lavendertide_cold_received_total (\S+)", metrics)
        assert received is not None
        self.assertGreater(float(received[1]), 0.0)
        status = json.loads(
            self.gateways[0].get("/status", 4).body  # type: ignore[attr-defined]
        )
        (cold,) = status["cold"]
        self.assertEqual((status["cold_count"], cold["target"]), (1, "t1"))
        self.assertGreater(cold["part"], 0)

    def test_both_serve_within_the_allowance_and_refuse_the_rest(self) -> None:
        self.wait_for_parts()
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
