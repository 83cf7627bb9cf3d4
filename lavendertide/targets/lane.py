"""The lane of a target: its queue and slots on a daemon that may use them.

Sub-requests of all owners wait here. A job gets a slot only if the lease, the target's
current concurrency limit and the job's deadline allow it. A job that cannot be answered
in time is declined at once, while its sender can still try another replica.
"""

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from returns.result import Failure, Result, Success

from lavendertide.ids import AttemptId, TargetId
from lavendertide.messages import (
    Answered,
    Declined,
    DeclineReason,
    LossReason,
    Lost,
    SubReply,
)
from lavendertide.targets.concurrency import ConcurrencyLimit
from lavendertide.targets.condition import Reachability, TargetCondition
from lavendertide.targets.fair_queue import FairQueue, Job
from lavendertide.targets.place import TargetPlace
from lavendertide.targets.service_time import ServiceTime

ALONE_MAX: Final = 4

_log = logging.getLogger(__name__)

AttemptTargets = dict[AttemptId, TargetId]


class CancelEffect(Enum):
    """What a cancellation did."""

    ABSENT = "absent"
    DROPPED = "dropped"
    RUNNING = "running"


@dataclass(slots=True)
class RunningJob:
    """A job that occupies a slot."""

    job: Job
    started_at_s: float


