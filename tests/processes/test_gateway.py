"""Process tests of gateways, with stand-ins for the platform and its targets."""

import json
import signal
import socket
import tempfile
import threading
import time
import unittest
from pathlib import Path

from lavendertide.gateway.gateway import ACCEPTING_SHARE
from standins.gateway_process import (
    ROUTES,
    GatewayProcess,
    configuration,
    route,
    wait_until,
)
from standins.platform_store import PlainTarget, PlatformStore
from standins.ports import PortBlock

# Time between SIGTERM and SIGKILL on the users' sites.
GRACE_S = 6.0
# Time limit of the users' sites for serving all requests again.
RECOVERY_S = 12.0


class GatewayProcessTest(unittest.TestCase):
    """Gateways forward requests from callers to targets that the platform lists.

    A stop must cut off no request, and a change of targets or routes must take effect.
    A start must succeed in an outage of the platform and after all gateways were lost.
    """

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
        """Starts a target and registers it in the platform's store."""
        target = PlainTarget(name, service)
        self.addCleanup(target.close)
        self.targets[name] = target
        self.store.put(f"servers/{name}", target.entry())

    def start(self, node: str, seeds: str = "") -> GatewayProcess:
        """Starts a gateway that is stopped after the test."""
        gateway = GatewayProcess(
            node, self.folder, self.store.address, seeds, self.ports
        )
        self.addCleanup(gateway.stop)
        return gateway

    def start_ready(self, node: str, seeds: str = "") -> GatewayProcess:
        """Starts a gateway and waits until it is ready for requests."""
        gateway = self.start(node, seeds)
        wait_until(gateway.is_ready)
        return gateway

    def test_requests_are_served_and_the_directory_names_the_host(self) -> None:
        gateway = self.start_ready("m1")
        lookup = gateway.get("/lookups/x")
        self.assertEqual(lookup.status, 200)
        self.assertIn(lookup.headers["Lavendertide-Server-Stamp"], ("t1", "t2"))
        search_result = gateway.get("/searches/x")
        self.assertEqual(search_result.status, 200)
        self.assertEqual(search_result.headers["Lavendertide-Missing-Parts"], "0")
        parts = set(search_result.headers["Lavendertide-Part-Stamps"].split(", "))
        self.assertEqual(parts, {"s0", "s1"})
        self.assertEqual(gateway.get("/nowhere/x").status, 404)
        resolved = gateway.get("/api/resolve?name=shop.example&region=north&zone=a", 3)
        response = json.loads(resolved.body)  # type: ignore[attr-defined]
        self.assertEqual(response["addrs"], [f"127.0.0.1:{gateway.ports[0]}"])
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
        wait_until(
            lambda: sum(len(t.executed_requests) for t in self.targets.values()) == 4
        )
        gateway.process.send_signal(signal.SIGTERM)
        for caller in callers:
            caller.join()
        self.assertEqual(statuses, [200] * 4)
        self.assertFalse(gateway.is_ready())
        self.assertEqual(gateway.process.wait(6.0), 0)

    def test_further_signals_during_a_stop_cut_off_no_request(self) -> None:
        """Guards against a second SIGTERM that ends the process with work in flight."""
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
        wait_until(
            lambda: sum(len(t.executed_requests) for t in self.targets.values()) == 4
        )
        for sent in (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            gateway.process.send_signal(sent)
            time.sleep(0.1)
        for caller in callers:
            caller.join()
        self.assertEqual(statuses, [200] * 4)
        # The second signal has ended the time in which new requests are accepted.
        self.assertEqual(gateway.process.wait(ACCEPTING_SHARE * GRACE_S), 0)

    def test_a_signal_while_the_process_starts_does_not_end_it(self) -> None:
        """The platform reports changed settings at any moment."""
        gateway = self.start("m1")
        wait_until(lambda: gateway.ignores(signal.SIGHUP))
        for _ in range(20):
            gateway.process.send_signal(signal.SIGHUP)
            time.sleep(0.02)
        wait_until(gateway.is_ready)
        self.assertIsNone(gateway.process.poll())

    def test_a_stop_answers_also_what_outlives_the_grace(self) -> None:
        """Guards against requests that are cut off when the grace is over.

        A closed connection tells a caller less than a status, and later.
        """
        patient = {"timeout-ms": 30_000}
        self.store.put("op/config", configuration(5, *(r | patient for r in ROUTES)))
        gateway = self.start_ready("m1")
        for target in self.targets.values():
            target.delay_s = 20.0
        statuses: list[int] = []

        def send(name: str, path: str, method: str) -> None:
            statuses.append(gateway.get(path, 0, method, name, 30_000, 60.0).status)

        callers = [
            threading.Thread(target=send, args=(f"r{number}", path, method))
            for number, (path, method) in enumerate(
                [("/orders/x", "POST")] * 6 + [("/searches/x", "GET")] * 2
            )
        ]
        for caller in callers:
            caller.start()
        wait_until(lambda: bool(self.targets["t1"].executed_requests))
        wait_until(lambda: bool(self.targets["t2"].executed_requests))
        gateway.process.send_signal(signal.SIGTERM)
        self.assertEqual(gateway.process.wait(GRACE_S), 0)
        for caller in callers:
            caller.join()
        self.assertEqual(len(statuses), len(callers))
        ran = len({r for t in self.targets.values() for r in t.executed_requests})
        # What waited for a connection is refused, which promises that it has not run.
        self.assertEqual(statuses.count(503), len(callers) - ran)
        self.assertTrue(set(statuses) <= {502, 503, 504}, statuses)

    def test_a_request_that_arrives_while_the_host_stops_accepting_is_answered(
        self,
    ) -> None:
        gateway = self.start_ready("m1")
        head = b"GET /lookups/x HTTP/1.1\r\nHost: shop.example\r\n"
        head += b"Lavendertide-Request-Id: r1\r\n\r\n"
        address = ("127.0.0.1", gateway.ports[0])
        with socket.create_connection(address, GRACE_S) as caller:
            gateway.process.send_signal(signal.SIGTERM)
            time.sleep(ACCEPTING_SHARE * GRACE_S - 0.5)
            caller.sendall(head[:40])
            time.sleep(1.5)
            caller.sendall(head[40:])
            self.assertIn(b" 503 ", caller.recv(65_536))
        self.assertEqual(gateway.process.wait(GRACE_S), 0)

    def test_a_draining_target_and_a_new_version_take_effect(self) -> None:
        gateway = self.start_ready("m1")
        self.add_target("o1", "other")
        self.store.put("servers/t1", self.targets["t1"].entry("draining"))
        self.store.put("op/config", configuration(5, route("lookups", service="other")))
        wait_until(lambda: gateway.get("/orders/x").status == 404, 3.0)
        lookup = gateway.get("/lookups/x")
        self.assertEqual(lookup.headers["Lavendertide-Server-Stamp"], "o1")

    def test_a_host_that_starts_in_an_outage_serves_the_routes_of_a_peer(self) -> None:
        first = self.start_ready("m1")
        self.store.is_unavailable = True
        second = self.start_ready("m2", first.control)
        self.assertEqual(second.get("/lookups/x").status, 200)
        self.assertEqual(second.get("/searches/x").status, 200)

    def test_all_hosts_that_are_killed_at_once_serve_again(self) -> None:
        gateways = [self.start_ready("m1")]
        for node in ("m2", "m3"):
            gateways.append(self.start_ready(node, gateways[0].control))
        for gateway in gateways:
            gateway.process.kill()
        for gateway in gateways:
            gateway.process.wait()
        self.store.put("op/config", configuration(7, *ROUTES[:1]))
        for gateway in gateways:
            gateway.launch()
        for gateway in gateways:
            wait_until(gateway.is_ready, RECOVERY_S)
            self.assertEqual(gateway.get("/lookups/x").status, 200)
            self.assertEqual(gateway.get("/orders/x").status, 404)

    def test_a_host_without_routes_refuses_and_is_not_ready(self) -> None:
        self.store.is_unavailable = True
        gateway = self.start("m1")
        wait_until(lambda: self.accepts_connections(gateway))
        self.assertEqual(gateway.get("/lookups/x").status, 503)
        self.assertFalse(gateway.is_ready())

    def accepts_connections(self, gateway: GatewayProcess) -> bool:
        """Returns whether a gateway accepts connections."""
        try:
            gateway.get("/lookups/x")
        except OSError:
            return False
        return True
