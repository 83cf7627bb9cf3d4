"""Process tests that the slots and connections of targets are never exceeded."""

import signal
import unittest

from standins.deployment import ASSOCIATION, scaled_down
from standins.launcher import Launcher
from tests.processes.callers import SearchLoad
from tests.processes.holders import count_breaches, count_runs, primary_targets_of
from tests.processes.waiting import eventually

OWNERS = (scaled_down(ASSOCIATION, 4, 3),)
INDEX = "venue-desk"
KEY = "stall-clerk"
FIRST, SECOND = "association-0", "association-1"
THREADS = 24
RESPONSES = 30
FLEET = {"lease_s": 1.0, "address_lifetime_s": 1.0}
QUERIES = {"deadline_max_ms": 1_000}
NO_BREACH = {"slots": 0, "connections": 0}


class SlotFaultTest(unittest.TestCase):
    """Holders that are killed, stopped, replaced or cut off never overload a target.

    A backup takes over such a holder's targets. Both together could exceed the slots or
    connections of a target if the holder still uses its own or comes back too early.
    """

    def setUp(self) -> None:
        overrides = {"fleet": FLEET, "queries": QUERIES}
        self.launcher = Launcher(
            OWNERS, median_ms=60.0, overrides=overrides, has_link_faults=True
        )
        self.addCleanup(self.launcher.stop)
        self.launcher.start()

    def isolate(self, *isolated: str) -> None:
        """Cuts daemons off from all others; restores all links if none is given."""
        for name in self.launcher.peers:
            if name not in isolated:
                self.launcher.set_link_faults(
                    name, drop_to=isolated, drop_from=isolated
                )

    def wait_for_runs(self, daemon: str = FIRST) -> None:
        """Waits until a primary holder's targets have run more requests."""
        before = self.count_runs_by_primary(daemon)
        eventually(lambda: self.count_runs_by_primary(daemon) > before)

    def count_runs_by_primary(self, daemon: str) -> int:
        """Returns the number of requests that a primary holder's targets have run."""
        targets = primary_targets_of(self.launcher, INDEX, daemon)
        return sum(count_runs(self.launcher, target) for target in targets)

    def is_backup_using_slots(self) -> bool:
        """Returns whether another daemon uses slots of the first one's targets."""
        own = set(primary_targets_of(self.launcher, INDEX, FIRST))
        return any(
            target_queue["target"] in own and target_queue["slots_in_use"]
            for daemon, address in self.launcher.admins.items()
            if daemon != FIRST
            for target_queue in self.launcher.get_json(address, "/v1/targets")[
                "targets"
            ]
        )

    def test_a_killed_holder(self) -> None:
        with SearchLoad(self.launcher, KEY, INDEX, THREADS) as load:
            load.wait_for(RESPONSES)
            self.launcher.signal_daemon(FIRST, signal.SIGKILL)
            self.launcher.wait_for_exit(FIRST)
            self.wait_for_runs()
            self.launcher.start_daemon(FIRST)
            self.launcher.wait_until_ready(FIRST)
            load.wait_for(RESPONSES)
        self.assertEqual(count_breaches(self.launcher), NO_BREACH)

    def test_a_holder_that_is_stopped_and_resumed(self) -> None:
        with SearchLoad(self.launcher, KEY, INDEX, THREADS) as load:
            load.wait_for(RESPONSES)
            self.launcher.signal_daemon(FIRST, signal.SIGSTOP)
            self.wait_for_runs()
            self.launcher.signal_daemon(FIRST, signal.SIGCONT)
            self.launcher.wait_until_ready(FIRST)
            load.wait_for(3 * RESPONSES)
        self.assertEqual(count_breaches(self.launcher), NO_BREACH)

    def test_a_rolling_replacement(self) -> None:
        with SearchLoad(self.launcher, KEY, INDEX, THREADS) as load:
            for daemon in (FIRST, SECOND):
                load.wait_for(RESPONSES)
                self.launcher.signal_daemon(daemon, signal.SIGTERM)
                self.launcher.wait_for_exit(daemon)
                self.launcher.start_daemon(daemon)
                self.launcher.wait_until_ready(daemon)
            self.wait_for_runs()
        self.assertEqual(count_breaches(self.launcher), NO_BREACH)

    def test_a_split_with_both_sides_serving(self) -> None:
        with SearchLoad(self.launcher, KEY, INDEX, THREADS) as load:
            load.wait_for(RESPONSES)
            self.isolate(FIRST)
            eventually(self.is_backup_using_slots)
            load.wait_for(5 * RESPONSES)
            self.wait_for_runs(FIRST)
            self.wait_for_runs(SECOND)
            self.isolate()
            self.launcher.wait_until_ready(FIRST)
            load.wait_for(3 * RESPONSES)
        self.assertEqual(count_breaches(self.launcher), NO_BREACH)
