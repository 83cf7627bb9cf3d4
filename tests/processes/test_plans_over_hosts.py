"""Process tests of plan limits, which hold over all hosts together."""

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
from standins.deployment import ASSOCIATION, OwnerSpec, scaled_down
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
    """Returns an owner whose first plan has a low rate and a small burst."""
    owner = scaled_down(ASSOCIATION, 2, len(DAEMONS))
    clerk = replace(owner.plans[0], rate_per_s=RATE_PER_S, burst=BURST)
    return replace(owner, plans=(clerk, *owner.plans[1:]))


class PlanTestCase(unittest.TestCase):
    """Starts four hosts; a caller for each sends far more than the plan allows."""

    launcher: Launcher

    @classmethod
    def setUpClass(cls) -> None:
        cls.launcher = Launcher((owner_with_small_plan(),), has_link_faults=True)
        cls.addClassCleanup(cls.launcher.stop)
        cls.launcher.start()

    def search_until_plan_used_up(self, host: str, counts: Counter[str]) -> None:
        """Searches through one host until the plan is used up; counts the outcomes.

        Admitted searches are counted under the host, refused ones under their kind.
        """
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
        """Returns whether the callers have to send more, for at most `TIMEOUT_S`.

        The run lasts at least `RUN_MIN_S`, until the plan is used up and every host has
        admitted a search. On a slow machine the restart of a daemon may take most of
        `RUN_MIN_S`.
        """
        is_used_up = counts["over_plan_rate"] > 0 and elapsed_s >= RUN_MIN_S
        has_served = all(counts[host] for host in self.launcher.callers.values())
        return not (is_used_up and has_served) and elapsed_s < TIMEOUT_S

    def assert_admitted_within(self, bound: float, counts: Counter[str]) -> None:
        """Searches through all hosts and asserts a bound on the admitted searches.

        Args:
            bound: Admitted searches as a multiple of the plan, at most. Each host may
                admit one more.
            counts: Receives the outcomes.
        """
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
        """Called while the callers send; subclasses inject a fault here."""

    def assert_all_served(self, counts: Counter[str]) -> None:
        """Asserts that every host has admitted at least one search."""
        for host in self.launcher.callers.values():
            self.assertGreater(counts[host], 0, counts)


class PlanOverHostsTest(PlanTestCase):
    """Callers that use several hosts don't get a multiple of the plan.

    Every host could admit the full plan if the hosts didn't divide it.
    """

    def test_callers_on_all_hosts_get_the_plan_once(self) -> None:
        counts: Counter[str] = Counter()
        self.assert_admitted_within(ADMITTED_PLANS_MAX, counts)
        self.assert_all_served(counts)


class PlanInSplitTest(PlanTestCase):
    """The two sides of a network split don't both grant the full plan.

    Neither side knows what the other one grants.
    """

    def cut(self) -> None:
        """Splits the fleet in two and waits until both sides have detected it."""
        for side, other in (SIDES, SIDES[::-1]):
            for name in side:
                self.launcher.set_link_faults(name, drop_to=other, drop_from=other)
        for side in SIDES:
            for name in side:
                eventually(self.reaches, name, set(side))

    def reaches(self, name: str, others: set[str]) -> bool:
        """Returns whether one daemon reaches exactly the given members."""
        return reachable_members(self.launcher, name) == others

    def test_a_plan_first_used_in_a_split_stays_within_its_bound(self) -> None:
        time.sleep(2 * SETTLING_S)
        self.cut()
        counts: Counter[str] = Counter()
        self.assert_admitted_within(ADMITTED_PLANS_IN_SPLIT_MAX, counts)
        self.assert_all_served(counts)


class PlanWhileHostRestartsTest(PlanOverHostsTest):
    """A host that is killed and starts again doesn't add a share to the plan.

    The new process must not receive a share beside that of its predecessor.
    """

    def inject_fault(self) -> None:
        """Kills a daemon and starts it again under the same name."""
        name = "association-2"
        self.launcher.signal_daemon(name, signal.SIGKILL)
        self.launcher.wait_for_exit(name)
        self.launcher.start_daemon(name)
