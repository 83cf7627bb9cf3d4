"""Tests on separate processes that slots and connections are never overrun."""

import signal
import unittest

from standins.deployment import ASSOCIATION, scaled_down
from standins.launcher import Launcher
from tests.processes.callers import SearchLoad
from tests.processes.holders import breaches_of, ran, targets_of
from tests.processes.waiting import eventually

OWNERS = (scaled_down(ASSOCIATION, 4, 3),)
INDEX = "venue-desk"
KEY = "stall-clerk"
FIRST, SECOND = "association-0", "association-1"
THREADS = 24
ANSWERS = 30
FLEET = {"lease_s": 1.0, "address_lifetime_s": 1.0}
QUERIES = {"deadline_max_ms": 1_000}
NO_BREACH = {"slots": 0, "connections": 0}


class SlotFaultTest(unittest.TestCase):
    """Holders that die, stop, leave or are cut off never overrun a target."""

    def setUp(self) -> None:
        overrides = {"fleet": FLEET, "queries": QUERIES}
        self.launcher = Launcher(
            OWNERS, median_ms=60.0, overrides=overrides, has_link_faults=True
        )
        self.addCleanup(self.launcher.stop)
        self.launcher.start()

    def cut(self, *cut_off: str) -> None:
        """Cuts daemons off from all others; nobody is cut off without any."""
        for name in self.launcher.peers:
            if name not in cut_off:
                self.launcher.set_link_faults(name, drop_to=cut_off, drop_from=cut_off)

    def wait_for_run(self, daemon: str = FIRST) -> None:
        """Waits until targets whose primary is a daemon run more requests."""
        before = self.ran_of(daemon)
        eventually(lambda: self.ran_of(daemon) > before)

    def ran_of(self, daemon: str) -> int:
        """Returns how many requests the targets of a daemon have run."""
        targets = targets_of(self.launcher, INDEX, daemon)
        return sum(ran(self.launcher, target) for target in targets)

    def is_backed_up(self) -> bool:
        """Returns whether another daemon runs something on the first one's targets."""
        own = set(targets_of(self.launcher, INDEX, FIRST))
        return any(
            lane["target"] in own and lane["slots_in_use"]
            for daemon, address in self.launcher.admins.items()
            if daemon != FIRST
            for lane in self.launcher.get_json(address, "/v1/targets")["targets"]
        )

    def test_a_killed_holder(self) -> None:
        with SearchLoad(self.launcher, KEY, INDEX, THREADS) as load:
            load.wait_for(ANSWERS)
            self.launcher.signal_daemon(FIRST, signal.SIGKILL)
            self.launcher.wait_for_exit(FIRST)
            self.wait_for_run()
            self.launcher.start_daemon(FIRST)
            self.launcher.wait_until_ready(FIRST)
            load.wait_for(ANSWERS)
        self.assertEqual(breaches_of(self.launcher), NO_BREACH)

    def test_a_holder_that_stops_and_wakes_late(self) -> None:
        with SearchLoad(self.launcher, KEY, INDEX, THREADS) as load:
            load.wait_for(ANSWERS)
            self.launcher.signal_daemon(FIRST, signal.SIGSTOP)
            self.wait_for_run()
            self.launcher.signal_daemon(FIRST, signal.SIGCONT)
            self.launcher.wait_until_ready(FIRST)
            load.wait_for(3 * ANSWERS)
        self.assertEqual(breaches_of(self.launcher), NO_BREACH)

    def test_a_rolling_replacement(self) -> None:
        with SearchLoad(self.launcher, KEY, INDEX, THREADS) as load:
            for daemon in (FIRST, SECOND):
                load.wait_for(ANSWERS)
                self.launcher.signal_daemon(daemon, signal.SIGTERM)
                self.launcher.wait_for_exit(daemon)
                self.launcher.start_daemon(daemon)
                self.launcher.wait_until_ready(daemon)
            self.wait_for_run()
        self.assertEqual(breaches_of(self.launcher), NO_BREACH)

    def test_a_split_with_both_sides_serving(self) -> None:
        with SearchLoad(self.launcher, KEY, INDEX, THREADS) as load:
            load.wait_for(ANSWERS)
            self.cut(FIRST)
            eventually(self.is_backed_up)
            load.wait_for(5 * ANSWERS)
            self.wait_for_run(FIRST)
            self.wait_for_run(SECOND)
            self.cut()
            self.launcher.wait_until_ready(FIRST)
            load.wait_for(3 * ANSWERS)
        self.assertEqual(breaches_of(self.launcher), NO_BREACH)
