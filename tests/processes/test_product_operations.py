"""Tests that the commands in docs/OPERATIONS.md run as documented."""

import json
import re
import shlex
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from click.testing import CliRunner, Result
from prometheus_client import CollectorRegistry
from prometheus_client.exposition import generate_latest

from lavendertide.bookkeeping import FAILURES
from lavendertide.bounded_logs import DROPPED
from lavendertide.command_line.main import commands
from lavendertide.evacuation.evacuated_domains import EvacuatedDomains
from lavendertide.evacuation.metrics import EvacuationMetrics
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.gateway.descriptors import Descriptors
from lavendertide.gateway.request_ledger import RequestLedger
from lavendertide.reports.run import dump_run
from lavendertide.restoration.metrics import RestorationMetrics
from lavendertide.restoration.restorations import Restorations
from lavendertide.warmup.metrics import ColdMetrics
from standins.deployment import ASSOCIATION, KOINOPRAXIA, build_publication, scaled_down
from standins.forwarding_records import at
from standins.gateway_process import ROUTES, GatewayProcess, configuration, wait_until
from standins.launcher import Launcher
from standins.platform_store import PlainTarget, PlatformStore
from standins.ports import PortBlock
from tests.command_line.documented_commands import OPERATIONS, find_commands
from tests.reports.test_run import sample_run

TYPE_LINE = r"^# TYPE (lavendertide_\w+) "
REQUEST_LINE = (
    '{"time": "2026-12-04 10:00:00,000", "host": "a", "message": "request ended", '
    '"request": "r1", "outcome": "partial"}\n'
)
OWNERS = (scaled_down(ASSOCIATION, 2, 2), scaled_down(KOINOPRAXIA, 2, 1))
OPERATOR_KEY = "operator-key-0001"
OWNER_KEY = "association-key-1"
ADMIN = {"operator_keys": [OPERATOR_KEY], "owner_keys": {"association": [OWNER_KEY]}}


def documented_commands() -> list[list[str]]:
    """Returns the words of each documented command; drains come last."""
    found = [words for words in find_commands("lavendertide", OPERATIONS) if words[1:]]
    return sorted(found, key=lambda words: words[0] == "drain")


def gateway_metrics() -> set[str]:
    """Returns the names of the metrics that only a gateway exports."""
    registry = CollectorRegistry()
    ForwardingMetrics(registry)
    EvacuationMetrics(registry, EvacuatedDomains(), lambda _: 0)
    ColdMetrics(registry, lambda: 0, lambda: True)
    RestorationMetrics(registry, Restorations(), lambda: at(1))
    # The bounds of a host without known descriptors ask neither roster nor links.
    Descriptors(None, 1, mock.Mock(), mock.Mock(), registry)
    RequestLedger(registry)
    registry.register(DROPPED)
    registry.register(FAILURES)
    text = generate_latest(registry).decode()
    return set(re.findall(TYPE_LINE, text, re.MULTILINE))


class OperationsPageTest(unittest.TestCase):
    """Documented commands and metrics exist in a running deployment.

    They go out of date when a command, a flag or a metric changes without the page.
    """

    folder: Path
    launcher: Launcher
    gateway: str

    @classmethod
    def setUpClass(cls) -> None:
        cls.folder = Path(cls.enterClassContext(tempfile.TemporaryDirectory()))
        cls.launcher = Launcher(
            OWNERS,
            overrides={"admin": ADMIN, "fleet": {"address_lifetime_s": 1.0}},
            admin_key=OPERATOR_KEY,
        )
        cls.addClassCleanup(cls.launcher.stop)
        cls.launcher.start()
        cls.gateway = cls.start_gateway()
        lists = build_publication(OWNERS, cls.launcher.placed_targets, 1)
        (cls.folder / "lists.json").write_text(json.dumps(lists))
        for name in ("host-a.log", "host-b.log"):
            (cls.folder / name).write_text(REQUEST_LINE)
        (cls.folder / "run.jsonl").write_text(dump_run(sample_run()))

    @classmethod
    def start_gateway(cls) -> str:
        """Starts a gateway with one target; returns the address of its metrics."""
        ports = PortBlock()
        cls.addClassCleanup(ports.release)
        store = PlatformStore()
        cls.addClassCleanup(store.close)
        target = PlainTarget("t1", "desk")
        cls.addClassCleanup(target.close)
        store.put("op/config", configuration(1, *ROUTES))
        store.put("servers/t1", target.entry())
        gateway = GatewayProcess("m1", cls.folder, store.address, "", ports)
        cls.addClassCleanup(gateway.stop)
        wait_until(gateway.is_ready)
        return f"127.0.0.1:{gateway.ports[4]}"

    def run_line(self, line: str) -> Result:
        """Runs a command line of the tool in this process."""
        return CliRunner().invoke(commands, shlex.split(line))

    def redeem(self, host: str) -> str:
        """Redeems a voucher and returns the ticket that the command prints."""
        result = self.run_line(
            f"redeem --host {host} --key refund-clerk refund-desk v-1"
        )
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("ran", result.stdout)
        return result.stderr.split()[1]

    def test_every_metric_of_the_page_is_exported(self) -> None:
        text = self.launcher.get_text(self.launcher.admins["association-1"], "/metrics")
        exported = set(re.findall(TYPE_LINE, text, re.MULTILINE)) | gateway_metrics()
        documented = set(re.findall(r"lavendertide_\w+", OPERATIONS.read_text()))
        self.assertGreaterEqual(len(documented), 20)
        self.assertEqual(documented - exported, set())
        own_metrics = {name for name in exported if not name.endswith("_created")}
        self.assertEqual(
            own_metrics - documented, set(), "docs/OPERATIONS.md does not name them"
        )

    def test_every_command_runs_as_written(self) -> None:
        host = self.launcher.callers["association-0"]
        values = {
            "ADMIN": self.launcher.admins["association-0"],
            "ADMIN-2": self.launcher.admins["koinopraxia-0"],
            "HOST": host,
            "OPERATOR-KEY": OPERATOR_KEY,
            "OWNER-KEY": OWNER_KEY,
            "CALLER-KEY": "stall-clerk",
            "REDEEMER-KEY": "refund-clerk",
            "ORDERS": "refund-desk",
            "OWNER": "association",
            "PLAN": "stall-clerk",
            "INDEX": "venue-desk",
            "LISTS.json": str(self.folder / "lists.json"),
            "RUN.jsonl": str(self.folder / "run.jsonl"),
            "SETTINGS.yaml": str(self.launcher.settings_of("association-0")),
            "page.html": str(self.folder / "page.html"),
            "REQUEST": "r1",
            "GATEWAY": self.gateway,
            "GATEWAY-2": self.gateway,
            "NAME": "shop.example",
            "PATH": "/lookups/x",
            "host-a.log": str(self.folder / "host-a.log"),
            "host-b.log": str(self.folder / "host-b.log"),
            "TICKET": self.redeem(host),
        }
        lines = documented_commands()
        self.assertGreaterEqual(len(lines), 10)
        for line in lines:
            words = [values.get(word, word) for word in line]
            with self.subTest(line):
                result = CliRunner().invoke(commands, words)
                self.assertEqual(result.exit_code, 0, result.output)
        self.assertEqual(self.launcher.wait_for_exit("association-0"), 0)
