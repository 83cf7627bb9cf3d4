"""Tests of plan limits over separate processes."""

import signal
import threading
import time
import unittest
from collections import Counter
from dataclasses import replace

from returns.result import Success

from lavendertide.caller_client import CallerClient
from lavendertide.plans.allocation import NEWCOMERS_PART
from lavendertide.plans.shares import FLOORS_PART
from standins.deployment import ASSOCIATION, OwnerSpec, smaller
from standins.launcher import Launcher

RATE_PER_S = 40.0
BURST = 12
RUN_S = 5.0
PAUSE_S = 0.01
BOUND = 1.0 + NEWCOMERS_PART + FLOORS_PART


def limited() -> OwnerSpec:
    """Returns an owner whose first plan is small."""
    owner = smaller(ASSOCIATION, 2, 4)
    clerk = replace(owner.plans[0], rate_per_s=RATE_PER_S, burst=BURST)
    return replace(owner, plans=(clerk, *owner.plans[1:]))


class PlanOverHostsTest(unittest.TestCase):
    """A plan is not multiplied by the number of hosts that its callers use."""

    launcher: Launcher

    @classmethod
    def setUpClass(cls) -> None:
        cls.launcher = Launcher((limited(),))
        cls.addClassCleanup(cls.launcher.stop)
        cls.launcher.start()

    def send_for_a_while(self, host: str, counts: Counter[str]) -> None:
        """Sends searches to one host only, far above the plan's rate."""
        client = CallerClient([host], "stall-clerk")
        ends_s = time.monotonic() + RUN_S
        client._addresses, client._kept_until_s = [host], ends_s + 60.0
        while time.monotonic() < ends_s:
            now_s = time.monotonic()
            match client.search("venue-desk", "order", 500, 1, now_s):
                case Success(_):
                    counts[host] += 1
                case refusal:
                    counts[refusal.failure().kind.value] += 1
            time.sleep(PAUSE_S)

    def admitted_within(self, counts: Counter[str]) -> None:
        """Sends from all hosts for a while and asserts the plan's bound."""
        hosts = list(self.launcher.callers.values())
        started_s = time.monotonic()
        threads = [
            threading.Thread(target=self.send_for_a_while, args=(host, counts))
            for host in hosts
        ]
        for thread in threads:
            thread.start()
        self.disturb()
        for thread in threads:
            thread.join()
        span_s = time.monotonic() - started_s
        admitted = sum(counts[host] for host in hosts)
        most = BOUND * (RATE_PER_S * span_s + BURST) + len(hosts)
        self.assertLessEqual(admitted, most, counts)
        self.assertGreater(counts["over_plan_rate"], 0)

    def disturb(self) -> None:
        """Does nothing while the callers send."""

    def test_callers_on_all_hosts_get_the_plan_once(self) -> None:
        counts: Counter[str] = Counter()
        self.admitted_within(counts)
        for host in self.launcher.callers.values():
            self.assertGreater(counts[host], 0, counts)


class PlanWhileHostsGoTest(PlanOverHostsTest):
    """A host that dies and comes back brings no share of its own."""

    def disturb(self) -> None:
        """Kills a daemon, then starts it again under its name."""
        name = "association-2"
        self.launcher.signal_daemon(name, signal.SIGKILL)
        self.launcher.wait_for_exit(name)
        self.launcher.start_daemon(name)