class Lane:
    """The queue in front of one target and the jobs in its slots.

    Args:
        allowance: Returns the number of slots that the lease allows at a time.
        targets_by_attempt: Map in which the lane registers the target of its attempts.
    """

    def __init__(
        self,
        place: TargetPlace,
        allowance: Callable[[float], int],
        targets_by_attempt: AttemptTargets | None = None,
    ) -> None:
        self._place = place
        self._read_allowance = allowance
        self._allowed = (-1.0, 0)
        self._targets_by_attempt = (
            targets_by_attempt if targets_by_attempt is not None else {}
        )
        self._queue = FairQueue()
        self._alone: deque[Job] = deque()
        self._running: dict[AttemptId, RunningJob] = {}
        self._limit = ConcurrencyLimit(place.slots)
        self._service_time = ServiceTime()
        self._condition = TargetCondition()
        self._slot_breaches = 0

    @property
    def place(self) -> TargetPlace:
        """The target as published."""
        return self._place

    @property
    def condition(self) -> TargetCondition:
        """Reachability and draining state of the target."""
        return self._condition

    @property
    def queued(self) -> int:
        """Number of jobs that wait for a slot."""
        return len(self._queue) + len(self._alone)

    @property
    def slots_in_use(self) -> int:
        """Number of jobs that the target may still be running."""
        return len(self._running)

    @property
    def slot_breaches(self) -> int:
        """Number of jobs started while all of the target's slots were in use."""
        return self._slot_breaches

    def usable_slots(self, now_s: float) -> int:
        """Returns the number of slots that the lease and the load limit allow."""
        return min(self._allowance(now_s), self._limit.slots)

    def resize(self, place: TargetPlace) -> None:
        """Applies a published change that keeps the target's address."""
        self._place = place
        self._limit.resize(place.slots)

    def has_slots(self, now_s: float) -> bool:
        """Returns whether the lease allows any slots."""
        return self._allowance(now_s) > 0

    def spare_slots(self, now_s: float) -> int:
        """Returns the number of free slots beyond the queued jobs."""
        return max(0, self.usable_slots(now_s) - self.slots_in_use - self.queued)

    def put(self, job: Job, now_s: float) -> Result[None, DeclineReason]:
        """Queues a job, or fails with the reason to decline it."""
        reason = self._decline_reason(job, now_s)
        if reason is not None:
            return Failure(reason)
        if job.is_alone:
            self._alone.append(job)
        else:
            self._queue.put(job)
        self._targets_by_attempt[job.request.attempt] = self._place.target
        return Success(None)

    def start_next(self, now_s: float) -> Job | None:
        """Gives the next job a slot; jobs that cannot finish in time are declined."""
        while self._can_start_next(now_s):
            job = self._pop_next()
            if job is None:
                return None
            if self._is_too_late(job, now_s):
                self._decline(job, DeclineReason.QUEUED_TOO_LONG)
                continue
            self._slot_breaches += len(self._running) >= self._place.slots
            self._running[job.request.attempt] = RunningJob(job, now_s)
            return job
        return None

    def count_startable(self, now_s: float) -> int:
        """Returns the number of queued jobs that could get a slot now."""
        if not self.queued:
            return 0
        return min(self.queued, self.usable_slots(now_s) - self.slots_in_use)

    def decline_if_lease_lost(self, now_s: float) -> None:
        """Declines all queued jobs if the lease has been lost."""
        if self.queued and self._allowance(now_s) == 0:
            self.decline_all(DeclineReason.NO_LEASE)

    def decline_all(self, reason: DeclineReason) -> None:
        """Declines all queued jobs."""
        waiting = [*self._queue.drain(), *self._alone]
        self._alone.clear()
        for job in waiting:
            self._decline(job, reason)

    def cancel(self, attempt: AttemptId) -> CancelEffect:
        """Drops a job if it is queued; a running job is not affected."""
        if attempt in self._running:
            return CancelEffect.RUNNING
        job = self._queue.discard(attempt) or self._discard_alone(attempt)
        if job is None:
            return CancelEffect.ABSENT
        self._decline(job, DeclineReason.CANCELLED)
        return CancelEffect.DROPPED

    def record_reply(self, job: Job, reply: SubReply, now_s: float) -> None:
        """Updates the load limit and target state from a reply.

        The slot stays occupied until `release_slot` is called.
        """
        running = self._running[job.request.attempt]
        match reply:
            case Answered():
                self._service_time.record(now_s - running.started_at_s)
                self._limit.record_answer()
            case Declined(reason=DeclineReason.SHED):
                self._limit.record_shed()
            case Declined(reason=DeclineReason.DRAINING):
                self.record_draining(now_s)
            case Declined(reason=DeclineReason.UNREACHABLE):
                self._limit.record_outage()
            case Lost(reason=LossReason.TARGET_CLOSED | LossReason.MALFORMED_REPLY):
                self._limit.record_outage()
            case Lost(reason=LossReason.TIMED_OUT):
                self._limit.record_timeout()
            case _:
                pass

    def record_draining(self, now_s: float) -> None:
        """Records that the target is draining and declines all queued jobs."""
        if not self._condition.is_draining(now_s):
            _log.info("target is leaving", extra=self._log_fields())
        self._condition.record_draining(now_s)
        self.decline_all(DeclineReason.DRAINING)

    def record_opened(self) -> None:
        """Records that a connection to the target has been opened."""
        if self._condition.reach is Reachability.DOWN:
            _log.info("target reached again", extra=self._log_fields())
        self._condition.record_opened()

    def record_connect_failure(self) -> None:
        """Records a failed connect; declines all queued jobs if the target is down."""
        before = self._condition.reach
        self._condition.record_connect_failure()
        if self._condition.reach is not Reachability.DOWN:
            return
        if before is not Reachability.DOWN:
            _log.warning("target lost", extra=self._log_fields())
        self._limit.record_outage()
        self.decline_all(DeclineReason.UNREACHABLE)

    def running_job(self, attempt: AttemptId) -> Job | None:
        """Returns a running job, or None if it is not running."""
        running = self._running.get(attempt)
        return running.job if running is not None else None

    def release_slot(self, attempt: AttemptId) -> None:
        """Releases the slot of an attempt that the target certainly no longer runs."""
        self._running.pop(attempt, None)
        self._targets_by_attempt.pop(attempt, None)

    def _allowance(self, now_s: float) -> int:
        read_at_s, allowed = self._allowed
        if read_at_s != now_s:
            allowed = self._read_allowance(now_s)
            self._allowed = now_s, allowed
        return allowed

    def _discard_alone(self, attempt: AttemptId) -> Job | None:
        for job in self._alone:
            if job.request.attempt == attempt:
                self._alone.remove(job)
                return job
        return None

    def _log_fields(self) -> dict[str, str]:
        return {"target": self._place.target, "owner": self._place.owner}

    def _can_start_next(self, now_s: float) -> bool:
        in_use = len(self._running)
        if self._alone:
            return in_use == 0 and self._allowance(now_s) == self._place.slots
        if in_use == 0:
            return self.usable_slots(now_s) > 0
        if any(running.job.is_alone for running in self._running.values()):
            return False
        return in_use < self.usable_slots(now_s)

    def _pop_next(self) -> Job | None:
        if self._alone:
            return self._alone.popleft()
        return self._queue.pop()

    def _decline_reason(self, job: Job, now_s: float) -> DeclineReason | None:
        allowed = self._allowance(now_s)
        if self._condition.is_draining(now_s):
            return DeclineReason.DRAINING
        if allowed == 0 or (job.is_alone and allowed < self._place.slots):
            return DeclineReason.NO_LEASE
        if self._condition.reach is Reachability.DOWN:
            return DeclineReason.UNREACHABLE
        if self._queue.is_full_for(job.request.owner) or len(self._alone) >= ALONE_MAX:
            return DeclineReason.QUEUE_FULL
        if not job.deadline.allows_attempt(now_s) or self._would_wait_too_long(
            job, now_s
        ):
            return DeclineReason.QUEUED_TOO_LONG
        return None

    def _would_wait_too_long(self, job: Job, now_s: float) -> bool:
        ahead = self._queue.count_ahead(job.request.owner) + len(self._alone)
        in_use, usable = len(self._running), self.usable_slots(now_s)
        if not ahead and in_use < usable:
            return False
        rounds = 1 + (ahead + 1) / usable
        return rounds * self._service_time.median_s > job.deadline.remaining_s(now_s)

    def _is_too_late(self, job: Job, now_s: float) -> bool:
        if not job.deadline.allows_attempt(now_s):
            return True
        needed_s = self._service_time.median_s
        return bool(self._running) and job.deadline.remaining_s(now_s) < needed_s

    def _decline(self, job: Job, reason: DeclineReason) -> None:
        self._targets_by_attempt.pop(job.request.attempt, None)
        job.inbox.send(Declined(job.request.attempt, reason))
