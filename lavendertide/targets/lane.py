"""One target's queue and slots on the daemon that holds them.

All owners' sub-requests for a target wait here; a free slot goes to the owners in
turn, so that a busy owner does not hold up a quiet one.
"""

from collections import deque
from dataclasses import dataclass
from typing import Final

from returns.result import Failure, Result, Success

from lavendertide.configuration.catalog import TargetPlace
from lavendertide.ids import AttemptId, OwnerId
from lavendertide.messages import DeclineReason, SubReply, SubRequest
from lavendertide.queries.deadline import Deadline
from lavendertide.runtime.tasks import Mailbox

QUEUE_MAX: Final = 256


@dataclass(frozen=True, slots=True)
class Job:
    """A sub-request that waits for a slot.

    Attributes:
        deadline: When its answer stops being of use.
        inbox: Where its one reply goes.
    """

    request: SubRequest
    deadline: Deadline
    inbox: Mailbox[SubReply]


class Lane:
    """The queue in front of one target, fair between owners."""

    def __init__(self, place: TargetPlace) -> None:
        self._place = place
        self._queues: dict[OwnerId, deque[Job]] = {}
        self._cancelled: set[AttemptId] = set()
        self._queued = 0
        self._running: set[AttemptId] = set()

    @property
    def place(self) -> TargetPlace:
        """The target."""
        return self._place

    @property
    def queued(self) -> int:
        """Jobs that wait."""
        return self._queued

    @property
    def slots_in_use(self) -> int:
        """Jobs that the target runs, as far as this daemon knows."""
        return len(self._running)

    def put(self, job: Job) -> Result[None, DeclineReason]:
        """Queues a job unless the queue is full."""
        if self._queued >= QUEUE_MAX:
            return Failure(DeclineReason.QUEUE_FULL)
        self._queues.setdefault(job.request.owner, deque()).append(job)
        self._queued += 1
        return Success(None)

    def take(self) -> Job | None:
        """Gives the next job a slot, the owners in turn."""
        if not self._queues:
            return None
        owner, jobs = next(iter(self._queues.items()))
        job = jobs.popleft()
        del self._queues[owner]
        if jobs:
            self._queues[owner] = jobs
        self._queued -= 1
        self._running.add(job.request.attempt)
        return job

    def reason_to_drop(self, job: Job, now_s: float) -> DeclineReason | None:
        """Returns why a job is not worth sending, none if it is."""
        if job.request.attempt in self._cancelled:
            return DeclineReason.CANCELLED
        if not job.deadline.allows_attempt(now_s):
            return DeclineReason.QUEUED_TOO_LONG
        return None

    def cancel(self, attempt: AttemptId) -> bool:
        """Marks an attempt as unwanted; returns whether it is running already."""
        if attempt in self._running:
            return True
        self._cancelled.add(attempt)
        return False

    def free(self, attempt: AttemptId) -> None:
        """Says that the target no longer runs an attempt."""
        self._running.discard(attempt)
        self._cancelled.discard(attempt)
