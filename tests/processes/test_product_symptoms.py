"""Tests that each fault shows the symptoms that docs/OPERATIONS.md describes.

The tests read them as an operator does: through the commands of the tool, the metrics
and the logs.
"""

import json
import unittest
from typing import Any

from click.testing import CliRunner

from lavendertide.command_line.main import commands
from standins.deployment import ASSOCIATION, KOINOPRAXIA, scaled_down
from standins.launcher import Launcher
from tests.processes.callers import SearchLoad
from tests.processes.waiting import eventually

SHARDS = 4
OWNERS = (scaled_down(ASSOCIATION, SHARDS, 4), scaled_down(KOINOPRAXIA, SHARDS, 2))
SIDE = ("association-0", "association-1", "koinopraxia-0")
OTHER_SIDE = ("association-2", "association-3", "koinopraxia-1")
ALL = (*SIDE, *OTHER_SIDE)
HOST = "association-0"
POISON = "poison order"
SMALL_PLAN = {"rate_per_s": 10.0, "burst": 2, "concurrency": 2}
OVERLOADING_CALLERS = 4
RESPONSES = 50


class SymptomTestCase(unittest.TestCase):
    """Starts a deployment for a class and reads it with an operator's commands."""

    launcher: Launcher

    @classmethod
    def setUpClass(cls) -> None:
        cls.launcher = Launcher(
            OWNERS,
            overrides={"fleet": {"heartbeat_s": 0.25, "lease_s": 1.0}},
            has_link_faults=True,
        )
        cls.addClassCleanup(cls.launcher.stop)
        cls.launcher.start()

    def run_json(self, *words: str, name: str = HOST) -> dict[str, Any]:
        """Runs a command against a daemon and returns its output as JSON."""
        admin = self.launcher.admins[name]
        line = [*words, "--admin", admin, "--json"]
        result = CliRunner().invoke(commands, line)
        self.assertEqual(result.exit_code, 0, result.output)
        document: dict[str, Any] = json.loads(result.stdout)
        return document

    def run_text(self, *words: str, name: str = HOST) -> str:
        """Runs a command against a daemon and returns its text output."""
        admin = self.launcher.admins[name]
        result = CliRunner().invoke(commands, [*words, "--admin", admin])
        self.assertEqual(result.exit_code, 0, result.output)
        return result.stdout

    def query(self, body: str, name: str = HOST) -> tuple[int, str]:
        """Searches through the tool; returns the exit code and the output."""
        host = self.launcher.callers[name]
        line = ["query", "venue-desk", body, "--host", host, "--key", "stall-clerk"]
        result = CliRunner().invoke(commands, line)
        return result.exit_code, result.output

    def sum_metrics(self, prefix: str) -> float:
        """Returns the sum of all series with a prefix over all daemons."""
        total = 0.0
        for admin in self.launcher.admins.values():
            text = self.launcher.get_text(admin, "/metrics")
            for line in text.splitlines():
                if line.startswith(prefix):
                    total += float(line.rsplit(" ", 1)[1])
        return total


class RefusedPublicationSymptomTest(SymptomTestCase):
    """A refused publication shows on every daemon until a good one follows."""

    def is_shown(self, on_daemons: int) -> bool:
        """Returns whether the given number of daemons report a refused publication."""
        return self.sum_metrics("lavendertide_configuration_refused ") == on_daemons

    def test_documented_symptoms_are_visible(self) -> None:
        good = self.run_json("status")["configuration"]
        self.launcher.publish(
            edit=lambda lists: lists["uses"]["indexes"][0].update(connections=5)
        )
        eventually(self.is_shown, len(self.launcher.admins))
        output = self.run_text("configuration")
        self.assertIn("index 'venue-desk': 5 connections", output)
        self.assertIn("under a higher version", output)
        self.assertIn("publication refused", self.launcher.log_of(HOST))
        self.assertEqual(self.run_json("status")["configuration"], good)
        self.assertIn("5 connections", str(self.run_json("status")["refused"]))
        self.assertEqual(self.query("order")[0], 0)
        self.launcher.publish()
        eventually(self.is_shown, 0)


class ServiceDownSymptomTest(SymptomTestCase):
    """A lost configuration service shows on its watchers, and queries still succeed."""

    def set_mode(self, mode: str) -> None:
        """Takes the service `down` or brings it `up` again."""
        self.launcher.post(self.launcher.configuration, "/v1/mode", {"mode": mode})

    def count_lost(self) -> float:
        """Returns the number of daemons that report the service as lost."""
        return self.sum_metrics("lavendertide_configuration_service_lost ")

    def test_documented_symptoms_are_visible(self) -> None:
        self.set_mode("down")
        self.launcher.publish()
        eventually(lambda: self.count_lost() > 0)
        logs = [self.launcher.log_of(name) for name in self.launcher.admins]
        self.assertTrue(any("configuration service lost" in log for log in logs))
        outputs = [self.run_text("configuration", name=n) for n in self.launcher.admins]
        self.assertTrue(any("does not answer" in text for text in outputs))
        self.assertEqual(self.query("order")[0], 0)
        self.set_mode("up")
        version = self.launcher.publish()
        for name in self.launcher.admins:
            eventually(
                lambda name=name: (
                    self.run_json("status", name=name)["configuration"] == version
                )
            )
        eventually(lambda: self.count_lost() == 0)
        logs = [self.launcher.log_of(name) for name in self.launcher.admins]
        self.assertTrue(any("service answers again" in log for log in logs))


