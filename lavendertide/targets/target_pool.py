"""Manages the lanes of all targets whose slots this daemon may use."""

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
    LaneContext,
    serve_connection,
    serve_control,
)
from lavendertide.targets.exchange import CrashWitness, ExchangeFactory, ExchangeTiming
from lavendertide.targets.fair_queue import Job
from lavendertide.targets.lane import AttemptTargets, CancelEffect, Lane
from lavendertide.targets.place import TargetPlace


class SlotSource(Protocol):
    """Provides the number of slots of each target that this daemon may use."""

    def allowance(self, target: TargetId, now_s: float) -> int:
        """Returns the number of slots of a target that may be used now."""


class TargetPool:
    """Opens and closes a lane, with its connections, for each target that is held.

    Args:
        attempt_s: Maximum time that an attempt may run.
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
        self._lanes: dict[TargetId, LaneContext] = {}
        self._places: dict[TargetId, TargetPlace] = {}
        self._closing: list[LaneContext] = []
        self._index: AttemptTargets = {}
        self._closed_breaches: Counter[OwnerId] = Counter()

    @property
    def lanes(self) -> list[Lane]:
        """The open lanes."""
        return [shared.lane for shared in self._lanes.values()]

    @property
    def has_pending(self) -> bool:
        """Whether a job waits for a slot, or a closed lane for its last jobs."""
        return bool(self._closing) or any(lane.queued for lane in self.lanes)

    @property
    def slot_breaches(self) -> dict[OwnerId, int]:
        """Sub-requests started above a target's slots since the daemon started, by owner."""
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
        """Queues a sub-request; exactly one reply is put into the inbox."""
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
        """Drops queued attempts and cancels running ones at their targets."""
        for attempt in attempts:
            target = self._index.get(attempt)
            shared = self._lanes.get(target) if target is not None else None
            if shared is not None:
                self._cancel_in(shared, attempt)

    def slots_in_use(self, target: TargetId) -> int:
        """Returns the number of a target's slots that may still be in use."""
        lanes = [shared.lane for shared in (*self._lanes.values(), *self._closing)]
        return sum(lane.slots_in_use for lane in lanes if lane.place.target == target)

    def update_targets(self, held: Iterable[TargetPlace]) -> None:
        """Opens lanes for the targets that are held now and closes all others.

        A lane is also replaced if its target's address changed; the new lane opens
        only once the last jobs of the old one have ended.
        """
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
        """Opens lanes that waited for the last jobs of their predecessors."""
        if self._closing:
            self.update_targets(self._places.values())

    def wake(self, now_s: float) -> None:
        """Wakes connections for queued jobs; declines the jobs if the lease is lost.

        Must be called often, so that a change of a lease takes effect.
        """
        for shared in self._lanes.values():
            if shared.lane.queued:
                shared.lane.decline_if_lease_lost(now_s)
                for _ in range(shared.lane.count_startable(now_s)):
                    shared.wake_ups.send(None)

    def _cancel_in(self, shared: LaneContext, attempt: AttemptId) -> None:
        if shared.lane.cancel(attempt) is CancelEffect.RUNNING:
            job = shared.lane.running_job(attempt)
            if job is not None:
                shared.cancellations.send(Cancellation(job, tasks.Mailbox()))

    def _open(self, place: TargetPlace) -> LaneContext:
        target = place.target
        lane = Lane(
            place, lambda now_s: self._slots.allowance(target, now_s), self._index
        )
        budget = connection_budget(place.slots, place.connections)
        # One wake-up per connection is enough: more would find no connection waiting.
        wake_ups: tasks.Mailbox[None] = tasks.Mailbox(budget.working)
        shared = LaneContext(lane, self._witness, self._timing, wake_ups)
        for _ in range(budget.working):
            tasks.spawn(serve_connection, shared, self._maker.exchange(place))
        for _ in range(budget.control):
            tasks.spawn(serve_control, shared, self._maker.control(place))
        return shared

    def _close(self, target: TargetId, shared: LaneContext) -> None:
        del self._lanes[target]
        self._closing.append(shared)
        self._closed_breaches[shared.lane.place.owner] += shared.lane.slot_breaches
        shared.is_closed = True
        shared.lane.decline_all(DeclineReason.NO_LEASE)
        for _ in range(shared.lane.place.slots):
            shared.wake_ups.send(None)
