"""Process tests of daemons that are killed, stopped or cut off from each other."""

import signal
import threading
import time
import unittest
from dataclasses import replace
from typing import Any, Final

from returns.result import Failure, Success

from lavendertide.caller_client import CallerClient
from standins.deployment import ASSOCIATION, scaled_down
from standins.launcher import Launcher
from tests.processes.waiting import eventually, member_states, reachable_members

SHARDS: Final = 4
DAEMONS: Final = tuple(f"association-{number}" for number in range(4))
OWNERS: Final = (replace(scaled_down(ASSOCIATION, SHARDS, len(DAEMONS))),)
OVERRIDES: Final[dict[str, Any]] = {
    "fleet": {
        "heartbeat_s": 0.25,
        "lease_s": 1.0,
        "removal_s": 1.0,
        "address_lifetime_s": 0.5,
    }
}


# Longer than a lease, with a margin for the two processes reading their clocks late.
PAUSE_S: Final = 1.5 * OVERRIDES["fleet"]["lease_s"]


class FleetTestCase(unittest.TestCase):
    """Starts one fleet of four daemons for all tests of a class.

    Each test of a class with several undoes its faults.
    """

    launcher: Launcher

    @classmethod
    def setUpClass(cls) -> None:
        cls.launcher = Launcher(OWNERS, overrides=OVERRIDES, has_link_faults=True)
        cls.addClassCleanup(cls.launcher.stop)
        cls.launcher.start()

    def search(self, name: str) -> dict[str, Any] | None:
        """Searches through one daemon; returns None if it refuses.

        Asserts that the response accounts for every shard.
        """
        client = CallerClient([], "stall-clerk")
        client._addresses = [self.launcher.callers[name]]
        client._addresses_expire_at_s = time.monotonic() + 60
        match client.search("venue-desk", "order", 500, 5, time.monotonic()):
            case Success(response):
                accounted = set(response["covered"]) | {
                    g["shard"] for g in response["gaps"]
                }
                self.assertEqual(accounted, set(range(SHARDS)))
                return dict(response)
        return None

    def is_whole(self, name: str) -> bool:
        """Returns whether a search through one daemon covers every shard."""
        response = self.search(name)
        return response is not None and bool(response["whole"])

    def sum_metric(self, metric: str) -> float:
        """Returns the sum of a metric over all daemons."""
        return sum(self.launcher.metric(name, metric) for name in DAEMONS)

    def heal(self) -> None:
        """Removes all link faults and waits until every daemon reaches all others."""
        for name in DAEMONS:
            self.launcher.set_link_faults(name)
        for name in DAEMONS:
            eventually(self.sees_all_serving, name)

    def sees_all_serving(self, name: str) -> bool:
        """Returns whether one daemon reaches all members and sees them as serving."""
        states = member_states(self.launcher, name)
        all_serving = dict.fromkeys(DAEMONS, "serving")
        return states == all_serving and self.reaches(name, set(DAEMONS))

    def reaches(self, name: str, others: set[str]) -> bool:
        """Returns whether one daemon reaches exactly the given members."""
        return reachable_members(self.launcher, name) == others

    def sees_in_state(self, name: str, other: str, state: str | None) -> bool:
        """Returns whether one daemon sees another in a state, None for removed."""
        return member_states(self.launcher, name).get(other) == state


class CutLinksTest(FleetTestCase):
    """Links that are cut or lossy neither remove members nor stop searches.

    A member that a daemon can't reach may be alive and serve its own callers, so a cut
    alone must not remove it.
    """

    def test_both_sides_of_a_split_serve_and_heal(self) -> None:
        sides = DAEMONS[:2], DAEMONS[2:]
        for side, other in (sides, sides[::-1]):
            for name in side:
                self.launcher.set_link_faults(name, drop_to=other, drop_from=other)
        for side in sides:
            for name in side:
                eventually(self.reaches, name, set(side))
        for name in DAEMONS:
            eventually(self.is_whole, name)
        self.heal()
        for name in DAEMONS:
            eventually(self.is_whole, name)
        self.assertEqual(self.sum_metric("lavendertide_removals_total"), 0)

    def test_a_one_way_cut_is_detected_at_both_ends_and_suspects_nobody(self) -> None:
        before = self.sum_metric("lavendertide_suspicions_total")
        first, second = DAEMONS[:2]
        self.launcher.set_link_faults(first, drop_to=(second,))
        eventually(self.reaches, first, set(DAEMONS) - {second})
        eventually(self.reaches, second, set(DAEMONS) - {first})
        for name in DAEMONS[2:]:
            self.assertEqual(reachable_members(self.launcher, name), set(DAEMONS))
        for name in DAEMONS:
            eventually(self.is_whole, name)
        self.heal()
        self.assertEqual(self.sum_metric("lavendertide_suspicions_total"), before)

    def test_lossy_links_remove_nobody_and_responses_stay_correct(self) -> None:
        for name in DAEMONS:
            self.launcher.set_link_faults(name, loss=0.1, delay_s=0.002)
        for _ in range(5):
            for name in DAEMONS:
                self.search(name)
        self.heal()
        self.assertEqual(self.sum_metric("lavendertide_removals_total"), 0)


