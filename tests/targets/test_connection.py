"""Tests of `lavendertide.targets.connection`."""

import unittest

from lavendertide.ids import AttemptId
from lavendertide.messages import (
    Declined,
    DeclineReason,
    LossReason,
    Lost,
    SubReply,
    SubRequest,
)
from lavendertide.poison.quarantine import Permission
from lavendertide.runtime import clock, tasks
from lavendertide.targets.connection import LaneContext, serve_connection, serve_control
from lavendertide.targets.exchange import ExchangeTiming
from lavendertide.targets.lane import Lane
from tests.targets.test_lane import PLACE, job
from tests.virtual_time import VirtualTimeTestCase

DEADLINE_S = 0.1
POLLS = 5
TIMING = ExchangeTiming(health_poll_s=0.005, end_margin_s=0.0)
GIVE_UP_S = 20.0


class CrashingExchange:
    """A connection to a target that closes it on each request."""

    def __init__(self) -> None:
        self.run_attempts: list[AttemptId] = []

    @property
    def is_open(self) -> bool:
        """Whether the connection is open, which it always is."""
        return True

    def open(self) -> bool:
        """Opens the connection."""
        return True

    def run(self, request: SubRequest, timeout_s: float) -> SubReply:
        """Records the attempt and loses it."""
        del timeout_s
        self.run_attempts.append(request.attempt)
        return Lost(request.attempt, LossReason.TARGET_CLOSED)

    def close(self) -> None:
        """Closes the connection."""


class FakeControl:
    """Counts the health checks."""

    def __init__(self) -> None:
        self.checks = 0

    def cancel(self, attempt: AttemptId, timeout_s: float) -> bool:
        """Confirms every cancellation."""
        del attempt, timeout_s
        return True

    def is_draining(self, timeout_s: float) -> bool:
        """Counts a health check."""
        del timeout_s
        self.checks += 1
        return False

    def close(self) -> None:
        """Does nothing."""


class FakeCrashObserver:
    """Permits every request until the first crash."""

    def __init__(self, after_crash: Permission) -> None:
        self.now = Permission.FREELY
        self._after_crash = after_crash

    def permission(self, request: SubRequest, now_s: float) -> Permission:
        """Returns how a request may run now."""
        del request, now_s
        return self.now

    def record_crash(self, request: SubRequest, was_alone: bool) -> None:
        """Switches to the permission after a crash."""
        del request, was_alone
        self.now = self._after_crash

    def record_answer(self, request: SubRequest) -> None:
        """Ignores the answer."""


class QueuedAtACrashTest(VirtualTimeTestCase):
    """Guards against a queued copy of a request that crashes the target again."""

    def second_reply(self, after_crash: Permission) -> SubReply | None:
        """Runs two copies of a request; returns the reply to the second one."""
        now_s = clock.monotonic_s()
        first = job("first", deadline_s=now_s + DEADLINE_S)
        second = job("second", deadline_s=now_s + GIVE_UP_S)
        lane = Lane(PLACE, lambda _: 1)
        for each in (first, second):
            lane.put(each, now_s).unwrap()
        context = LaneContext(
            lane, FakeCrashObserver(after_crash), TIMING, tasks.Mailbox()
        )
        self.exchange = CrashingExchange()
        serving = tasks.spawn(serve_connection, context, self.exchange)
        self.addCleanup(serving.stop)
        return second.inbox.receive(GIVE_UP_S)

    def test_a_suspect_may_be_tried_elsewhere(self) -> None:
        reply = self.second_reply(Permission.ALONE)
        declined = Declined(AttemptId("second"), DeclineReason.UNREACHABLE)
        self.assertEqual(reply, declined)
        self.assertEqual(self.exchange.run_attempts, [AttemptId("first")])

    def test_a_quarantined_request_is_refused(self) -> None:
        reply = self.second_reply(Permission.NEVER)
        declined = Declined(AttemptId("second"), DeclineReason.POISONED)
        self.assertEqual(reply, declined)
        self.assertEqual(self.exchange.run_attempts, [AttemptId("first")])


class HealthTest(VirtualTimeTestCase):
    """Guards against health checks by a backup that may not send requests."""

    def setUp(self) -> None:
        self.allowed = 0
        self.reads = 0
        self.control = FakeControl()
        lane = Lane(PLACE, self.allowance)
        lane.condition.record_opened()
        context = LaneContext(
            lane, FakeCrashObserver(Permission.FREELY), TIMING, tasks.Mailbox()
        )
        task = tasks.spawn(serve_control, context, self.control)
        self.addCleanup(task.stop)

    def allowance(self, _: float) -> int:
        """Counts the read; returns the number of slots that the lease allows."""
        self.reads += 1
        return self.allowed

    def wait_until_read(self, times: int) -> None:
        """Waits until the lease has been read a number of times."""
        for _ in range(int(GIVE_UP_S / TIMING.health_poll_s)):
            if self.reads >= times:
                return
            tasks.sleep(TIMING.health_poll_s)
        self.fail("the lease was not read")

    def test_a_backup_checks_no_health_until_it_has_slots(self) -> None:
        self.wait_until_read(POLLS)
        self.assertEqual(self.control.checks, 0)
        self.allowed = 1
        self.wait_until_read(self.reads + POLLS)
        self.assertGreater(self.control.checks, 0)


if __name__ == "__main__":
    unittest.main()
