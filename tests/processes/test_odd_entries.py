"""Process tests of gateways that read odd entries of another writer."""

import base64
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any, Final

from standins.gateway_process import ROUTES, GatewayProcess, configuration, wait_until
from standins.platform_store import PlainTarget, PlatformStore
from standins.ports import PortBlock

# Bound of the users' sites on noticing that a target leaves.
DRAIN_S: Final = 3.0
# Largest value that the platform's store accepts, before it is encoded.
VALUE_MAX_BYTES: Final = 1_048_576
SOUND: Final = (("t1", "desk"), ("t2", "desk"), ("s0", "shard-0"), ("s1", "shard-1"))


def nested(depth: int) -> bytes:
    """Returns a JSON text of lists in lists."""
    return b"[" * depth + b"]" * depth


class OddEntriesTest(unittest.TestCase):
    """Two gateways read odd entries beside sound ones, and go on following.

    One gateway reads the platform for the other, so an entry that can't be sent on
    would end the other's updates.
    """

    def setUp(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        ports = PortBlock()
        self.addCleanup(ports.release)
        self.store = PlatformStore()
        self.addCleanup(self.store.close)
        self.store.put("op/config", configuration(3, *ROUTES))
        self.targets: dict[str, PlainTarget] = {}
        for name, service in SOUND:
            self.add_target(name, service)
        self.gateways: list[GatewayProcess] = []
        for node in ("m1", "m2"):
            seeds = self.gateways[0].control if self.gateways else ""
            gateway = GatewayProcess(node, folder, self.store.address, seeds, ports)
            self.addCleanup(gateway.stop)
            wait_until(gateway.is_ready)
            self.gateways.append(gateway)

    def add_target(self, name: str, service: str) -> None:
        """Starts a target and registers it."""
        target = PlainTarget(name, service)
        self.addCleanup(target.close)
        self.targets[name] = target
        self.store.put(f"servers/{name}", target.entry())

    def put_odd_entries(self) -> int:
        """Registers odd targets; returns how many."""
        sound = self.targets["t1"].entry()
        changes: tuple[dict[str, Any], ...] = (
            *({"address": f"127.0.0.1:{port}"} for port in (0, -1, 65_536, 10**30)),
            {"address": "127.0.0.1:"},
            {"address": "localhost:80"},
            {"slots": 2**31},
            {"slots": 2**63},
            {"slots": 10**400},
            {"born": -1},
            {"born": 2**63},
            {"born": 10**400},
            {"born": 1e308},
            {"zone": "\ud800"},
            {"service": "desk\r\nX-Injected: 1"},
            {"service": "x" * 100_000},
            {"state": ["ready"]},
        )
        for number, change in enumerate(changes):
            self.store.put(f"servers/odd-{number}", sound | change)
        raw = {
            "deep": nested(100_000),
            "overflow": b'{"slots": 1e999}',
            "digits": b'{"slots": ' + b"9" * 5_000 + b"}",
            "bytes": b"\xff\xfe\x00",
            "empty": b"",
        }
        for name, value in raw.items():
            self.store.put_raw(f"servers/{name}", base64.b64encode(value).decode())
        self.store.put_raw("servers/not-base64", "!")
        self.store.put("servers/name\r\nX-Injected: 1", sound)
        self.store.put("servers/\ud800", sound)
        return len(changes) + len(raw) + 3

    def check_serving(self) -> None:
        """Checks that both gateways serve look-ups and searches."""
        for gateway in self.gateways:
            self.assertEqual(gateway.get("/lookups/x").status, 200)
            search = gateway.get("/searches/x")
            self.assertEqual(search.status, 200)
            self.assertEqual(search.headers["Lavendertide-Missing-Parts"], "0")

    def check_processes(self) -> None:
        """Checks that no process has ended and no task has failed."""
        for gateway in self.gateways:
            self.assertIsNone(gateway.process.poll())
            self.assertNotIn("Traceback", gateway.log_text)
            self.assertNotIn("task failed", gateway.log_text)

    def check_following(self) -> None:
        """Checks that both gateways notice a target that leaves, in time."""
        self.store.put("servers/t1", self.targets["t1"].entry("draining"))
        time.sleep(DRAIN_S)
        ran = len(self.targets["t1"].executed_requests)
        for _ in range(10):
            self.check_serving()
        self.assertEqual(len(self.targets["t1"].executed_requests), ran)

    def test_odd_targets_are_refused_one_by_one(self) -> None:
        odd = self.put_odd_entries()
        time.sleep(1.0)
        self.check_serving()
        self.check_following()
        self.check_processes()
        refused = sum(g.log_text.count('"entry refused"') for g in self.gateways)
        # A line for each entry at the host that reads the platform, some at the other.
        self.assertGreaterEqual(refused, odd)
        self.assertLessEqual(refused, 2 * odd)

    def test_a_gateway_starts_beside_odd_targets(self) -> None:
        self.put_odd_entries()
        for gateway in self.gateways:
            gateway.process.kill()
            gateway.process.wait()
        for gateway in self.gateways:
            gateway.launch()
        for gateway in self.gateways:
            wait_until(gateway.is_ready)
        self.check_serving()
        self.check_following()
        self.check_processes()

    def test_odd_targets_of_the_largest_size_do_not_end_the_following(self) -> None:
        """Their events are more than a gateway reads of one response."""
        value = "!" * (4 * VALUE_MAX_BYTES // 3)
        for number in range(12):
            self.store.put_raw(f"servers/large-{number}", value)
        self.check_following()
        self.store.put("op/config", configuration(11, *ROUTES[:1]))
        wait_until(
            lambda: all(g.get("/orders/x").status == 404 for g in self.gateways),
            DRAIN_S,
        )
        self.check_processes()

    def test_an_odd_configuration_leaves_the_former_in_force(self) -> None:
        sound = configuration(9, *ROUTES)
        self.store.put_raw("op/config", base64.b64encode(nested(100_000)).decode())
        time.sleep(0.5)
        changes: tuple[dict[str, Any], ...] = (
            {"timeout-ms": 1e999},
            {"max-attempts": 10**30},
            {"priority": "first"},
            {"gather": "desk"},
            {"gather": []},
            {"prefix": 7},
        )
        for change in changes:
            odd = [dict(route) for route in ROUTES]
            odd[0] |= change
            self.store.put("op/config", sound | {"routes": odd})
            time.sleep(0.3)
        self.check_serving()
        self.store.put("op/config", configuration(11, *ROUTES[:1]))
        wait_until(
            lambda: all(g.get("/orders/x").status == 404 for g in self.gateways),
            DRAIN_S,
        )
        self.check_processes()
