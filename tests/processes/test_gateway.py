"""Tests of gateways as processes, on stand-ins of the platform and its targets."""

import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path
from typing import Any

from standins.platform_store import PlainTarget, PlatformStore
from standins.ports import PortBlock

START_S = 20.0
SETTINGS = """\
node={node}
ip=127.0.0.1
zone=a
region=north
listen.front=127.0.0.1:{0}
listen.ready=127.0.0.1:{1}
listen.control=127.0.0.1:{2}
listen.directory=127.0.0.1:{3}
seeds={seeds}
platform.address={store}
limits.cpu-share=1.0
limits.cores=1
bounds.grace-s=6
bounds.retry-budget-ratio=0.2
bounds.retry-slack=56
bounds.budget-window-s=10
bounds.ttl_max_s=2
"""


def route(name: str, kind: str = "idempotent", **destination: Any) -> dict[str, Any]:
    """Returns a route as the operator writes it."""
    return {
        "name": name,
        "host": "shop.example",
        "prefix": f"/{name}/",
        "route-type": kind,
        "timeout-ms": 3_000,
        "target-latency-ms": 1_000,
        "max-attempts": 2,
        "priority": 1,
        **destination,
    }


def configuration(version: int, *routes: dict[str, Any]) -> dict[str, Any]:
    """Returns a configuration as the operator writes it."""
    names = {"desk", "shard-0", "shard-1", "other"}
    services = [{"name": name, "max-conns": 50} for name in sorted(names)]
    return {"version": version, "routes": list(routes), "services": services}


SHARDS: dict[str, Any] = {
    "gather": ["shard-0", "shard-1"],
    "top-k": 5,
    "min-coverage": 0.5,
}
ROUTES = (
    route("lookups", service="desk"),
    route("orders", "non_idempotent", service="desk"),
    route("searches", **SHARDS),
)


