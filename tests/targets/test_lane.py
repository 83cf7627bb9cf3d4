"""Tests of `lavendertide.targets.lane`."""

import unittest

from returns.result import Failure

from lavendertide.ids import (
    Address,
    AttemptId,
    FailureDomain,
    Fingerprint,
    IndexName,
    IndexVersion,
    OwnerId,
    PlanClass,
    QueryId,
    Region,
    ShardNumber,
    TargetId,
)
from lavendertide.messages import (
    Answered,
    Declined,
    DeclineReason,
    LossReason,
    Lost,
    Operation,
    SubReply,
    SubRequest,
)
from lavendertide.queries.deadline import Deadline
from lavendertide.runtime.tasks import Mailbox
from lavendertide.targets.concurrency import ANSWERS_PER_SLOT, TIMEOUTS_TO_MIN
from lavendertide.targets.condition import DRAINING_KEPT_S
from lavendertide.targets.fair_queue import OWNER_QUEUE_MAX, Job
from lavendertide.targets.lane import CancelEffect, Lane
from lavendertide.targets.place import TargetPlace

PLACE = TargetPlace(
    target=TargetId("t"),
    owner=OwnerId("o"),
    index=IndexName("i"),
    address=Address("127.0.0.1:1"),
    region=Region("r"),
    failure_domain=FailureDomain("d"),
    slots=2,
    connections=25,
)


def job(
    attempt: str,
    owner: str = "o",
    plan_class: str = "",
    deadline_s: float = 100.0,
    is_alone: bool = False,
) -> Job:
    """Returns a job of an owner's plan class."""
    request = SubRequest(
        attempt=AttemptId(attempt),
        query=QueryId("q"),
        owner=OwnerId(owner),
        index=IndexName("i"),
        shard=ShardNumber(0),
        version=IndexVersion(1),
        target=PLACE.target,
        operation=Operation.SEARCH,
        body="",
        remaining_ms=100,
        fingerprint=Fingerprint("f"),
        plan_class=PlanClass(plan_class),
    )
    return Job(request, Deadline(deadline_s), Mailbox(), is_alone)


def answer(to: Job) -> SubReply:
    """Returns an answer without rows to a job."""
    request = to.request
    return Answered(
        request.attempt, request.query, request.shard, request.version, (), 0, 0
    )


class LaneTestCase(unittest.TestCase):
    """Sets up a lane whose lease allows `self.allowed` slots."""

    def setUp(self) -> None:
        self.allowed = PLACE.slots
        self.lane = Lane(PLACE, lambda _: self.allowed)
        self.lane.condition.record_opened()
        self.now_s = 0.0

    def tick(self) -> float:
        """Advances the time by a millisecond and returns it."""
        self.now_s += 0.001
        return self.now_s

    def put(self, *jobs: Job) -> None:
        """Queues jobs that the lane must accept."""
        for each in jobs:
            self.lane.put(each, self.tick()).unwrap()

    def start_next(self) -> str | None:
        """Starts the next job; returns its attempt id."""
        started = self.lane.start_next(self.tick())
        return started.request.attempt if started else None

    def run_one(self) -> str | None:
        """Starts the next job and releases its slot."""
        attempt = self.start_next()
        if attempt is not None:
            self.lane.release_slot(AttemptId(attempt))
        return attempt


class LaneFairnessTest(LaneTestCase):
    """Guards against an owner or plan class that holds up another."""

    def test_owners_take_turns(self) -> None:
        self.put(*(job(f"a{n}", "a") for n in range(4)), job("b0", "b"))
        order = [self.run_one() for _ in range(5)]
        self.assertEqual(order, ["a0", "b0", "a1", "a2", "a3"])

    def test_plan_classes_of_an_owner_take_turns(self) -> None:
        bulk = [job(f"bulk{n}", plan_class="report") for n in range(3)]
        self.put(*bulk, job("counter", plan_class="counter"))
        order = [self.run_one() for _ in range(4)]
        self.assertEqual(order, ["bulk0", "counter", "bulk1", "bulk2"])

    def test_one_owner_cannot_fill_the_queue(self) -> None:
        self.put(*(job(f"a{n}", "a") for n in range(OWNER_QUEUE_MAX)))
        refused = self.lane.put(job("one more", "a"), self.tick())
        self.assertEqual(refused, Failure(DeclineReason.QUEUE_FULL))
        self.put(job("b", "b"))
        self.assertEqual([self.run_one(), self.run_one()], ["a0", "b"])


