"""Process tests of the explanations that a gateway gives of itself."""

import json
import re
import tempfile
import unittest
from pathlib import Path
from typing import Any

from click.testing import CliRunner, Result

from lavendertide.command_line.main import commands
from standins.gateway_process import ROUTES, GatewayProcess, configuration, wait_until
from standins.platform_store import PlainTarget, PlatformStore
from standins.ports import PortBlock

METRICS_PORT = 4
SCORE_TOLERANCE = 0.1
ZONES = {"t1": "a", "t2": "b", "t3": "c", "s0": "a", "s1": "a"}


class RouteExplanationTest(unittest.TestCase):
    """Guards against explanations that differ from what a gateway does.

    The targets of look-ups are in three zones, so that they differ in score.
    """

    def setUp(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        ports = PortBlock()
        self.addCleanup(ports.release)
        self.store = PlatformStore()
        self.addCleanup(self.store.close)
        self.store.put("op/config", configuration(3, *ROUTES))
        self.targets: dict[str, PlainTarget] = {}
        for name, service in (
            ("t1", "desk"),
            ("t2", "desk"),
            ("t3", "desk"),
            ("s0", "shard-0"),
            ("s1", "shard-1"),
        ):
            self.targets[name] = PlainTarget(name, service)
            self.addCleanup(self.targets[name].close)
            self.register(name)
        self.gateway = GatewayProcess("m1", folder, self.store.address, "", ports)
        self.addCleanup(self.gateway.stop)
        wait_until(self.gateway.is_ready)

    @property
    def ran(self) -> int:
        """Number of requests that all targets have run."""
        return sum(len(each.executed_requests) for each in self.targets.values())

    def register(self, name: str, state: str = "ready") -> None:
        """Registers a target in its zone."""
        entry = self.targets[name].entry(state) | {"zone": ZONES[name]}
        self.store.put(f"servers/{name}", entry)

    def run_route(self, *arguments: str) -> Result:
        """Runs the command against the gateway."""
        address = f"127.0.0.1:{self.gateway.ports[METRICS_PORT]}"
        return CliRunner().invoke(
            commands, ["route", "--gateway", address, "shop.example", *arguments]
        )

    def explain(self, path: str = "/lookups/x") -> dict[str, Any]:
        """Returns the gateway's explanation of a request."""
        result = self.run_route(path, "--json")
        document: dict[str, Any] = json.loads(result.stdout)["gateways"][0]
        explanation: dict[str, Any] = document["explanation"]
        return explanation

    def targets_of(self, explanation: dict[str, Any]) -> dict[str, dict[str, Any]]:
        """Returns the targets of the first service by name, in their order."""
        targets = explanation["services"][0]["targets"]
        return {target["target"]: target for target in targets}

    def best_targets(self) -> set[str]:
        """Returns the explained targets of the lowest score; one is drawn of several.

        Scores decay, so those that differ by less than the decay of 0.1 s are equal.
        """
        targets = [t for t in self.targets_of(self.explain()).values() if t["rank"]]
        least = min((target["score"] for target in targets), default=0.0)
        return {t["target"] for t in targets if t["score"] - least < SCORE_TOLERANCE}

    def check_next(self, *expected: str) -> None:
        """Checks that requests go to the best of the explained targets.

        Args:
            expected: The targets that are not excluded.
        """
        wait_until(lambda: self.best_targets() <= set(expected))
        for _ in range(6):
            best = self.best_targets()
            response = self.gateway.get("/lookups/x")
            self.assertIn(response.headers["Lavendertide-Server-Stamp"], best)
            self.assertLessEqual(best, set(expected))

    def metrics(self) -> list[str]:
        """Returns the samples of requests and refusals."""
        response = self.gateway.get("/metrics", METRICS_PORT)
        text = response.body.decode()  # type: ignore[attr-defined]
        found: list[str] = re.findall(
            r"^lavendertide_(?:forwarded|not_ready|evacuated)\S* \S+$", text, re.M
        )
        return found

    def test_the_next_request_goes_where_the_explanation_says(self) -> None:
        self.check_next("t1", "t2", "t3")
        self.register("t1", "draining")
        self.check_next("t2", "t3")
        found = self.targets_of(self.explain())["t1"]
        self.assertEqual((found["rank"], found["reason"]), (None, "draining"))
        self.store.put("op/evacuate/b", {})
        self.check_next("t3")
        explanation = self.explain()
        found = self.targets_of(explanation)["t2"]
        self.assertEqual((found["rank"], found["reason"]), (None, "evacuated_domain"))
        (domain,) = explanation["evacuated"]
        self.assertEqual((domain["domain"], domain["in_flight"]), ("b", 0))
        self.store.put("op/evacuate/c", {})
        wait_until(lambda: self.explain()["admission"]["cause"] is not None)
        self.assertEqual(self.explain()["admission"]["cause"], "evacuated")
        refused = self.gateway.get("/lookups/x")
        self.assertEqual((refused.status, refused.body), (503, b"evacuated\n"))  # type: ignore[attr-defined]
        self.assertEqual(self.run_route("/lookups/x").exit_code, 1)

    def test_explanations_send_and_count_nothing(self) -> None:
        self.gateway.get("/lookups/x")
        self.gateway.get("/searches/x")
        self.store.put("op/evacuate/b", {})
        wait_until(lambda: bool(self.explain()["evacuated"]))
        ran, samples, log = self.ran, self.metrics(), self.gateway.log_text
        self.assertGreater(len(samples), 10)
        for _ in range(20):
            self.explain("/lookups/x")
            self.explain("/searches/x")
            self.explain("/nowhere/x")
            self.gateway.get("/status", METRICS_PORT)
        self.assertEqual(self.ran, ran)
        self.assertEqual(self.metrics(), samples)
        self.assertEqual(self.gateway.log_text, log)

    def test_the_status_lists_what_is_in_force(self) -> None:
        self.store.put("op/evacuate/b", {})
        wait_until(lambda: bool(self.explain()["evacuated"]))
        response = self.gateway.get("/status", METRICS_PORT)
        status = json.loads(response.body)  # type: ignore[attr-defined]
        self.assertEqual((status["gateway"], status["state"]), ("m1", "serving"))
        self.assertEqual(status["routes"]["version"], 3)
        self.assertEqual(status["evacuated"][0]["domain"], "b")
        self.assertEqual(status["limits"], [])

    def test_the_command_prints_each_target_and_each_shard(self) -> None:
        lookup = self.run_route("/lookups/x")
        self.assertEqual(lookup.exit_code, 0, lookup.output)
        self.assertRegex(lookup.stdout, r"(?m)^ *1  t1 ")
        search = self.run_route("/searches/x")
        self.assertRegex(search.stdout, r"(?m)^shard-1 .* s1 ")
        shard = self.run_route("/searches/x", "--service", "shard-1")
        self.assertIn("targets of shard-1", shard.stdout)
        self.assertNotIn("shard-0", shard.stdout)

    def test_odd_queries_are_refused(self) -> None:
        for query in ("", "?host=shop.example", "?host=%C3%A9&path=/x", "?path=/x"):
            with self.subTest(query):
                status = self.gateway.get(f"/explain{query}", METRICS_PORT).status
                self.assertEqual(status, 400)
        self.assertEqual(self.gateway.get("/metrics", METRICS_PORT).status, 200)