class GatewayProcess:
    """One gateway that runs as a process of its own."""

    def __init__(
        self, node: str, folder: Path, store: str, seeds: str, ports: PortBlock
    ) -> None:
        addresses = ports.take(5)
        self.ports = [int(address.rpartition(":")[2]) for address in addresses]
        path = folder / f"{node}.conf"
        text = SETTINGS.format(*self.ports, node=node, store=store, seeds=seeds)
        path.write_text(text)
        self._log = (folder / f"{node}.log").open("wb")
        environment = os.environ | {
            "LAVENDERTIDE_SETTINGS": str(path),
            "FLEET_KEY": "a key of this test",
            "METRICS_PORT": str(self.ports[4]),
        }
        self.process = subprocess.Popen(
            [sys.executable, "-m", "lavendertide.platform"],
            env=environment,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    @property
    def control(self) -> str:
        """Its address for peers."""
        return f"127.0.0.1:{self.ports[2]}"

    def get(
        self, path: str, port: int = 0, method: str = "GET", name: str = "r1"
    ) -> http.client.HTTPResponse:
        """Returns the response to a request, its body read into `body`."""
        connection = http.client.HTTPConnection("127.0.0.1", self.ports[port], 10)
        headers = {
            "Host": "shop.example",
            "Lavendertide-Request-Id": name,
            "Lavendertide-Deadline-Ms": "5000",
        }
        connection.request(method, path, headers=headers)
        response = connection.getresponse()
        response.body = response.read()  # type: ignore[attr-defined]
        connection.close()
        return response

    def is_ready(self) -> bool:
        """Returns whether it says that it takes requests."""
        try:
            return self.get("/api/ready", 1).status == 200
        except OSError:
            return False

    def stop(self) -> None:
        """Ends it if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._log.close()


def wait_until(is_true: Any, timeout_s: float = START_S) -> None:
    """Waits until something is so.

    Raises:
        AssertionError: It is not in time.
    """
    ends_at_s = time.monotonic() + timeout_s
    while not is_true():
        if time.monotonic() >= ends_at_s:
            raise AssertionError("not in time")
        time.sleep(0.05)


class GatewayProcessTest(unittest.TestCase):
    """The whole path: caller, gateway, target, with the platform beside."""

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.ports = PortBlock()
        self.addCleanup(self.ports.release)
        self.store = PlatformStore()
        self.addCleanup(self.store.close)
        self.store.put("op/config", configuration(3, *ROUTES))
        self.targets: dict[str, PlainTarget] = {}
        for name, service in (
            ("t1", "desk"),
            ("t2", "desk"),
            ("s0", "shard-0"),
            ("s1", "shard-1"),
        ):
            self.add_target(name, service)

    def add_target(self, name: str, service: str) -> None:
        """Starts a target and registers it."""
        target = PlainTarget(name, service)
        self.addCleanup(target.close)
        self.targets[name] = target
        self.store.put(f"servers/{name}", target.entry())

    def start(self, node: str, seeds: str = "") -> GatewayProcess:
        """Starts a gateway."""
        gateway = GatewayProcess(
            node, self.folder, self.store.address, seeds, self.ports
        )
        self.addCleanup(gateway.stop)
        return gateway

    def start_ready(self, node: str, seeds: str = "") -> GatewayProcess:
        """Starts a gateway and waits until it takes requests."""
        gateway = self.start(node, seeds)
        wait_until(gateway.is_ready)
        return gateway

    def test_requests_are_served_and_the_directory_names_the_host(self) -> None:
        gateway = self.start_ready("m1")
        found = gateway.get("/lookups/x")
        self.assertEqual(found.status, 200)
        self.assertIn(found.headers["Lavendertide-Server-Stamp"], ("t1", "t2"))
        gathered = gateway.get("/searches/x")
        self.assertEqual(gathered.status, 200)
        self.assertEqual(gathered.headers["Lavendertide-Missing-Parts"], "0")
        parts = set(gathered.headers["Lavendertide-Part-Stamps"].split(", "))
        self.assertEqual(parts, {"s0", "s1"})
        self.assertEqual(gateway.get("/nowhere/x").status, 404)
        resolved = gateway.get("/api/resolve?name=shop.example&region=north&zone=a", 3)
        answer = json.loads(resolved.body)  # type: ignore[attr-defined]
        self.assertEqual(answer["addrs"], [f"127.0.0.1:{gateway.ports[0]}"])
        metrics = gateway.get("/metrics", 4)
        self.assertIn(b"lavendertide_forwarded", metrics.body)  # type: ignore[attr-defined]

    def test_a_stop_cuts_off_no_request_in_flight(self) -> None:
        gateway = self.start_ready("m1")
        for target in self.targets.values():
            target.delay_s = 1.5
        statuses: list[int] = []

        def order(name: str) -> None:
            statuses.append(gateway.get("/orders/x", 0, "POST", name).status)

        callers = [
            threading.Thread(target=order, args=(f"r{number}",)) for number in range(4)
        ]
        for caller in callers:
            caller.start()
        wait_until(lambda: sum(len(t.ran) for t in self.targets.values()) == 4)
        gateway.process.send_signal(signal.SIGTERM)
        for caller in callers:
            caller.join()
        self.assertEqual(statuses, [200] * 4)
        self.assertFalse(gateway.is_ready())
        self.assertEqual(gateway.process.wait(6.0), 0)

    def test_a_draining_target_and_a_new_version_are_followed(self) -> None:
        gateway = self.start_ready("m1")
        self.add_target("o1", "other")
        self.store.put("servers/t1", self.targets["t1"].entry("draining"))
        self.store.put("op/config", configuration(5, route("lookups", service="other")))
        wait_until(lambda: gateway.get("/orders/x").status == 404, 3.0)
        found = gateway.get("/lookups/x")
        self.assertEqual(found.headers["Lavendertide-Server-Stamp"], "o1")

    def test_a_host_that_starts_in_an_outage_serves_what_a_peer_knows(self) -> None:
        first = self.start_ready("m1")
        self.store.is_away = True
        second = self.start_ready("m2", first.control)
        self.assertEqual(second.get("/lookups/x").status, 200)
        self.assertEqual(second.get("/searches/x").status, 200)

    def test_a_host_that_knows_nothing_refuses_and_is_not_ready(self) -> None:
        self.store.is_away = True
        gateway = self.start("m1")
        wait_until(lambda: self.answers(gateway))
        self.assertEqual(gateway.get("/lookups/x").status, 503)
        self.assertFalse(gateway.is_ready())

    def answers(self, gateway: GatewayProcess) -> bool:
        """Returns whether a gateway accepts connections."""
        try:
            gateway.get("/lookups/x")
        except OSError:
            return False
        return True