class LaneSlotsTest(LaneTestCase):
    """Slots are given within the lease and stay occupied until they are released."""

    def test_no_more_jobs_run_than_the_lease_allows(self) -> None:
        self.put(job("1"), job("2"), job("3"))
        self.allowed = 1
        self.assertEqual([self.start_next(), self.start_next()], ["1", None])
        self.allowed = 2
        self.assertEqual([self.start_next(), self.start_next()], ["2", None])

    def test_without_a_lease_a_job_is_declined_at_once(self) -> None:
        self.allowed = 0
        refused = self.lane.put(job("1"), self.tick())
        self.assertEqual(refused, Failure(DeclineReason.NO_LEASE))

    def test_jobs_that_wait_are_declined_when_the_lease_is_lost(self) -> None:
        waiting = job("1")
        self.put(waiting)
        self.allowed = 0
        self.lane.decline_if_lease_lost(self.tick())
        self.assertEqual(
            waiting.inbox.receive(), Declined(AttemptId("1"), DeclineReason.NO_LEASE)
        )

    def test_a_lost_reply_keeps_its_slot_until_it_is_released(self) -> None:
        running = job("1")
        self.put(running, job("2"), job("3"))
        self.assertEqual([self.start_next(), self.start_next()], ["1", "2"])
        loss = Lost(running.request.attempt, LossReason.TIMED_OUT)
        self.lane.record_reply(running, loss, self.tick())
        self.assertIsNone(self.start_next())
        self.lane.release_slot(running.request.attempt)
        self.assertEqual(self.start_next(), "3")

    def test_a_suspect_runs_alone(self) -> None:
        self.put(job("1"))
        self.start_next()
        self.put(job("suspect", is_alone=True), job("2"))
        self.assertIsNone(self.start_next())
        self.lane.release_slot(AttemptId("1"))
        self.assertEqual([self.start_next(), self.start_next()], ["suspect", None])
        self.lane.release_slot(AttemptId("suspect"))
        self.assertEqual(self.start_next(), "2")

    def test_a_suspect_does_not_run_while_another_may_use_the_target(self) -> None:
        self.allowed = 1
        refused = self.lane.put(job("suspect", is_alone=True), self.tick())
        self.assertEqual(refused, Failure(DeclineReason.NO_LEASE))

    def test_a_cancelled_job_that_waits_never_runs(self) -> None:
        dropped = job("1")
        self.put(dropped, job("2"))
        self.assertIs(self.lane.cancel(AttemptId("1")), CancelEffect.DROPPED)
        self.assertEqual(self.start_next(), "2")
        self.assertIs(self.lane.cancel(AttemptId("2")), CancelEffect.RUNNING)
        self.assertIs(self.lane.cancel(AttemptId("3")), CancelEffect.ABSENT)
        self.assertEqual(len(dropped.inbox), 1)


class LaneBreachTest(LaneTestCase):
    """Only a job that starts above the published slots counts as a breach."""

    def test_full_use_is_not_a_breach(self) -> None:
        for number in range(3):
            self.lane.put(job(f"a-{number}"), 0.0)
        while self.lane.start_next(0.0) is not None:
            pass
        self.assertEqual((self.lane.slots_in_use, self.lane.slot_breaches), (2, 0))

    def test_a_lease_above_the_slots_causes_no_breach(self) -> None:
        self.allowed = 5
        for number in range(4):
            self.lane.put(job(f"a-{number}"), 0.0)
        while self.lane.start_next(0.0) is not None:
            pass
        self.assertEqual((self.lane.slots_in_use, self.lane.slot_breaches), (2, 0))


class LaneLogTest(LaneTestCase):
    """A target that is lost, reached again or leaving is logged once."""

    def messages(self, count: int) -> list[str]:
        """Records refused connections, then opened ones; returns the log messages."""
        with self.assertLogs("lavendertide.targets.lane", "INFO") as logs:
            self.lane.condition.record_closed()
            for _ in range(count):
                self.lane.record_connect_failure()
            self.lane.record_opened()
            self.lane.record_opened()
        self.assertEqual({vars(r)["target"] for r in logs.records}, {"t"})
        return [record.getMessage() for record in logs.records]

    def test_a_lost_and_a_reached_target_are_logged_once(self) -> None:
        self.assertEqual(self.messages(3), ["target lost", "target reached again"])

    def test_a_leaving_target_is_logged_once(self) -> None:
        with self.assertLogs("lavendertide.targets.lane", "INFO") as logs:
            self.lane.record_draining(0.0)
            self.lane.record_draining(DRAINING_KEPT_S / 2)
        self.assertEqual(len(logs.output), 1)


