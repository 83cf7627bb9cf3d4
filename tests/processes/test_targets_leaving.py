"""Process tests of targets that drain, crash or outlast deadlines."""

import time
import unittest

from lavendertide.targets.condition import DRAINING_KEPT_S
from standins.deployment import ASSOCIATION, scaled_down
from standins.launcher import Launcher
from tests.processes.callers import SearchLoad, pinned_client
from tests.processes.holders import count_breaches
from tests.processes.waiting import eventually

OWNERS = (scaled_down(ASSOCIATION, 4, 3),)
INDEX = "venue-desk"
KEY = "stall-clerk"
TARGET = "venue-desk-1-0"
# Not `TARGET`, since daemons keep the draining state that its health endpoint reports
# for `DRAINING_KEPT_S`, beyond the end of a test.
TARGET_BY_REPLY = "venue-desk-3-0"
THREADS = 6
RESPONSES = 60
NO_BREACH = {"slots": 0, "connections": 0}


class LeavingTargetTest(unittest.TestCase):
    """Draining targets receive no new work, and a slot is freed when its attempt ends.

    A daemon that frees a slot while the target still runs its attempt would send more
    than the target's slots allow.
    """

    launcher: Launcher

    @classmethod
    def setUpClass(cls) -> None:
        cls.launcher = Launcher(OWNERS)
        cls.addClassCleanup(cls.launcher.stop)
        cls.launcher.start()

    def tearDown(self) -> None:
        self.assertEqual(count_breaches(self.launcher), NO_BREACH)

    def count_requests(self, target: str) -> int:
        """Returns the number of requests that a target has received."""
        return int(self.launcher.target_counts()[target]["requests"])

    def count_cancelled(self) -> int:
        """Returns the number of attempts that were cancelled at all targets."""
        counts = self.launcher.target_counts().values()
        return sum(int(each["cancelled"]) for each in counts)

    def test_a_draining_reply_ends_new_work(self) -> None:
        self.launcher.change_target(
            TARGET_BY_REPLY, state="draining", health_says="serving"
        )
        self.addCleanup(
            self.launcher.change_target,
            TARGET_BY_REPLY,
            state="serving",
            health_says=None,
        )
        with SearchLoad(self.launcher, KEY, INDEX, THREADS) as load:
            load.wait_for(RESPONSES)
            before, began_s = self.count_requests(TARGET_BY_REPLY), time.monotonic()
            load.wait_for(5 * RESPONSES)
            # Each of two holders probes again once the draining state has expired.
            probes = 1 + int((time.monotonic() - began_s) / DRAINING_KEPT_S)
            self.assertLessEqual(
                self.count_requests(TARGET_BY_REPLY) - before, 2 * probes
            )
        self.assertEqual(load.gaps, [])

    def test_a_draining_health_endpoint_ends_new_work(self) -> None:
        with SearchLoad(self.launcher, KEY, INDEX, THREADS) as load:
            load.wait_for(RESPONSES)
            self.launcher.change_target(TARGET, health_says="draining")
            self.addCleanup(self.launcher.change_target, TARGET, health_says=None)
            eventually(lambda: self.receives_no_work(load))
        self.assertEqual(load.gaps, [])

    def receives_no_work(self, load: SearchLoad) -> bool:
        """Returns whether the target receives nothing while many responses come in."""
        before = self.count_requests(TARGET)
        load.wait_for(RESPONSES)
        return self.count_requests(TARGET) == before

    def test_an_abandoned_attempt_is_cancelled_at_the_target(self) -> None:
        self.slow_down(f"{INDEX}-2-0")
        before = self.count_cancelled()
        client = pinned_client(self.launcher, KEY, "association-0")

        def has_cancelled_a_loser() -> bool:
            result = client.search(INDEX, "slow", 1_000, 5, time.monotonic())
            self.assertTrue(result.unwrap()["whole"])
            return self.count_cancelled() > before

        eventually(has_cancelled_a_loser)

    def test_attempts_that_outlast_the_deadline_breach_no_slot(self) -> None:
        for replica in range(2):
            self.slow_down(f"{INDEX}-2-{replica}")
        client = pinned_client(self.launcher, KEY, "association-0")
        for _ in range(10):
            client.search(INDEX, "slow", 100, 5, time.monotonic())

    def slow_down(self, target: str) -> None:
        """Makes a target take longer than any deadline of these tests."""
        self.launcher.change_target(target, median_ms=1_500.0)
        self.addCleanup(self.launcher.change_target, target, median_ms=5.0)

    def test_a_crashed_target_is_used_again(self) -> None:
        self.launcher.change_target(TARGET, restart_ms=300.0)
        with SearchLoad(self.launcher, KEY, INDEX, THREADS) as load:
            load.wait_for(RESPONSES)
            self.launcher.crash_target(TARGET)
            before = self.count_requests(TARGET)
            eventually(lambda: self.count_requests(TARGET) > before + THREADS)
        self.assertEqual(self.launcher.target_counts()[TARGET]["crashes"], 1)
