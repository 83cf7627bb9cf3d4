"""Tests of a configuration service that is down or stale, on separate processes."""

import signal
import time
from typing import Any

from returns.result import Success

from lavendertide.caller_client import CallerClient
from standins.deployment import ASSOCIATION, smaller
from standins.launcher import Launcher
from tests.processes.test_configuration_spread import DEADLINE_MS, FleetTestCase

OWNERS = (smaller(ASSOCIATION, 2, 4),)
NAME = "association-3"
FREEZE_S = 3.0


class ServiceOutOfOrderTest(FleetTestCase):
    """The last good version stays, and newcomers learn it from their peers."""

    def setUp(self) -> None:
        self.launcher = Launcher(OWNERS, target_processes=1)
        self.addCleanup(self.launcher.stop)
        self.launcher.start()

    @classmethod
    def setUpClass(cls) -> None:
        """Starts nothing; each test has a fleet of its own."""

    def mode(self, mode: str) -> None:
        """Puts the service out of order, or in order again."""
        self.launcher.post(self.launcher.configuration, "/v1/mode", {"mode": mode})

    def restart(self) -> None:
        """Kills a daemon and starts it again; it keeps nothing."""
        self.launcher.signal_daemon(NAME, signal.SIGKILL)
        self.launcher.wait_for_exit(NAME)
        self.launcher.start_daemon(NAME)
        self.launcher.wait_until_ready(NAME)

    def search(self, deadline_ms: int = DEADLINE_MS) -> Any:
        """Searches through the daemon that the tests restart or freeze."""
        host = self.launcher.callers[NAME]
        client = CallerClient([host], "promoter")
        client._addresses, client._kept_until_s = [host], time.monotonic() + 60
        return client.search("promoter-view", "o", deadline_ms, 5, time.monotonic())

    def without_use(self) -> dict[str, Any]:
        """Returns lists in which the plan of `search` may use nothing."""
        lists = self.launcher.next_lists()
        uses = lists["uses"]["uses"]
        lists["uses"]["uses"] = [use for use in uses if use["plan"] != "promoter"]
        return lists

    def test_a_daemon_joins_while_the_service_is_down(self) -> None:
        self.mode("down")
        self.wait_until(lambda: any(s["service"]["problem"] for s in self.statuses()))
        self.restart()
        self.assertEqual(self.status(NAME)["source"], "peer")
        self.assertIsInstance(self.search(), Success)
        self.mode("up")
        self.wait_for_version(self.launcher.publish())

    def test_a_stale_service_does_not_bring_a_newcomer_back(self) -> None:
        stale = self.launcher.next_lists()
        self.wait_for_version(self.publish(stale))
        self.wait_for_version(self.publish(self.without_use()))
        self.publish(stale)
        self.restart()
        self.assertEqual(self.search().failure().kind.value, "not_entitled")
        self.assertEqual({s["version"] for s in self.statuses()}, {3})
        self.launcher.publish()
        self.wait_for_version(4)

    def test_a_process_that_wakes_late_does_not_use_an_old_plan(self) -> None:
        self.assertIsInstance(self.search(), Success)
        self.launcher.signal_daemon(NAME, signal.SIGSTOP)
        others = [name for name in self.launcher.admins if name != NAME]
        self.wait_for_version(self.publish(self.without_use()), others)
        time.sleep(FREEZE_S)
        self.launcher.signal_daemon(NAME, signal.SIGCONT)
        kinds = set()
        while "not_entitled" not in kinds:
            kinds.add(self.search().failure().kind.value)
        self.assertLessEqual(kinds, {"not_entitled", "not_ready", "unreachable"})