class LaneDeadlineTest(LaneTestCase):
    """Guards against sending jobs that cannot be answered in time."""

    def record_slow_answers(self) -> None:
        """Records answers until the median service time is about a second."""
        for number in range(200):
            slow = job(str(number), deadline_s=self.now_s + 100)
            self.put(slow)
            self.start_next()
            self.now_s += 1.0
            self.lane.record_reply(slow, answer(slow), self.now_s)
            self.lane.release_slot(slow.request.attempt)

    def test_a_job_past_its_deadline_is_declined(self) -> None:
        late = job("1", deadline_s=1.0)
        self.put(late)
        self.now_s = 2.0
        self.assertIsNone(self.start_next())
        self.assertEqual(
            late.inbox.receive(),
            Declined(AttemptId("1"), DeclineReason.QUEUED_TOO_LONG),
        )

    def test_a_busy_lane_declines_a_job_that_would_wait_too_long(self) -> None:
        self.lane = Lane(PLACE, lambda _: self.allowed)
        self.record_slow_answers()
        ends_s = self.now_s + 1.2
        self.put(*(job(f"r{n}", deadline_s=self.now_s + 100) for n in range(2)))
        self.assertEqual([self.start_next(), self.start_next()], ["r0", "r1"])
        refused = self.lane.put(job("x", deadline_s=ends_s), self.tick())
        self.assertEqual(refused, Failure(DeclineReason.QUEUED_TOO_LONG))

    def test_an_idle_lane_starts_a_job_although_it_was_slow(self) -> None:
        self.record_slow_answers()
        self.put(job("x", deadline_s=self.now_s + 0.5))
        self.assertEqual(self.start_next(), "x")


class LaneHealthTest(LaneTestCase):
    """Shed requests lower the limit, draining stops work, outages restart at one."""

    def reply(self, reply_to: Job, reply: SubReply) -> None:
        """Starts a job, records its reply and releases its slot."""
        self.put(reply_to)
        self.start_next()
        self.lane.record_reply(reply_to, reply, self.tick())
        self.lane.release_slot(reply_to.request.attempt)

    def spare(self) -> int:
        """Returns the number of spare slots."""
        return self.lane.spare_slots(self.tick())

    def test_a_shed_request_halves_the_limit_and_answers_raise_it(self) -> None:
        shed = job("1")
        self.reply(shed, Declined(shed.request.attempt, DeclineReason.SHED))
        self.assertEqual(self.spare(), 1)
        for number in range(ANSWERS_PER_SLOT):
            answered = job(f"a{number}")
            self.reply(answered, answer(answered))
        self.assertEqual(self.spare(), 2)

    def test_timeouts_without_an_answer_leave_one_slot(self) -> None:
        for number in range(TIMEOUTS_TO_MIN):
            lost = job(str(number))
            self.reply(lost, Lost(lost.request.attempt, LossReason.TIMED_OUT))
        self.assertEqual(self.spare(), 1)

    def test_a_target_that_comes_back_starts_with_one_slot(self) -> None:
        lost = job("1")
        self.reply(lost, Lost(lost.request.attempt, LossReason.TARGET_CLOSED))
        self.assertEqual(self.spare(), 1)

    def test_a_leaving_target_gets_no_new_work(self) -> None:
        waiting = job("2")
        first = job("1")
        self.put(first, waiting)
        self.start_next()
        draining = Declined(first.request.attempt, DeclineReason.DRAINING)
        self.lane.record_reply(first, draining, self.tick())
        self.assertEqual(
            waiting.inbox.receive(), Declined(AttemptId("2"), DeclineReason.DRAINING)
        )
        refused = self.lane.put(job("3"), self.tick())
        self.assertEqual(refused, Failure(DeclineReason.DRAINING))
        self.now_s += DRAINING_KEPT_S
        self.put(job("4"))

    def test_a_target_that_cannot_be_reached_declines_at_once(self) -> None:
        self.lane.condition.record_closed()
        self.lane.condition.record_connect_failure()
        refused = self.lane.put(job("1"), self.tick())
        self.assertEqual(refused, Failure(DeclineReason.UNREACHABLE))
