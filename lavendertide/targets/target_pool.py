"""The lanes of all targets whose slots this daemon may use."""

from collections import Counter
from collections.abc import Iterable
from typing import Protocol

from returns.result import Failure

from lavendertide.ids import AttemptId, OwnerId, TargetId
from lavendertide.messages import Declined, DeclineReason, SubReply, SubRequest
from lavendertide.queries.deadline import Deadline
from lavendertide.runtime import clock, tasks
from lavendertide.targets.budget import connection_budget
from lavendertide.targets.connection import (
    Cancellation,
    LaneTasks,
    serve_connection,
    serve_control,
)
from lavendertide.targets.exchange import CrashWitness, ExchangeFactory, ExchangeTiming
from lavendertide.targets.fair_queue import Job
from lavendertide.targets.lane import CancelEffect, Lane, LaneIndex
from lavendertide.targets.place import TargetPlace


class SlotSource(Protocol):
    """Says how many slots of each target this daemon may use."""

    def allowance(self, target: TargetId, now_s: float) -> int:
        """Returns how many slots of a target may be used now."""


class TargetPool:
    """Opens a lane with its connections for each target that is held.

    Args:
        attempt_s: The longest time that an attempt may run.
    """

    def __init__(
        self,
        maker: ExchangeFactory,
        slots: SlotSource,
        witness: CrashWitness,
        attempt_s: float,
        timing: ExchangeTiming | None = None,
    ) -> None:
        self._maker = maker
        self._slots = slots
        self._witness = witness
        self._attempt_s = attempt_s
        self._timing = timing or ExchangeTiming()
        self._lanes: dict[TargetId, LaneTasks] = {}
        self._places: dict[TargetId, TargetPlace] = {}
        self._closing: list[LaneTasks] = []
        self._index: LaneIndex = {}
        self._closed_breaches: Counter[OwnerId] = Counter()

    @property
    def lanes(self) -> list[Lane]:
        """The lanes that are open."""
        return [shared.lane for shared in self._lanes.values()]

    @property
    def has_pending(self) -> bool:
        """Whether a job waits for a slot, or a lane for the end of its last jobs."""
        return bool(self._closing) or any(lane.queued for lane in self.lanes)

    @property
    def slot_breaches(self) -> dict[OwnerId, int]:
        """Sub-requests that began above a target's slots since the start, by owner."""
        breaches = self._closed_breaches.copy()
        for lane in self.lanes:
            breaches[lane.place.owner] += lane.slot_breaches
        return dict(breaches)

    def submit(
        self,
        place: TargetPlace,
        request: SubRequest,
        inbox: tasks.Mailbox[SubReply],
        is_alone: bool = False,
    ) -> None:
        """Queues a sub-request; exactly one reply comes to the inbox."""
        shared = self._lanes.get(place.target)
        if shared is None:
            inbox.send(Declined(request.attempt, DeclineReason.NO_LEASE))
            return
        now_s = clock.monotonic_s()
        allowed_s = min(request.remaining_ms / 1000, self._attempt_s)
        job = Job(request, Deadline(now_s + allowed_s), inbox, is_alone)
        match shared.lane.put(job, now_s):
            case Failure(reason):
                spare_slots = shared.lane.spare_slots(now_s)
                inbox.send(Declined(request.attempt, reason, spare_slots))
            case _:
                shared.wake_ups.send(None)

    def cancel(self, attempts: Iterable[AttemptId]) -> None:
        """Drops attempts that wait and ends those that run."""
        for attempt in attempts:
            target = self._index.get(attempt)
            shared = self._lanes.get(target) if target is not None else None
            if shared is not None:
                self._cancel_in(shared, attempt)

    def slots_in_use(self, target: TargetId) -> int:
        """Returns how many slots of a target may still be running something."""
        lanes = [shared.lane for shared in (*self._lanes.values(), *self._closing)]
        return sum(lane.slots_in_use for lane in lanes if lane.place.target == target)

    def update_targets(self, held: Iterable[TargetPlace]) -> None:
        """Opens lanes for targets that are held now and closes the others."""
        places = {place.target: place for place in held}
        self._places = places
        self._closing = [shared for shared in self._closing if shared.lane.slots_in_use]
        draining = {shared.lane.place.target for shared in self._closing}
        for target, shared in list(self._lanes.items()):
            place = places.get(target)
            if place is None or place.address != shared.lane.place.address:
                self._close(target, shared)
            elif place is not shared.lane.place:
                shared.lane.resize(place)
        for target, place in places.items():
            if target not in self._lanes and target not in draining:
                self._lanes[target] = self._open(place)

    def open_replacements(self) -> None:
        """Opens the lanes that waited for their predecessors to run out."""
        if self._closing:
            self.update_targets(self._places.values())

    def wake(self, now_s: float) -> None:
        """Has to be called often, so that a change of a lease takes effect."""
        for shared in self._lanes.values():
            if shared.lane.queued:
                shared.lane.decline_all_without_lease(now_s)
                for _ in range(shared.lane.wakeable(now_s)):
                    shared.wake_ups.send(None)

    def _cancel_in(self, shared: LaneTasks, attempt: AttemptId) -> None:
        if shared.lane.cancel(attempt) is CancelEffect.RUNNING:
            job = shared.lane.job_of(attempt)
            if job is not None:
                shared.cancellations.send(Cancellation(job, tasks.Mailbox()))

    def _open(self, place: TargetPlace) -> LaneTasks:
        target = place.target
        lane = Lane(
            place, lambda now_s: self._slots.allowance(target, now_s), self._index
        )
        budget = connection_budget(place.slots, place.connections)
        # Each connection needs one at most; more would only find nothing to do.
        wake_ups: tasks.Mailbox[None] = tasks.Mailbox(budget.working)
        shared = LaneTasks(lane, self._witness, self._timing, wake_ups)
        for _ in range(budget.working):
            tasks.spawn(serve_connection, shared, self._maker.exchange(place))
        for _ in range(budget.control):
            tasks.spawn(serve_control, shared, self._maker.control(place))
        return shared

    def _close(self, target: TargetId, shared: LaneTasks) -> None:
        del self._lanes[target]
        self._closing.append(shared)
        self._closed_breaches[shared.lane.place.owner] += shared.lane.slot_breaches
        shared.is_closed = True
        shared.lane.decline_all(DeclineReason.NO_LEASE)
        for _ in range(shared.lane.place.slots):
            shared.wake_ups.send(None)
