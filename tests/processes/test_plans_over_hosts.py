"""Tests of plan limits over separate processes."""

import signal
import threading
import time
import unittest
from collections import Counter
from dataclasses import replace
from typing import Final

from returns.result import Success

from lavendertide.caller_client import CallerClient
from lavendertide.plans.allocation import NEW_HOLDERS_SHARE
from lavendertide.plans.allocator import SETTLING_S
from lavendertide.plans.shares import FLOOR_SHARES_SUM
from standins.deployment import ASSOCIATION, OwnerSpec, smaller
from standins.launcher import Launcher
from tests.processes.waiting import eventually, reachable_members

RATE_PER_S: Final = 10.0
BURST: Final = 8
RUN_MIN_S: Final = 5.0
TIMEOUT_S: Final = 40.0
PAUSE_S: Final = 0.01
ADMITTED_PLANS_MAX: Final = 1.0 + NEW_HOLDERS_SHARE + FLOOR_SHARES_SUM
ADMITTED_PLANS_IN_SPLIT_MAX: Final = ADMITTED_PLANS_MAX + NEW_HOLDERS_SHARE
DAEMONS: Final = tuple(f"association-{number}" for number in range(4))
SIDES: Final = DAEMONS[:2], DAEMONS[2:]


def owner_with_small_plan() -> OwnerSpec:
    """Returns an owner whose first plan is small."""
    owner = smaller(ASSOCIATION, 2, len(DAEMONS))
    clerk = replace(owner.plans[0], rate_per_s=RATE_PER_S, burst=BURST)
    return replace(owner, plans=(clerk, *owner.plans[1:]))


class PlanTestCase(unittest.TestCase):
    """Callers that send far more than the plan allows, each to one host."""

    launcher: Launcher

    @classmethod
    def setUpClass(cls) -> None:
        cls.launcher = Launcher((owner_with_small_plan(),), has_link_faults=True)
        cls.addClassCleanup(cls.launcher.stop)
        cls.launcher.start()

    def search_until_plan_used_up(self, host: str, counts: Counter[str]) -> None:
        """Sends searches to one host only until the plan has been used up."""
        client = CallerClient([host], "stall-clerk")
        started_s = time.monotonic()
        client._addresses, client._addresses_expire_at_s = (
            [host],
            started_s + 2 * TIMEOUT_S,
        )
        while self.should_continue(counts, time.monotonic() - started_s):
            now_s = time.monotonic()
            match client.search("venue-desk", "order", 500, 1, now_s):
                case Success(_):
                    counts[host] += 1
                case refusal:
                    counts[refusal.failure().kind.value] += 1
            time.sleep(PAUSE_S)

    def should_continue(self, counts: Counter[str], elapsed_s: float) -> bool:
        """Returns whether too little has been sent yet, also on a slow machine.

        There a daemon that is started again may take most of the usual run.
        """
        is_used_up = counts["over_plan_rate"] > 0 and elapsed_s >= RUN_MIN_S
        has_served = all(counts[host] for host in self.launcher.callers.values())
        return not (is_used_up and has_served) and elapsed_s < TIMEOUT_S

    def assert_admitted_within(self, bound: float, counts: Counter[str]) -> None:
        """Sends from all hosts for a while and asserts a bound, in plans."""
        hosts = list(self.launcher.callers.values())
        started_s = time.monotonic()
        threads = [
            threading.Thread(target=self.search_until_plan_used_up, args=(host, counts))
            for host in hosts
        ]
        for thread in threads:
            thread.start()
        self.inject_fault()
        for thread in threads:
            thread.join()
        elapsed_s = time.monotonic() - started_s
        admitted = sum(counts[host] for host in hosts)
        admitted_max = bound * (RATE_PER_S * elapsed_s + BURST) + len(hosts)
        self.assertLessEqual(admitted, admitted_max, counts)
        self.assertGreater(counts["over_plan_rate"], 0)

    def inject_fault(self) -> None:
        """Does nothing while the callers send."""

    def assert_all_served(self, counts: Counter[str]) -> None:
        """Asserts that every host has admitted something."""
        for host in self.launcher.callers.values():
            self.assertGreater(counts[host], 0, counts)


class PlanOverHostsTest(PlanTestCase):
    """A plan is not multiplied by the number of hosts that its callers use."""

    def test_callers_on_all_hosts_get_the_plan_once(self) -> None:
        counts: Counter[str] = Counter()
        self.assert_admitted_within(ADMITTED_PLANS_MAX, counts)
        self.assert_all_served(counts)


class PlanInSplitTest(PlanTestCase):
    """Neither side of a split gives out the whole plan beside the other."""

    def cut(self) -> None:
        """Cuts the fleet in two and waits until both sides have noticed."""
        for side, other in (SIDES, SIDES[::-1]):
            for name in side:
                self.launcher.set_link_faults(name, drop_to=other, drop_from=other)
        for side in SIDES:
            for name in side:
                eventually(self.reaches, name, set(side))

    def reaches(self, name: str, others: set[str]) -> bool:
        """Returns whether one daemon reaches exactly these."""
        return reachable_members(self.launcher, name) == others

    def test_a_plan_first_used_in_a_split_stays_within_its_bound(self) -> None:
        time.sleep(2 * SETTLING_S)
        self.cut()
        counts: Counter[str] = Counter()
        self.assert_admitted_within(ADMITTED_PLANS_IN_SPLIT_MAX, counts)
        self.assert_all_served(counts)


class PlanWhileHostsGoTest(PlanOverHostsTest):
    """A host that dies and comes back brings no share of its own."""

    def inject_fault(self) -> None:
        """Kills a daemon, then starts it again under its name."""
        name = "association-2"
        self.launcher.signal_daemon(name, signal.SIGKILL)
        self.launcher.wait_for_exit(name)
        self.launcher.start_daemon(name)
