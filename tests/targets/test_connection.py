"""Tests of `lavendertide.targets.connection`."""

import unittest
from unittest import mock

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
from lavendertide.targets.exchange import ExchangeTiming, TargetExchange
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


class FailingExchange:
    """A connection whose first sub-request raises an exception."""

    def __init__(self) -> None:
        self.is_open = True
        self.run_attempts: list[AttemptId] = []

    def open(self) -> bool:
        """Opens the connection."""
        self.is_open = True
        return True

    def run(self, request: SubRequest, timeout_s: float) -> SubReply:
        """Raises an exception for the first request, and declines the others."""
        del timeout_s
        self.run_attempts.append(request.attempt)
        if len(self.run_attempts) == 1:
            raise KeyError(request.attempt)
        return Declined(request.attempt, DeclineReason.SHED)

    def close(self) -> None:
        """Closes the connection."""
        self.is_open = False


class UnexpectedExceptionTest(VirtualTimeTestCase):
    """A sub-request in whose midst an exception arises has one reply.

    Guards against queries that wait for it until their deadline, and against targets
    whose slots and connections are lost for good.
    """

    def setUp(self) -> None:
        now_s = clock.monotonic_s()
        self.jobs = [
            job(name, deadline_s=now_s + DEADLINE_S * (1 + number * 10))
            for number, name in enumerate(("first", "second"))
        ]
        self.lane = Lane(PLACE, lambda _: 1)
        self.observer = FakeCrashObserver(Permission.FREELY)
        for each in self.jobs:
            self.lane.put(each, now_s).unwrap()

    def serve(self, exchange: TargetExchange) -> list[SubReply | None]:
        """Serves the jobs on a connection; returns their replies."""
        context = LaneContext(self.lane, self.observer, TIMING, tasks.Mailbox())
        serving = tasks.spawn(serve_connection, context, exchange)
        self.addCleanup(serving.stop)
        return [each.inbox.receive(DEADLINE_S / 2) for each in self.jobs[:1]] + [
            each.inbox.receive(GIVE_UP_S) for each in self.jobs[1:]
        ]

    def test_an_exchange_that_fails_is_lost_and_its_slot_is_used_again(self) -> None:
        first, second = (each.request.attempt for each in self.jobs)
        replies = self.serve(FailingExchange())
        self.assertEqual(replies[0], Lost(first, LossReason.PEER_LOST))
        self.assertEqual(replies[1], Declined(second, DeclineReason.SHED, 1))
        self.assertEqual(self.lane.slots_in_use, 0)

    def test_a_record_that_fails_leaves_the_reply(self) -> None:
        with mock.patch.object(Lane, "record_reply", side_effect=KeyError):
            replies = self.serve(CrashingExchange())
        lost = [
            Lost(each.request.attempt, LossReason.TARGET_CLOSED) for each in self.jobs
        ]
        self.assertEqual(replies, lost)

    def test_an_observer_that_fails_leaves_the_reply(self) -> None:
        self.observer.record_crash = mock.Mock(  # type: ignore[method-assign]
            side_effect=KeyError
        )
        replies = self.serve(CrashingExchange())
        lost = Lost(self.jobs[0].request.attempt, LossReason.TARGET_CLOSED)
        self.assertEqual(replies[0], lost)

    def test_a_check_that_fails_declines(self) -> None:
        self.observer.permission = mock.Mock(  # type: ignore[method-assign]
            side_effect=KeyError
        )
        replies = self.serve(CrashingExchange())
        attempt = self.jobs[0].request.attempt
        self.assertEqual(replies[0], Declined(attempt, DeclineReason.UNREACHABLE))