class SplitSymptomTest(SymptomTestCase):
    """A network split shows on each daemon, and no member is removed."""

    def cut(self) -> None:
        """Cuts the links between the two sides."""
        for side, others in ((SIDE, OTHER_SIDE), (OTHER_SIDE, SIDE)):
            for name in side:
                self.launcher.set_link_faults(name, drop_to=others, drop_from=others)

    def heal(self) -> None:
        """Restores the links between the two sides."""
        for name in (*SIDE, *OTHER_SIDE):
            self.launcher.set_link_faults(name)

    def reachable(self) -> set[str]:
        """Returns the members that the daemon reaches."""
        members = self.run_json("status")["members"]
        return {member["daemon"] for member in members if member["reachable"]}

    def has_divided_slots(self) -> bool:
        """Returns whether the daemon may use only some of the slots of a target."""
        targets = self.run_json("targets")["targets"]
        return any(0 < t["usable_slots"] < t["slots"] for t in targets)

    def test_documented_symptoms_are_visible(self) -> None:
        self.cut()
        eventually(lambda: self.reachable() == set(SIDE))
        metric = self.launcher.metric
        self.assertEqual(metric(HOST, "lavendertide_members_reachable"), len(SIDE))
        self.assertEqual(metric(HOST, "lavendertide_members"), len(ALL))
        states = {m["state"] for m in self.run_json("status")["members"]}
        self.assertLessEqual(states, {"serving", "suspect"})
        eventually(self.has_divided_slots)
        for name in (HOST, "association-2"):
            eventually(lambda name=name: self.query("order", name)[0] == 0)
        self.heal()
        eventually(lambda: self.reachable() == set(ALL))
        self.assertEqual(self.sum_metrics("lavendertide_removals_total "), 0)


class PoisonSymptomTest(SymptomTestCase):
    """A poison request shows as a caller's fault in its owner's failure log alone.

    The entries of the failure log and the log lines about it have its query.
    """

    def is_quarantined(self) -> bool:
        """Searches; returns whether every shard is refused as poisoned."""
        code, printed = self.query(POISON)
        return code == 1 and printed.count("poisoned") == SHARDS

    def test_documented_symptoms_are_visible(self) -> None:
        for placed in self.launcher.placed_targets:
            self.launcher.change_target(placed.target, restart_ms=200.0)
        eventually(self.is_quarantined)
        failure_log = self.run_json("books", "--owner", "association")
        entries = [e for e in failure_log["entries"] if e["reason"] == "poisoned"]
        self.assertTrue(entries)
        self.assertEqual({e["fault"] for e in entries}, {"caller"})
        self.assertTrue(all(e["query"] for e in entries))
        logs = [self.launcher.log_of(name) for name in self.launcher.admins]
        quarantine_lines = [
            line for log in logs for line in log.splitlines() if "condemned" in line
        ]
        self.assertTrue(all(json.loads(line)["query"] for line in quarantine_lines))
        self.assertTrue(quarantine_lines)
        labels = '{owner="association",result="target_closed"}'
        self.assertGreater(
            self.sum_metrics(f"lavendertide_sub_requests_total{labels}"), 0
        )
        neighbour = self.run_json("books", "--owner", "koinopraxia")
        self.assertEqual(neighbour["recorded"], 0)


class OverloadSymptomTest(SymptomTestCase):
    """An owner that exceeds its plan is refused, and its neighbour is unaffected."""

    def count_refused(self, owner: str) -> float:
        """Returns the number of an owner's requests refused over the plan rate."""
        labels = f'{{fault="plan",kind="over_plan_rate",owner="{owner}"}}'
        return self.sum_metrics(f"lavendertide_refusals_total{labels}")

    def test_documented_symptoms_are_visible(self) -> None:
        self.launcher.publish(edit=_shrink_plan)
        version = self.run_json("status")["configuration"]
        eventually(
            lambda: self.run_json("plan", "employer")["burst"] == SMALL_PLAN["burst"]
        )
        with (
            SearchLoad(
                self.launcher, "employer", "voucher-finder", OVERLOADING_CALLERS
            ) as overloading,
            SearchLoad(self.launcher, "stall-clerk", "venue-desk", 2) as usual,
        ):
            usual.wait_for(RESPONSES)
            eventually(lambda: len(overloading.refusals) > OVERLOADING_CALLERS)
            usual.wait_for(RESPONSES)
        self.assertGreater(self.count_refused("koinopraxia"), 0)
        self.assertEqual(self.count_refused("association"), 0)
        self.assertEqual(set(overloading.refusals), {"over_plan_rate"})
        self.assertEqual(usual.refusals, [])
        for owner in ("association", "koinopraxia"):
            prefix = f'lavendertide_queueing_seconds_count{{owner="{owner}"'
            self.assertGreater(self.sum_metrics(prefix), 0)
        failure_logs = [
            self.run_json("books", "--owner", "koinopraxia", name=name)
            for name in self.launcher.admins
        ]
        faults = {
            t["fault"] for failure_log in failure_logs for t in failure_log["tallies"]
        }
        self.assertIn("plan", faults)
        self.assertLess(self.run_json("plan", "employer")["here"]["share"], 1.0)
        self.assertGreaterEqual(self.run_json("status")["configuration"], version)


def _shrink_plan(lists: dict[str, Any]) -> None:
    for plan in lists["plans"]["plans"]:
        if plan["plan"] == "employer":
            plan.update(SMALL_PLAN)
