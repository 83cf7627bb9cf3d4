"""Tests of `lavendertide.targets.connection`."""

import unittest

from lavendertide.ids import AttemptId
from lavendertide.messages import SubRequest
from lavendertide.runtime import tasks
from lavendertide.targets.connection import LaneTasks, serve_control
from lavendertide.targets.exchange import ExchangeTiming
from lavendertide.targets.lane import Lane
from tests.targets.test_lane import PLACE

POLLS = 5
TIMING = ExchangeTiming(health_poll_s=0.005)
GIVE_UP_S = 20.0


class FakeControl:
    """Counts how often the health is read."""

    def __init__(self) -> None:
        self.looks = 0

    def cancel(self, attempt: AttemptId, timeout_s: float) -> bool:
        """Ends nothing."""
        del attempt, timeout_s
        return True

    def is_draining(self, timeout_s: float) -> bool:
        """Counts a look."""
        del timeout_s
        self.looks += 1
        return False

    def close(self) -> None:
        """Closes nothing."""


class FakeWitness:
    """Is told of crashes that do not come."""

    def note_crash(self, request: SubRequest, was_alone: bool) -> None:
        """Takes nothing in."""

    def note_answer(self, request: SubRequest) -> None:
        """Takes nothing in."""


class HealthTest(unittest.TestCase):
    """Only who may send to a target reads its health."""

    def setUp(self) -> None:
        self.allowed = 0
        self.reads = 0
        self.control = FakeControl()
        lane = Lane(PLACE, self.allowance)
        lane.condition.note_opened()
        shared = LaneTasks(lane, FakeWitness(), TIMING)
        task = tasks.spawn(serve_control, shared, self.control)
        self.addCleanup(task.stop)

    def allowance(self, _: float) -> int:
        """Returns how many slots the lease allows."""
        self.reads += 1
        return self.allowed

    def wait_until_read(self, times: int) -> None:
        """Waits until the lease was read so often."""
        for _ in range(int(GIVE_UP_S / TIMING.health_poll_s)):
            if self.reads >= times:
                return
            tasks.sleep(TIMING.health_poll_s)
        self.fail("the lease was not read")

    def test_a_backup_reads_nothing_until_it_may_send(self) -> None:
        self.wait_until_read(POLLS)
        self.assertEqual(self.control.looks, 0)
        self.allowed = 1
        self.wait_until_read(self.reads + POLLS)
        self.assertGreater(self.control.looks, 0)


if __name__ == "__main__":
    unittest.main()
