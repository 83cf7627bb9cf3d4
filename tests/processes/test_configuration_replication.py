"""Process tests of replicated, refused and conflicting publications."""

import signal
import threading
import time
import unittest
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Success

from lavendertide.caller_client import CallerClient
from standins.deployment import ASSOCIATION, scaled_down
from standins.launcher import Launcher
from tests.processes.waiting import eventually

HOSTS = 5
HOSTS_WITH_SPARE_WATCHER = 7
AMPLE_RATE_PER_S = 100_000.0
DEADLINE_MS = 1_000
# Callers stay well within their plan, so that only a configuration change could cause a
# failure. Failures before a plan that is new to the fleet has been divided don't count.
PACE_S = 0.05


class FleetTestCase(unittest.TestCase):
    """Starts one fleet in three failure domains for all tests of a class."""

    launcher: Launcher
    hosts = HOSTS

    @classmethod
    def setUpClass(cls) -> None:
        cls.launcher = Launcher(
            (scaled_down(ASSOCIATION, 2, cls.hosts),), target_processes=1
        )
        cls.addClassCleanup(cls.launcher.stop)
        cls.launcher.start()

    def publish(self, lists: dict[str, Any]) -> int:
        """Publishes lists and returns their version."""
        self.launcher.post(self.launcher.configuration, "/v1/publish", lists)
        return int(lists["plans"]["version"])

    def status(self, name: str) -> dict[str, Any]:
        """Returns the configuration status of one daemon."""
        status: dict[str, Any] = self.launcher.get_json(
            self.launcher.admins[name], "/v1/configuration"
        )
        return status

    def statuses(self, names: list[str] | None = None) -> list[dict[str, Any]]:
        """Returns the configuration status of several daemons, by default of all."""
        return [self.status(name) for name in names or list(self.launcher.admins)]

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits for a condition; shows the status of all daemons if it fails."""
        try:
            eventually(condition)
        except AssertionError:
            self.fail(f"condition did not hold in time: {self.statuses()}")

    def wait_for_version(self, version: int, names: list[str] | None = None) -> None:
        """Waits until a version is in force on the daemons, by default on all."""
        self.wait_until(
            lambda: all(s["version"] == version for s in self.statuses(names))
        )


class ChangeUnderLoadTest(FleetTestCase):
    """A change comes into force on every daemon and fails no query.

    A query could be refused or lose shards while a daemon replaces one version by the
    next.
    """

    def is_plan_divided_among_hosts(self) -> bool:
        """Returns whether the daemons that callers use hold most of the plan together.

        None of them may be left with a negligible share.
        """
        path = "/v1/plans/stall-clerk"
        plans = [self.launcher.get_json(a, path) for a in self.launcher.admins.values()]
        local_statuses = [
            plan["here"] for plan in plans if plan["here"]["demand_per_s"] > 0
        ]
        shares = [float(local_status["share"]) for local_status in local_statuses]
        return sum(shares) > 0.9 and min(shares) > 0.2

    def test_every_search_during_changes_is_answered_whole(self) -> None:
        ample = self.launcher.build_next_lists()
        ample["plans"]["plans"][0].update(
            rate_per_s=AMPLE_RATE_PER_S, burst=10_000, concurrency=1_000
        )
        self.wait_for_version(self.publish(ample))
        stopped = threading.Event()
        responses: list[dict[str, Any]] = []
        failures: list[str] = []

        def search(host: str) -> None:
            client = CallerClient([host], "stall-clerk")
            while not stopped.is_set():
                result = client.search(
                    "venue-desk", "o", DEADLINE_MS, 5, time.monotonic()
                )
                match result:
                    case Success(response):
                        responses.append(response)
                    case Failure(refusal):
                        failures.append(str(refusal))
                time.sleep(PACE_S)

        hosts = list(self.launcher.callers.values())[:3]
        threads = [threading.Thread(target=search, args=(host,)) for host in hosts]
        for thread in threads:
            thread.start()
        try:
            self.wait_until(self.is_plan_divided_among_hosts)
            failures.clear()
            for _ in range(5):
                lists = self.launcher.build_next_lists()
                rate_per_s = AMPLE_RATE_PER_S + lists["plans"]["version"]
                lists["plans"]["plans"][0].update(
                    rate_per_s=rate_per_s, burst=10_000, concurrency=1_000
                )
                self.wait_for_version(self.publish(lists))
        finally:
            stopped.set()
            for thread in threads:
                thread.join()
        self.assertEqual(failures, [])
        self.assertTrue(responses)
        self.assertEqual([r for r in responses if r["covered"] != [0, 1]], [])

    def test_a_removed_entitlement_is_refused_on_every_host(self) -> None:
        lists = self.launcher.build_next_lists()
        lists["uses"]["uses"] = [
            use for use in lists["uses"]["uses"] if use["plan"] != "promoter"
        ]
        self.wait_for_version(self.publish(lists))
        for host in self.launcher.callers.values():
            client = CallerClient([host], "promoter")
            client._addresses, client._addresses_expire_at_s = (
                [host],
                time.monotonic() + 60,
            )
            result = client.search(
                "promoter-view", "o", DEADLINE_MS, 5, time.monotonic()
            )
            self.assertEqual(result.failure().kind.value, "not_entitled")

    def test_a_change_is_replicated_without_full_publications(self) -> None:
        before = [status["spreading"] for status in self.statuses()]
        self.wait_for_version(self.publish(self.launcher.build_next_lists()))
        after = [status["spreading"] for status in self.statuses()]
        full_adoptions = [
            later["wholes_adopted"] - earlier["wholes_adopted"]
            for earlier, later in zip(before, after, strict=True)
        ]
        self.assertEqual(sum(full_adoptions), 0)


class RefusedPublicationTest(FleetTestCase):
    """Every daemon refuses a bad publication with the same problem text.

    The previous version must stay in force, and the refusal must be shown until a good
    publication follows.
    """

    def test_it_is_shown_on_every_daemon_and_ended_by_a_good_one(self) -> None:
        good = self.launcher.publish()
        self.wait_for_version(good)
        bad = self.launcher.build_next_lists()
        bad["uses"]["uses"][0]["plan"] = "nobody"
        version = self.publish(bad)
        self.wait_until(lambda: all(s["refusal"] for s in self.statuses()))
        refusals = [status["refusal"] for status in self.statuses()]
        self.assertEqual({r["version"] for r in refusals}, {version})
        self.assertEqual(len({r["problem"] for r in refusals}), 1)
        self.assertIn("plan 'nobody' is not in the list", refusals[0]["problem"])
        self.assertEqual({s["version"] for s in self.statuses()}, {good})
        self.wait_for_version(self.launcher.publish())
        self.wait_until(lambda: not any(s["refusal"] for s in self.statuses()))

    def test_a_malformed_list_is_refused(self) -> None:
        good = self.launcher.publish()
        self.wait_for_version(good)
        broken = self.launcher.build_next_lists()
        broken["uses"] = {"version": broken["plans"]["version"]}
        self.publish(broken)
        self.wait_until(lambda: all(s["refusal"] for s in self.statuses()))
        self.assertEqual({s["version"] for s in self.statuses()}, {good})
        self.wait_for_version(self.launcher.publish())


class RacingOperatorsTest(FleetTestCase):
    """Every daemon adopts the same one of two publications with the same version.

    Daemons that receive them in a different order could keep different lists otherwise.
    """

    def test_all_agree_and_show_the_conflict(self) -> None:
        first = self.launcher.build_next_lists()
        second = {
            **first,
            "plans": {**first["plans"], "plans": list(first["plans"]["plans"])},
        }
        second["plans"]["plans"][0] = {**second["plans"]["plans"][0], "rate_per_s": 7.0}
        self.launcher.post(self.launcher.configuration, "/v1/rival", second)
        version = self.publish(first)
        self.wait_until(
            lambda: (
                len({s["digest"] for s in self.statuses()}) == 1
                and all(
                    s["version"] == version and s["refusal"] for s in self.statuses()
                )
            )
        )
        problems = {status["refusal"]["problem"] for status in self.statuses()}
        self.assertEqual(len(problems), 1)
        self.assertIn("was published twice", problems.pop())
        self.launcher.post(self.launcher.configuration, "/v1/rival", {})
        self.wait_for_version(self.launcher.publish())
        self.wait_until(lambda: not any(s["refusal"] for s in self.statuses()))


class KilledWatchersTest(FleetTestCase):
    """Another daemon watches once all watchers of a failure domain have been killed.

    The next version must still reach all remaining daemons.
    """

    hosts = HOSTS_WITH_SPARE_WATCHER

    def test_the_next_version_reaches_all_remaining_daemons(self) -> None:
        domain = [
            name for name in self.launcher.admins if name.endswith(("0", "3", "6"))
        ]
        self.wait_until(lambda: len(self.watchers_among(domain)) == 2)
        killed = self.watchers_among(domain)
        for name in killed:
            self.launcher.signal_daemon(name, signal.SIGKILL)
        remaining = [name for name in self.launcher.admins if name not in killed]
        survivor = [name for name in domain if name not in killed]
        self.wait_for_version(self.launcher.publish(), remaining)
        self.wait_until(lambda: self.watchers_among(survivor) == survivor)
        self.wait_for_version(self.launcher.publish(), remaining)

    def watchers_among(self, names: list[str]) -> list[str]:
        """Returns which of the given daemons watch the service."""
        return [name for name in names if self.status(name)["service"]["watching"]]