class FrozenDaemonTest(FleetTestCase):
    """A stopped daemon that resumes serves nothing before it has reached its peers.

    Its lease has ended during the pause, so another daemon may hold its targets. A
    request that waited in its sockets meanwhile must be refused.
    """

    def test_a_request_that_waited_through_the_pause_is_refused(self) -> None:
        frozen, others = DAEMONS[0], DAEMONS[1:]
        self.launcher.set_link_faults(frozen, drop_to=others, drop_from=others)
        eventually(self.reaches, frozen, {frozen})
        before = self.launcher.metric(frozen, "lavendertide_late_wakes_total")
        self.launcher.signal_daemon(frozen, signal.SIGSTOP)
        stopped_at_s = time.monotonic()
        for name in others:
            eventually(self.sees_in_state, name, frozen, "suspect")
        kinds: list[str] = []
        caller = threading.Thread(
            target=lambda: kinds.append(self.search_refusal_kind(frozen))
        )
        caller.start()
        # The cut links may have made it a suspect before it was stopped.
        eventually(lambda: time.monotonic() - stopped_at_s > PAUSE_S)
        self.launcher.signal_daemon(frozen, signal.SIGCONT)
        caller.join()
        self.assertEqual(kinds, ["not_ready"])
        after = self.launcher.metric(frozen, "lavendertide_late_wakes_total")
        self.assertEqual(after, before + 1)
        self.heal()
        eventually(self.is_whole, frozen)
        self.assertEqual(self.sum_metric("lavendertide_removals_total"), 0)

    def search_refusal_kind(self, name: str) -> str:
        """Searches through one daemon; returns the kind of refusal, or `answered`."""
        client = CallerClient([], "stall-clerk")
        client._addresses = [self.launcher.callers[name]]
        client._addresses_expire_at_s = time.monotonic() + 60
        match client.search("venue-desk", "order", 10_000, 5, time.monotonic()):
            case Failure(refusal):
                return str(refusal.kind.value)
        return "answered"


class KilledDaemonTest(FleetTestCase):
    """A killed daemon becomes a suspect but stays a member until it is unlisted.

    Searches must cover all shards meanwhile. A silent member may only be cut off, so
    silence alone must not remove it.
    """

    def test_a_kill_is_survived_and_removal_waits_for_the_list(self) -> None:
        killed, others = DAEMONS[1], DAEMONS[:1] + DAEMONS[2:]
        self.launcher.signal_daemon(killed, signal.SIGKILL)
        self.launcher.wait_for_exit(killed)
        for name in others:
            eventually(self.is_whole, name)
            eventually(self.sees_in_state, name, killed, "suspect")
        time.sleep(2 * OVERRIDES["fleet"]["removal_s"])
        for name in others:
            self.assertEqual(member_states(self.launcher, name)[killed], "suspect")
        self.launcher.publish_hosts(list(others))
        for name in others:
            eventually(self.sees_in_state, name, killed, None)
        self.launcher.publish_hosts(list(DAEMONS))
        self.launcher.start_daemon(killed)
        self.launcher.wait_until_ready(killed)
        self.heal()


class FleetKeyTest(FleetTestCase):
    """A daemon with a wrong fleet key is refused by all members.

    It tries again all the time, so the refusals are counted, but logged once.
    """

    def test_a_wrong_key_is_refused_counted_and_logged_once(self) -> None:
        outsider, others = DAEMONS[3], DAEMONS[:3]
        self.launcher.signal_daemon(outsider, signal.SIGKILL)
        self.launcher.wait_for_exit(outsider)
        self.launcher.change_settings(
            outsider, "fleet", key="another-key-than-the-fleets"
        )
        self.launcher.start_daemon(outsider)
        for name in others:
            eventually(self.has_refused_peers, name)
            eventually(self.sees_in_state, name, outsider, "suspect")
            lines = self.launcher.log_of(name).count("does not prove the fleet's key")
            self.assertEqual(lines, 1)
        self.assertEqual(set(member_states(self.launcher, outsider)), {outsider})

    def has_refused_peers(self, name: str) -> bool:
        """Returns whether one daemon has refused more than two connections of peers."""
        return self.launcher.metric(name, "lavendertide_peers_refused_total") > 2


if __name__ == "__main__":
    unittest.main()
