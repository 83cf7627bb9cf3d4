"""How fast, and by how many reads, many hosts follow a store that was restored."""

from lavendertide.ids import TargetId
from lavendertide.runtime import clock, tasks
from tests.restoration.model_fleet import (
    Key,
    ModelHost,
    ModelStore,
    RoutesKey,
    TargetKey,
    make_target,
)
from tests.virtual_time import VirtualTimeTestCase

HOSTS = 33
# As many as a large deployment has in one failure domain.
HOSTS_OF_LARGE_DOMAIN = 73
# Time from the second writing, and from the heal of a cut, to the store's state.
FOLLOWED_S = 2.0
COPY_AGE_S = 4.0
NAMES = ("t1", "t2", "t3")


class SpreadTest(VirtualTimeTestCase):
    """Guards against hosts that follow late, or that all read everything at once."""

    def start(self, size: int) -> None:
        """Starts a store with some targets, and hosts that have read it."""
        self.store = ModelStore()
        self.hosts: list[ModelHost] = []
        for name in NAMES:
            self.write_target(name, is_draining=False)
        self.store.write(RoutesKey(), 7)
        for number in range(size):
            self.hosts.append(ModelHost(self.store, self.hosts, number, size))
        for host in self.hosts:
            self.addCleanup(tasks.spawn(host.run).stop)
        tasks.sleep(COPY_AGE_S)

    def write_target(self, name: str, is_draining: bool) -> None:
        """Writes the entry of a target."""
        key = TargetKey(TargetId(name))
        self.store.write(key, make_target(name, 1, is_draining))

    def restore(self, away_s: float) -> list[Key]:
        """Has the store lose some writes that all hosts have read; returns them."""
        self.store.make_copy()
        self.write_target("t4", is_draining=False)
        self.write_target("t1", is_draining=True)
        tasks.sleep(COPY_AGE_S)
        self.store.is_away = away_s > 0.0
        tasks.sleep(away_s)
        self.store.is_away = False
        self.store.restore()
        return self.store.lost

    def measure_followed_s(self, hosts: list[ModelHost]) -> float:
        """Returns how long it takes until hosts have read all that the store has."""
        began_s = clock.monotonic_s()
        while clock.monotonic_s() < began_s + 60.0:
            if all(host.position == self.store.position for host in hosts):
                break
            tasks.sleep(0.01)
        for host in hosts:
            records = {each.target: each for each in host.registry.targets}
            self.assertEqual(records, self.store.targets)
        return clock.monotonic_s() - began_s

    def test_all_hosts_follow_the_second_writing(self) -> None:
        for away_s in (0.0, 0.3, 1.0, 3.0):
            for rewritten_after_s in (0.0, 0.6, 2.0):
                with self.subTest(away_s=away_s, rewritten_after_s=rewritten_after_s):
                    self.start(HOSTS)
                    lost = self.restore(away_s)
                    tasks.sleep(rewritten_after_s)
                    # A configuration that takes a revision which was lost comes first.
                    self.store.write(RoutesKey(), 9)
                    for key in lost:
                        self.store.write_again(key)
                    followed_s = self.measure_followed_s(self.hosts)
                    self.assertLess(followed_s, FOLLOWED_S)
                    versions = {host.routes.version for host in self.hosts}
                    self.assertEqual(versions, {9})

    def test_few_hosts_read_everything(self) -> None:
        for size in (HOSTS, HOSTS_OF_LARGE_DOMAIN):
            for away_s in (0.0, 1.0, 3.0):
                with self.subTest(size=size, away_s=away_s):
                    self.start(size)
                    lost = self.restore(away_s)
                    self.store.reads_of_all = 0
                    tasks.sleep(1.0)
                    for key in lost:
                        self.store.write_again(key)
                    self.measure_followed_s(self.hosts)
                    # One reader, and one host that could take over from it.
                    self.assertLessEqual(self.store.reads_of_all, 2)

    def test_a_host_that_was_cut_off_follows_after_the_heal(self) -> None:
        for has_peers in (True, False):
            for number in (0, HOSTS - 1):
                with self.subTest(has_peers=has_peers, number=number):
                    self.start(HOSTS)
                    host = self.hosts[number]
                    host.is_cut_from_store = True
                    host.is_cut_from_peers = not has_peers
                    lost = self.restore(1.0)
                    self.store.write(RoutesKey(), 9)
                    for key in lost:
                        self.store.write_again(key)
                    tasks.sleep(COPY_AGE_S)
                    # Its old revision has been given out again by now.
                    host.is_cut_from_store = host.is_cut_from_peers = False
                    self.assertLess(self.measure_followed_s([host]), FOLLOWED_S)
                    self.assertEqual(host.routes.version, 9)
