"""Tests of a configuration service that is down or stale, on separate processes."""

import signal
import time
from typing import Any, ClassVar, Final

from returns.result import Failure, Success

from lavendertide.caller_client import CallerClient
from standins.deployment import ASSOCIATION, OwnerSpec, scaled_down
from standins.launcher import Launcher
from tests.processes.test_configuration_spread import (
    DEADLINE_MS,
    HOSTS_WITH_A_SPARE,
    FleetTestCase,
)
from tests.processes.waiting import GIVE_UP_S

OWNERS = (scaled_down(ASSOCIATION, 2, 4),)
NAME = "association-3"
NEIGHBOURS: Final = ("association-0", "association-3", "association-6")
FREEZE_S = 3.0
SLOW_LINKS_S: Final = 0.5
FAULTS_READ_S: Final = 0.5
# A newcomer takes requests once attempts of an earlier run have ended, so that short
# ones let it begin before it can have heard its peers.
SHORT_MS: Final = 100
TAKES_NOTHING: Final = {"not_ready", "unreachable"}


class ServiceTestCase(FleetTestCase):
    """A fleet of its own for each test."""

    overrides: ClassVar[dict[str, Any]] = {}
    owners: tuple[OwnerSpec, ...] = OWNERS

    def setUp(self) -> None:
        self.launcher = Launcher(
            self.owners,
            target_processes=1,
            overrides=self.overrides,
            has_link_faults=True,
        )
        self.addCleanup(self.launcher.stop)
        self.launcher.start()

    @classmethod
    def setUpClass(cls) -> None:
        """Starts nothing; each test has a fleet of its own."""

    def mode(self, mode: str) -> None:
        """Puts the service out of order, or in order again."""
        self.launcher.post(self.launcher.configuration, "/v1/mode", {"mode": mode})

    def restart(self) -> None:
        """Kills a daemon and starts it again; it keeps nothing."""
        self.launcher.signal_daemon(NAME, signal.SIGKILL)
        self.launcher.wait_for_exit(NAME)
        self.launcher.start_daemon(NAME)
        self.launcher.wait_until_ready(NAME)

    def search(self, name: str = NAME) -> Any:
        """Searches through the daemon that the tests restart or freeze."""
        host = self.launcher.callers[name]
        client = CallerClient([host], "promoter")
        client._addresses, client._addresses_expire_at_s = [host], time.monotonic() + 60
        return client.search("promoter-view", "o", DEADLINE_MS, 5, time.monotonic())

    def kinds_until(self, awaited: str, name: str) -> set[str]:
        """Searches until an awaited refusal comes; returns all kinds of answers."""
        kinds: set[str] = set()
        ends_at_s = time.monotonic() + GIVE_UP_S
        while awaited not in kinds and time.monotonic() < ends_at_s:
            match self.search(name):
                case Failure(refusal):
                    kinds.add(refusal.kind.value)
                case Success(_):
                    kinds.add("answered")
        return kinds

    def without_use(self) -> dict[str, Any]:
        """Returns lists in which the plan of `search` may use nothing."""
        lists = self.launcher.build_next_lists()
        uses = lists["uses"]["uses"]
        lists["uses"]["uses"] = [use for use in uses if use["plan"] != "promoter"]
        return lists


class ServiceOutOfOrderTest(ServiceTestCase):
    """The last good version stays, and newcomers learn it from their peers."""

    def test_a_daemon_joins_while_the_service_is_down(self) -> None:
        self.mode("down")
        self.wait_until(lambda: any(s["service"]["problem"] for s in self.statuses()))
        self.restart()
        self.assertEqual(self.status(NAME)["source"], "peer")
        self.assertIsInstance(self.search(), Success)
        self.mode("up")
        self.wait_for_version(self.launcher.publish())

    def test_a_stale_service_does_not_bring_a_newcomer_back(self) -> None:
        stale = self.launcher.build_next_lists()
        self.wait_for_version(self.publish(stale))
        self.wait_for_version(self.publish(self.without_use()))
        self.publish(stale)
        self.restart()
        self.assertEqual(self.search().failure().kind.value, "not_entitled")
        self.assertEqual({s["version"] for s in self.statuses()}, {3})
        self.launcher.publish()
        self.wait_for_version(4)

    def test_a_process_that_wakes_late_does_not_use_an_old_plan(self) -> None:
        self.assertIsInstance(self.search(), Success)
        self.launcher.signal_daemon(NAME, signal.SIGSTOP)
        others = [name for name in self.launcher.admins if name != NAME]
        self.wait_for_version(self.publish(self.without_use()), others)
        time.sleep(FREEZE_S)
        self.launcher.signal_daemon(NAME, signal.SIGCONT)
        kinds = set()
        while "not_entitled" not in kinds:
            kinds.add(self.search().failure().kind.value)
        self.assertLessEqual(kinds, {"not_entitled", "not_ready", "unreachable"})


class SlowLinksTest(ServiceTestCase):
    """A daemon that hears its peers late takes nothing on an old version before."""

    overrides: ClassVar[dict[str, Any]] = {"queries": {"deadline_max_ms": SHORT_MS}}
    owners = (scaled_down(ASSOCIATION, 2, HOSTS_WITH_A_SPARE),)

    def test_a_newcomer_takes_nothing_on_what_a_stale_service_says(self) -> None:
        stale = self.launcher.build_next_lists()
        self.wait_for_version(self.publish(stale))
        self.wait_for_version(self.publish(self.without_use()))
        self.publish(stale)
        self.launcher.set_link_faults(NAME, delay_s=SLOW_LINKS_S)
        self.launcher.signal_daemon(NAME, signal.SIGKILL)
        self.launcher.wait_for_exit(NAME)
        self.launcher.start_daemon(NAME)
        kinds = self.kinds_until("not_entitled", NAME)
        self.assertLessEqual(kinds, TAKES_NOTHING | {"not_entitled"})
        self.assertIn("not_entitled", kinds)

    def test_a_late_waker_takes_nothing_on_what_it_knew(self) -> None:
        name = self.without_a_watch()
        self.assertIsInstance(self.search(name), Success)
        self.launcher.set_link_faults(name, delay_s=SLOW_LINKS_S)
        time.sleep(FAULTS_READ_S)
        self.launcher.signal_daemon(name, signal.SIGSTOP)
        others = [other for other in self.launcher.admins if other != name]
        self.wait_for_version(self.publish(self.without_use()), others)
        time.sleep(FREEZE_S)
        self.launcher.signal_daemon(name, signal.SIGCONT)
        kinds = self.kinds_until("not_entitled", name)
        self.assertLessEqual(kinds, TAKES_NOTHING | {"not_entitled"})
        self.assertIn("not_entitled", kinds)

    def without_a_watch(self) -> str:
        """Returns a daemon in whose sockets no answer of the service can wait."""
        self.wait_until(lambda: len(self.watchers()) == len(NEIGHBOURS) - 1)
        (name,) = set(NEIGHBOURS) - set(self.watchers())
        return name

    def watchers(self) -> list[str]:
        """Returns which of three daemons in one failure domain watch the service."""
        return [n for n in NEIGHBOURS if self.status(n)["service"]["watching"]]
