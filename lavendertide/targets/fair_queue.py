"""Round-robin queue over owners, and within each owner over plan classes."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from lavendertide.ids import AttemptId, OwnerId, PlanClass
from lavendertide.messages import SubReply, SubRequest
from lavendertide.queries.deadline import Deadline
from lavendertide.runtime.tasks import Mailbox

OWNER_QUEUE_MAX: Final = 64


@dataclass(frozen=True, slots=True)
class Job:
    """A sub-request that waits for a slot.

    Attributes:
        deadline: Time after which an answer is useless.
        inbox: Receives the reply.
        is_alone: Whether the target may run nothing else at the same time.
    """

    request: SubRequest
    deadline: Deadline
    inbox: Mailbox[SubReply]
    is_alone: bool = False


class OwnerQueue:
    """One owner's jobs, round-robin over its plan classes."""

    def __init__(self) -> None:
        self._by_class: dict[PlanClass, deque[Job]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def put(self, job: Job) -> None:
        """Appends a job to the queue of its class."""
        self._by_class.setdefault(job.request.plan_class, deque()).append(job)
        self._count += 1

    def pop(self) -> Job:
        """Removes the next job; its class moves behind the others."""
        plan_class, jobs = next(iter(self._by_class.items()))
        del self._by_class[plan_class]
        job = jobs.popleft()
        if jobs:
            self._by_class[plan_class] = jobs
        self._count -= 1
        return job


class FairQueue:
    """The jobs of all owners, round-robin over the owners."""

    def __init__(self) -> None:
        self._by_owner: dict[OwnerId, OwnerQueue] = {}
        self._waiting: dict[AttemptId, Job] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, attempt: AttemptId) -> bool:
        return attempt in self._waiting

    def is_full_for(self, owner: OwnerId) -> bool:
        """Returns whether an owner has reached `OWNER_QUEUE_MAX` queued jobs."""
        queue = self._by_owner.get(owner)
        return queue is not None and len(queue) >= OWNER_QUEUE_MAX

    def count_ahead(self, owner: OwnerId) -> int:
        """Returns how many jobs would be popped before a new one of this owner."""
        queue = self._by_owner.get(owner)
        own = len(queue) if queue is not None else 0
        return own + sum(
            min(own + 1, len(other))
            for name, other in self._by_owner.items()
            if name != owner
        )

    def put(self, job: Job) -> None:
        """Appends a job to the queue of its owner and class."""
        owner = job.request.owner
        queue = self._by_owner.get(owner)
        if queue is None:
            queue = self._by_owner[owner] = OwnerQueue()
        queue.put(job)
        self._waiting[job.request.attempt] = job

    def pop(self) -> Job | None:
        """Removes the next job, or returns None; its owner moves behind the others."""
        while self._by_owner:
            owner, queue = next(iter(self._by_owner.items()))
            del self._by_owner[owner]
            job = queue.pop()
            if len(queue):
                self._by_owner[owner] = queue
            if self._waiting.pop(job.request.attempt, None) is not None:
                return job
        return None

    def discard(self, attempt: AttemptId) -> Job | None:
        """Removes and returns a job, or returns None if it is not queued."""
        return self._waiting.pop(attempt, None)

    def drain(self) -> list[Job]:
        """Removes and returns all jobs."""
        drained: list[Job] = []
        while (job := self.pop()) is not None:
            drained.append(job)
        return drained
