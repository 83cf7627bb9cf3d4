"""Process tests of daemons that leave the fleet or are replaced."""

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
from tests.processes.waiting import eventually, member_states

DAEMONS: Final = tuple(f"association-{number}" for number in range(3))
ASSOCIATION_OF_THREE: Final = scaled_down(ASSOCIATION, 4, len(DAEMONS))
AMPLE_PLANS: Final = tuple(
    replace(plan, rate_per_s=10_000.0, burst=2_000, concurrency=500)
    for plan in ASSOCIATION.plans
)
OWNERS: Final = (replace(ASSOCIATION_OF_THREE, plans=AMPLE_PLANS),)
ADDRESS_LIFETIME_S: Final = 1.5
OVERRIDES: Final[dict[str, Any]] = {
    "fleet": {"heartbeat_s": 0.25, "address_lifetime_s": ADDRESS_LIFETIME_S}
}
ADDRESS_KEPT_S: Final = 60.0
DRAIN_CALLERS: Final = 5
STAGGER_S: Final = 0.12
REPLACEMENT_CALLERS: Final = 3
PAUSE_S: Final = 0.03


class DrainTest(unittest.TestCase):
    """A leaving daemon finishes the requests that it has accepted.

    Callers keep an address for its lifetime, so requests still arrive after the daemon
    is signalled to leave. They would fail if it ended before that lifetime is over.
    """

    def setUp(self) -> None:
        self.launcher = Launcher(OWNERS, overrides=OVERRIDES, median_ms=600.0)
        self.addCleanup(self.launcher.stop)
        self.launcher.start()

    def addresses_given_by(self, name: str) -> set[str] | None:
        """Returns the addresses that a daemon gives to callers, None if it refuses."""
        response = self.launcher.get_json(self.launcher.callers[name], "/v1/addresses")
        return set(response["addresses"]) if "addresses" in response else None

    def has_withdrawn_address(self, name: str, other: str) -> bool:
        """Returns whether one daemon no longer gives another's address to callers."""
        addresses = self.addresses_given_by(name)
        return addresses is not None and self.launcher.callers[other] not in addresses

    def gives_address(self, name: str, other: str) -> bool:
        """Returns whether one daemon gives another's address to callers."""
        return self.launcher.callers[other] in (self.addresses_given_by(name) or set())

    def search_until(self, name: str, stop_at_s: float, results: list[object]) -> None:
        """Searches through one daemon; the last search starts before `stop_at_s`."""
        while (now_s := time.monotonic()) < stop_at_s:
            client = CallerClient([], "stall-clerk")
            client._addresses = [self.launcher.callers[name]]
            client._addresses_expire_at_s = now_s + ADDRESS_KEPT_S
            results.append(client.search("venue-desk", "order", 2_000, 5, now_s))

    def drain_under_load(self, leaving: str, results: list[object]) -> None:
        """Makes a daemon leave while callers use its address until that expires."""
        addresses_read_at_s = time.monotonic()
        self.assertIn(
            self.launcher.callers[leaving], self.addresses_given_by(leaving) or ()
        )
        stop_at_s = addresses_read_at_s + ADDRESS_LIFETIME_S
        searchers = [
            threading.Thread(
                target=self.search_until, args=(leaving, stop_at_s, results)
            )
            for _ in range(DRAIN_CALLERS)
        ]
        self.launcher.signal_daemon(leaving, signal.SIGTERM)
        for searcher in searchers:
            searcher.start()
            time.sleep(STAGGER_S)
        self.wait_until_withdrawn(leaving)
        for searcher in searchers:
            searcher.join()

    def wait_until_withdrawn(self, leaving: str) -> None:
        """Waits until no other daemon gives the leaving one's address to callers."""
        for name in DAEMONS:
            if name != leaving:
                eventually(self.has_withdrawn_leaving_address, name, leaving)

    def has_withdrawn_leaving_address(self, name: str, other: str) -> bool:
        """Returns whether one daemon withdrew the address of a leaving one."""
        is_leaving = member_states(self.launcher, name).get(other) == "leaving"
        return is_leaving and self.has_withdrawn_address(name, other)

    def test_callers_that_keep_an_address_are_all_answered(self) -> None:
        leaving, others = DAEMONS[0], DAEMONS[1:]
        for name in others:
            eventually(self.gives_address, name, leaving)
        results: list[object] = []
        self.drain_under_load(leaving, results)
        self.assertGreaterEqual(len(results), DRAIN_CALLERS)
        self.assertEqual({type(result) for result in results}, {Success}, results)
        self.assertEqual(self.launcher.wait_for_exit(leaving), 0)
        for name in others:
            eventually(self.is_removed_from, name, leaving)

    def is_removed_from(self, name: str, other: str) -> bool:
        """Returns whether one daemon has removed another from its roster."""
        return other not in member_states(self.launcher, name)

    def test_a_second_signal_ends_it_at_once(self) -> None:
        leaving = DAEMONS[1]
        self.launcher.signal_daemon(leaving, signal.SIGTERM)
        eventually(self.is_leaving, leaving)
        self.launcher.signal_daemon(leaving, signal.SIGTERM)
        self.assertEqual(self.launcher.wait_for_exit(leaving), 0)

    def is_leaving(self, name: str) -> bool:
        """Returns whether a daemon reports that it is leaving."""
        return bool(self.launcher.status(name)["readiness"] == "leaving")


class RollingReplacementTest(unittest.TestCase):
    """A rolling replacement fails no query.

    Each daemon leaves and starts again in turn while callers search all the time.
    """

    def setUp(self) -> None:
        self.launcher = Launcher(OWNERS, overrides=OVERRIDES)
        self.addCleanup(self.launcher.stop)
        self.launcher.start()
        self.stopped = threading.Event()
        self.outcomes: Counter[str] = Counter()

    def search_until_stopped(self) -> None:
        """Searches repeatedly at a rate that the plan allows and counts the outcomes.

        `whole` stands for responses without gaps. Other responses are counted by their
        gaps' reasons and faults, refusals by their kind.
        """
        client = CallerClient(list(self.launcher.callers.values()), "stall-clerk")
        while not self.stopped.is_set():
            match client.search("venue-desk", "order", 1_000, 5, time.monotonic()):
                case Success(response):
                    gaps = {f"{g['reason']}, {g['fault']}" for g in response["gaps"]}
                    self.outcomes["; ".join(sorted(gaps)) or "whole"] += 1
                case Failure(refusal):
                    self.outcomes[refusal.kind.value] += 1
            self.stopped.wait(PAUSE_S)

    def test_no_query_fails_while_every_host_is_replaced(self) -> None:
        callers: list[threading.Thread] = []
        for _ in range(REPLACEMENT_CALLERS):
            callers.append(threading.Thread(target=self.search_until_stopped))
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
