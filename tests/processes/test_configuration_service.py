"""Process tests of daemons while the configuration service is down or stale."""

import signal
import time
from typing import Any, ClassVar, Final

from returns.result import Failure, Success

from lavendertide.caller_client import CallerClient
from standins.deployment import ASSOCIATION, OwnerSpec, scaled_down
from standins.launcher import Launcher
from tests.processes.test_configuration_replication import (
    DEADLINE_MS,
    HOSTS_WITH_SPARE_WATCHER,
    FleetTestCase,
)
from tests.processes.waiting import TIMEOUT_S

OWNERS = (scaled_down(ASSOCIATION, 2, 4),)
DAEMON = "association-3"
NEIGHBOURS: Final = ("association-0", "association-3", "association-6")
FREEZE_S = 3.0
LINK_DELAY_S: Final = 0.5
FAULT_RELOAD_S: Final = 0.5
# A new member admits requests once the attempts of its previous run must have ended.
# A short deadline lets it do so before its peers' delayed messages can arrive.
SHORT_DEADLINE_MS: Final = 100
NOT_ADMITTED_KINDS: Final = {"not_ready", "unreachable"}


class ServiceTestCase(FleetTestCase):
    """Starts a fleet for each test, since the tests leave its configuration changed."""

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
        """Starts no shared fleet, unlike the base class."""

    def set_mode(self, mode: str) -> None:
        """Takes the service `down` or brings it `up` again."""
        self.launcher.post(self.launcher.configuration, "/v1/mode", {"mode": mode})

    def restart(self) -> None:
        """Kills a daemon and starts it again without any state."""
        self.launcher.signal_daemon(DAEMON, signal.SIGKILL)
        self.launcher.wait_for_exit(DAEMON)
        self.launcher.start_daemon(DAEMON)
        self.launcher.wait_until_ready(DAEMON)

    def search(self, name: str = DAEMON) -> Any:
        """Searches through one daemon; returns its response or its refusal."""
        host = self.launcher.callers[name]
        client = CallerClient([host], "promoter")
        client._addresses, client._addresses_expire_at_s = [host], time.monotonic() + 60
        return client.search("promoter-view", "o", DEADLINE_MS, 5, time.monotonic())

    def search_until_refused(self, expected: str, name: str) -> set[str]:
        """Searches until an expected kind of refusal arrives, at most for `TIMEOUT_S`.

        Returns:
            The kinds of all refusals, and `answered` if there was a response.
        """
        kinds: set[str] = set()
        deadline_s = time.monotonic() + TIMEOUT_S
        while expected not in kinds and time.monotonic() < deadline_s:
            match self.search(name):
                case Failure(refusal):
                    kinds.add(refusal.kind.value)
                case Success(_):
                    kinds.add("answered")
        return kinds

    def lists_without_entitlement(self) -> dict[str, Any]:
        """Returns the next lists, without any entitlement of the plan `promoter`."""
        lists = self.launcher.build_next_lists()
        uses = lists["uses"]["uses"]
        lists["uses"]["uses"] = [use for use in uses if use["plan"] != "promoter"]
        return lists


class ServiceOutageTest(ServiceTestCase):
    """Daemons keep the last good version, and new members pull it from their peers.

    A daemon that starts while the service is down must not stay unusable, and one that
    starts or resumes must not serve an entitlement that was removed meanwhile.
    """

    def test_a_daemon_joins_while_the_service_is_down(self) -> None:
        self.set_mode("down")
        self.wait_until(lambda: any(s["service"]["problem"] for s in self.statuses()))
        self.restart()
        self.assertEqual(self.status(DAEMON)["source"], "peer")
        self.assertIsInstance(self.search(), Success)
        self.set_mode("up")
        self.wait_for_version(self.launcher.publish())

    def test_a_stale_service_does_not_roll_back_a_new_member(self) -> None:
        stale = self.launcher.build_next_lists()
        self.wait_for_version(self.publish(stale))
        self.wait_for_version(self.publish(self.lists_without_entitlement()))
        self.publish(stale)
        self.restart()
        self.assertEqual(self.search().failure().kind.value, "not_entitled")
        self.assertEqual({s["version"] for s in self.statuses()}, {3})
        self.launcher.publish()
        self.wait_for_version(4)

    def test_a_resumed_process_does_not_use_an_old_plan(self) -> None:
        self.assertIsInstance(self.search(), Success)
        self.launcher.signal_daemon(DAEMON, signal.SIGSTOP)
        others = [name for name in self.launcher.admins if name != DAEMON]
        self.wait_for_version(self.publish(self.lists_without_entitlement()), others)
        time.sleep(FREEZE_S)
        self.launcher.signal_daemon(DAEMON, signal.SIGCONT)
        kinds = set()
        while "not_entitled" not in kinds:
            kinds.add(self.search().failure().kind.value)
        self.assertLessEqual(kinds, {"not_entitled", "not_ready", "unreachable"})


class SlowLinksTest(ServiceTestCase):
    """Delayed links don't let a daemon admit requests under an old version.

    A removed entitlement would be honoured if a daemon that restarts beside a stale
    service, or resumes after a pause, admitted requests before its peers' messages
    reached it.
    """

    overrides: ClassVar[dict[str, Any]] = {
        "queries": {"deadline_max_ms": SHORT_DEADLINE_MS}
    }
    owners = (scaled_down(ASSOCIATION, 2, HOSTS_WITH_SPARE_WATCHER),)

    def test_a_new_member_admits_nothing_on_a_stale_publication(self) -> None:
        stale = self.launcher.build_next_lists()
        self.wait_for_version(self.publish(stale))
        self.wait_for_version(self.publish(self.lists_without_entitlement()))
        self.publish(stale)
        self.launcher.set_link_faults(DAEMON, delay_s=LINK_DELAY_S)
        self.launcher.signal_daemon(DAEMON, signal.SIGKILL)
        self.launcher.wait_for_exit(DAEMON)
        self.launcher.start_daemon(DAEMON)
        kinds = self.search_until_refused("not_entitled", DAEMON)
        self.assertLessEqual(kinds, NOT_ADMITTED_KINDS | {"not_entitled"})
        self.assertIn("not_entitled", kinds)

    def test_a_resumed_process_admits_nothing_on_its_old_version(self) -> None:
        name = self.select_unwatching_neighbour()
        self.assertIsInstance(self.search(name), Success)
        self.launcher.set_link_faults(name, delay_s=LINK_DELAY_S)
        time.sleep(FAULT_RELOAD_S)
        self.launcher.signal_daemon(name, signal.SIGSTOP)
        others = [other for other in self.launcher.admins if other != name]
        self.wait_for_version(self.publish(self.lists_without_entitlement()), others)
        time.sleep(FREEZE_S)
        self.launcher.signal_daemon(name, signal.SIGCONT)
        kinds = self.search_until_refused("not_entitled", name)
        self.assertLessEqual(kinds, NOT_ADMITTED_KINDS | {"not_entitled"})
        self.assertIn("not_entitled", kinds)

    def select_unwatching_neighbour(self) -> str:
        """Returns the daemon of the failure domain that doesn't watch the service.

        No response of the service can wait in its sockets while it is stopped, so it
        can learn of a newer version from its peers alone.
        """
        self.wait_until(lambda: len(self.watching_neighbours()) == len(NEIGHBOURS) - 1)
        (name,) = set(NEIGHBOURS) - set(self.watching_neighbours())
        return name

    def watching_neighbours(self) -> list[str]:
        """Returns which of three daemons in one failure domain watch the service."""
        return [n for n in NEIGHBOURS if self.status(n)["service"]["watching"]]
