"""Tests of daemons that leave, on separate processes."""

import signal
import threading
import time
import unittest
from collections import Counter
from dataclasses import replace
from typing import Any, Final

from returns.result import Failure, Success

from lavendertide.caller_client import CallerClient
from standins.deployment import ASSOCIATION, scaled_down
from standins.launcher import Launcher
from tests.processes.waiting import eventually, members

DAEMONS: Final = tuple(f"association-{number}" for number in range(3))
ASSOCIATION_OF_THREE: Final = scaled_down(ASSOCIATION, 4, len(DAEMONS))
AMPLE_PLANS: Final = tuple(
    replace(plan, rate_per_s=10_000.0, burst=2_000, concurrency=500)
    for plan in ASSOCIATION.plans
)
OWNERS: Final = (replace(ASSOCIATION_OF_THREE, plans=AMPLE_PLANS),)
LIFETIME_S: Final = 1.5
FLEET: Final[dict[str, Any]] = {
    "fleet": {"heartbeat_s": 0.25, "address_lifetime_s": LIFETIME_S}
}
KEPT_S: Final = 60.0
ASKERS: Final = 5
STAGGER_S: Final = 0.12
CALLERS: Final = 3
PAUSE_S: Final = 0.03


class DrainTest(unittest.TestCase):
    """A daemon that leaves finishes what it has taken."""

    def setUp(self) -> None:
        self.launcher = Launcher(OWNERS, overrides=FLEET, median_ms=600.0)
        self.addCleanup(self.launcher.stop)
        self.launcher.start()

    def addresses_from(self, name: str) -> set[str] | None:
        """Returns the addresses that one daemon gives to a caller, none if refused."""
        answer = self.launcher.get_json(self.launcher.callers[name], "/v1/addresses")
        return set(answer["addresses"]) if "addresses" in answer else None

    def is_forgotten_by(self, name: str, other: str) -> bool:
        """Returns whether one daemon no longer gives out another's address."""
        addresses = self.addresses_from(name)
        return addresses is not None and self.launcher.callers[other] not in addresses

    def is_given_by(self, name: str, other: str) -> bool:
        """Returns whether one daemon gives out another's address."""
        return self.launcher.callers[other] in (self.addresses_from(name) or set())

    def ask_until(self, name: str, ends_at_s: float, answers: list[object]) -> None:
        """Searches through one daemon, the last time just before a moment."""
        while (now_s := time.monotonic()) < ends_at_s:
            client = CallerClient([], "stall-clerk")
            client._addresses = [self.launcher.callers[name]]
            client._addresses_expire_at_s = now_s + KEPT_S
            answers.append(client.search("venue-desk", "order", 2_000, 5, now_s))

    def leave_while_asked(self, leaver: str, answers: list[object]) -> None:
        """Tells a daemon to leave while callers use the addresses that they have."""
        answered_at_s = time.monotonic()
        self.assertIn(self.launcher.callers[leaver], self.addresses_from(leaver) or ())
        ends_at_s = answered_at_s + LIFETIME_S
        askers = [
            threading.Thread(target=self.ask_until, args=(leaver, ends_at_s, answers))
            for _ in range(ASKERS)
        ]
        self.launcher.signal_daemon(leaver, signal.SIGTERM)
        for asker in askers:
            asker.start()
            time.sleep(STAGGER_S)
        self.wait_until_forgotten(leaver)
        for asker in askers:
            asker.join()

    def wait_until_forgotten(self, leaver: str) -> None:
        """Waits until no other daemon gives a leaving one's address any more."""
        for name in DAEMONS:
            if name != leaver:
                eventually(self.is_forgotten_while_leaving, name, leaver)

    def is_forgotten_while_leaving(self, name: str, other: str) -> bool:
        """Returns whether one daemon knows that another leaves, and hides it."""
        is_leaving = members(self.launcher, name).get(other) == "leaving"
        return is_leaving and self.is_forgotten_by(name, other)

    def test_callers_that_keep_an_address_are_all_answered(self) -> None:
        leaver, others = DAEMONS[0], DAEMONS[1:]
        for name in others:
            eventually(self.is_given_by, name, leaver)
        answers: list[object] = []
        self.leave_while_asked(leaver, answers)
        self.assertGreaterEqual(len(answers), ASKERS)
        self.assertEqual({type(answer) for answer in answers}, {Success}, answers)
        self.assertEqual(self.launcher.wait_for_exit(leaver), 0)
        for name in others:
            eventually(self.is_removed_from, name, leaver)

    def is_removed_from(self, name: str, other: str) -> bool:
        """Returns whether one daemon no longer counts another as a member."""
        return other not in members(self.launcher, name)

    def test_a_second_signal_ends_it_at_once(self) -> None:
        leaver = DAEMONS[1]
        self.launcher.signal_daemon(leaver, signal.SIGTERM)
        eventually(self.is_leaving, leaver)
        self.launcher.signal_daemon(leaver, signal.SIGTERM)
        self.assertEqual(self.launcher.wait_for_exit(leaver), 0)

    def is_leaving(self, name: str) -> bool:
        """Returns whether a daemon says that it leaves."""
        return bool(self.launcher.status(name)["readiness"] == "leaving")


class RollingReplacementTest(unittest.TestCase):
    """Every daemon is replaced in turn while callers go on asking."""

    def setUp(self) -> None:
        self.launcher = Launcher(OWNERS, overrides=FLEET)
        self.addCleanup(self.launcher.stop)
        self.launcher.start()
        self.stopped = threading.Event()
        self.outcomes: Counter[str] = Counter()

    def ask_until_stopped(self) -> None:
        """Searches again and again, at a pace that the plan allows."""
        client = CallerClient(list(self.launcher.callers.values()), "stall-clerk")
        while not self.stopped.is_set():
            match client.search("venue-desk", "order", 1_000, 5, time.monotonic()):
                case Success(answer):
                    gaps = {f"{g['reason']}, {g['fault']}" for g in answer["gaps"]}
                    self.outcomes["; ".join(sorted(gaps)) or "whole"] += 1
                case Failure(refusal):
                    self.outcomes[refusal.kind.value] += 1
            self.stopped.wait(PAUSE_S)

    def test_no_query_fails_while_every_host_is_replaced(self) -> None:
        callers: list[threading.Thread] = []
        for _ in range(CALLERS):
            callers.append(threading.Thread(target=self.ask_until_stopped))
            callers[-1].start()
        try:
            for name in DAEMONS:
                self.launcher.signal_daemon(name, signal.SIGTERM)
                self.assertEqual(self.launcher.wait_for_exit(name), 0)
                self.launcher.start_daemon(name)
                self.launcher.wait_until_ready(name)
        finally:
            self.stopped.set()
            for caller in callers:
                caller.join()
        self.assertGreater(self.outcomes["whole"], 0)
        self.assertEqual(set(self.outcomes), {"whole"}, self.outcomes)


if __name__ == "__main__":
    unittest.main()
