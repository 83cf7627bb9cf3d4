"""Process tests of the causes of missing shards, from a gateway's own log."""

import json
import signal
import tempfile
import threading
import time
import unittest
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from lavendertide.command_line.main import commands
from standins.gateway_process import ROUTES, GatewayProcess, configuration, wait_until
from standins.platform_store import PlainTarget, PlatformStore
from standins.ports import PortBlock

# The objective of the stand-ins' routes; a search leaves before it.
OBJECTIVE_S = 1.0
METRICS_PORT = 4


class MissingShardsTest(unittest.TestCase):
    """Guards against logs, counters and the command that name different causes."""

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        ports = PortBlock()
        self.addCleanup(ports.release)
        store = PlatformStore()
        self.addCleanup(store.close)
        store.put("op/config", configuration(3, *ROUTES))
        self.targets: dict[str, PlainTarget] = {}
        for number in range(2):
            target = PlainTarget(f"s{number}", f"shard-{number}")
            self.addCleanup(target.close)
            store.put(f"servers/{target.name}", target.entry())
            self.targets[target.name] = target
        self.gateway = GatewayProcess("m1", self.folder, store.address, "", ports)
        self.addCleanup(self.gateway.stop)
        wait_until(self.gateway.is_ready)

    def causes(self) -> dict[str, Any]:
        """Returns the causes that the command counts in the gateway's log."""
        result = CliRunner().invoke(
            commands, ["missing", str(self.folder / "m1.log"), "--json"]
        )
        self.assertEqual(result.exit_code, 0, result.output)
        causes: dict[str, Any] = json.loads(result.stdout)["total"]["causes"]
        return causes

    def check_cause(self, cause: str) -> None:
        """Checks the log and the counter after a search without its second shard."""
        wait_until(lambda: bool(self.causes()), 5.0)
        self.assertEqual(self.causes(), {cause: {"shards": 1, "searches": 1}})
        metrics = self.gateway.get("/metrics", METRICS_PORT).body  # type: ignore[attr-defined]
        name = "lavendertide_forwarded_missing_shards_total"
        self.assertIn(f'{name}{{cause="{cause}"}} 1.0'.encode(), metrics)

    def test_a_slow_target_without_another_one(self) -> None:
        self.targets["s1"].delay_s = 2 * OBJECTIVE_S
        search = self.gateway.get("/searches/x")
        self.assertEqual(search.headers["Lavendertide-Missing-Parts"], "1")
        self.check_cause("no_other_target")

    def test_replies_that_arrive_while_the_host_stands_still(self) -> None:
        """The process is stopped from before the second reply to after the objective.

        Guards against a response without a shard whose reply is in the socket: after a
        stall the timer of the objective is handled before the connections.
        """
        self.targets["s1"].delay_s = 0.8 * OBJECTIVE_S
        missing: list[str] = []

        def search() -> None:
            response = self.gateway.get("/searches/x")
            missing.append(response.headers["Lavendertide-Missing-Parts"])

        caller = threading.Thread(target=search)
        caller.start()
        wait_until(lambda: bool(self.targets["s1"].executed_requests))
        time.sleep(0.1 * OBJECTIVE_S)
        self.gateway.process.send_signal(signal.SIGSTOP)
        time.sleep(1.3 * OBJECTIVE_S)
        self.gateway.process.send_signal(signal.SIGCONT)
        caller.join()
        self.assertEqual(missing, ["0"])
        self.assertEqual(self.causes(), {})
