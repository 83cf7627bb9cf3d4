"""Process tests of a request that crashes the targets that run it."""

import threading
import time
import unittest

from returns.result import Success

from lavendertide.caller_client import CallerClient
from standins.deployment import ASSOCIATION, scaled_down
from standins.launcher import Launcher
from tests.processes.callers import SearchLoad, pinned_client
from tests.processes.holders import count_breaches
from tests.processes.waiting import eventually

SHARDS = 4
OWNERS = (scaled_down(ASSOCIATION, SHARDS, 3),)
INDEX = "venue-desk"
KEY = "stall-clerk"
POISON = "poison order"
THREADS = 6
RESPONSES = 30
ROUNDS = 3
# One replica of each shard before it is a suspect, and one in the trial.
CRASHES_MAX = SHARDS + 1
SENDERS_PER_HOST = 4


class PoisonTest(unittest.TestCase):
    """A poison request is quarantined, and requests in flight beside it are not.

    Resends through several hosts would otherwise crash every replica, and a restarted
    host could send it again.
    """

    def setUp(self) -> None:
        self.launcher = Launcher(OWNERS)
        self.addCleanup(self.launcher.stop)
        self.launcher.start()
        for placed in self.launcher.placed_targets:
            self.launcher.change_target(placed.target, restart_ms=200.0)

    def count_crashes(self) -> int:
        """Returns the number of crashes of all targets."""
        return sum(self.count_crashes_by_target())

    def count_crashes_by_target(self) -> list[int]:
        """Returns the number of crashes of each target."""
        counts = self.launcher.target_counts().values()
        return [int(each["crashes"]) for each in counts]

    def client(self, daemon: str) -> CallerClient:
        """Returns a client that sends everything to one daemon."""
        return pinned_client(self.launcher, KEY, daemon)

    def send_poison(self) -> None:
        """Sends the poison through every host in turn, for `ROUNDS` rounds."""
        for _ in range(ROUNDS):
            for daemon in self.launcher.callers:
                self.client(daemon).search(INDEX, POISON, 500, 5, time.monotonic())

    def is_quarantined(self, daemon: str) -> bool:
        """Returns whether a daemon refuses the poison at every shard."""
        result = self.client(daemon).search(INDEX, POISON, 500, 5, time.monotonic())
        match result:
            case Success(document):
                reasons = [gap["reason"] for gap in document["gaps"]]
                return reasons == ["poisoned"] * SHARDS
            case _:
                return False

    def test_a_poison_sent_through_every_host_crashes_a_bounded_number(self) -> None:
        self.send_poison()
        for daemon in self.launcher.callers:
            eventually(lambda daemon=daemon: self.is_quarantined(daemon))
        self.send_poison()
        self.assertGreater(self.count_crashes(), 0)
        self.assertLessEqual(self.count_crashes(), CRASHES_MAX)

    def send_poison_at_once(self) -> None:
        """Sends the poison through every host `SENDERS_PER_HOST` times, all at once."""
        daemons = SENDERS_PER_HOST * list(self.launcher.callers)
        barrier = threading.Barrier(len(daemons))

        def send(daemon: str) -> None:
            client = self.client(daemon)
            barrier.wait()
            client.search(INDEX, POISON, 500, 5, time.monotonic())

        senders = [threading.Thread(target=send, args=(name,)) for name in daemons]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()

    def test_hosts_that_send_it_at_once_crash_each_replica_once(self) -> None:
        for _ in range(ROUNDS):
            self.send_poison_at_once()
        for daemon in self.launcher.callers:
            eventually(self.is_quarantined, daemon)
        self.send_poison_at_once()
        self.assert_each_replica_crashed_once()

    def assert_each_replica_crashed_once(self) -> None:
        """Asserts that only the target of the trial has crashed more than once."""
        crashes = sorted(self.count_crashes_by_target())
        self.assertGreater(crashes[-1], 0)
        trial, others = crashes[-1], crashes[:-1]
        self.assertLessEqual(trial, 2, crashes)
        self.assertLessEqual(others[-1], 1, crashes)

    def test_other_requests_beside_it_are_answered(self) -> None:
        with SearchLoad(self.launcher, KEY, INDEX, THREADS) as load:
            load.wait_for(RESPONSES)
            self.send_poison()
            eventually(lambda: all(map(self.is_quarantined, self.launcher.callers)))
            eventually(lambda: self.are_next_responses_whole(load))
        # A host that the load delays may learn of the first crashes late and send the
        # poison to further replicas, but to each of them only once.
        self.assert_each_replica_crashed_once()
        slots = count_breaches(self.launcher)["slots"]
        self.assertEqual(slots, 0)
        reasons = {
            gap["reason"] for response in load.responses for gap in response["gaps"]
        }
        self.assertNotIn("poisoned", reasons)

    def are_next_responses_whole(self, load: SearchLoad) -> bool:
        """Returns whether the next responses to other requests are all whole."""
        load.wait_for(RESPONSES)
        return all(response["whole"] for response in load.responses[-RESPONSES:])

    def test_a_new_member_receives_the_verdict(self) -> None:
        self.send_poison()
        daemon = next(iter(self.launcher.callers))
        eventually(lambda: self.is_quarantined(daemon))
        self.launcher.signal_daemon(daemon, 9)
        self.launcher.wait_for_exit(daemon)
        self.launcher.start_daemon(daemon)
        self.launcher.wait_until_ready(daemon)
        eventually(lambda: self.is_quarantined(daemon))
        self.assertLessEqual(self.count_crashes(), CRASHES_MAX)
