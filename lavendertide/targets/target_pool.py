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
from lavendertide.targets.exchange import CrashObserver, ExchangeFactory, ExchangeTiming
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
        factory: ExchangeFactory,
        slots: SlotSource,
        crash_observer: CrashObserver,
        attempt_s: float,
        timing: ExchangeTiming | None = None,
    ) -> None:
        self._factory = factory
        self._slots = slots
        self._crash_observer = crash_observer
        self._attempt_s = attempt_s
        self._timing = timing or ExchangeTiming()
        self._lanes: dict[TargetId, LaneContext] = {}
        self._places: dict[TargetId, TargetPlace] = {}
        self._closing: list[LaneContext] = []
        self._targets_by_attempt: AttemptTargets = {}
        self._closed_breaches: Counter[OwnerId] = Counter()

    @property
    def lanes(self) -> list[Lane]:
        """The open lanes."""
        return [context.lane for context in self._lanes.values()]

    @property
    def has_pending(self) -> bool:
        """Whether a job waits for a slot, or a closed lane for its last jobs."""
        return bool(self._closing) or any(lane.queued for lane in self.lanes)

    @property
    def slot_breaches(self) -> dict[OwnerId, int]:
        """Jobs started above a target's slots since the daemon started, by owner."""
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
        context = self._lanes.get(place.target)
        if context is None:
            inbox.send(Declined(request.attempt, DeclineReason.NO_LEASE))
            return
        now_s = clock.monotonic_s()
        allowed_s = min(request.remaining_ms / 1000, self._attempt_s)
        job = Job(request, Deadline(now_s + allowed_s), inbox, is_alone)
        match context.lane.put(job, now_s):
            case Failure(reason):
                spare_slots = context.lane.spare_slots(now_s)
                inbox.send(Declined(request.attempt, reason, spare_slots))
            case _:
                context.wake_ups.send(None)

    def cancel(self, attempts: Iterable[AttemptId]) -> None:
        """Drops queued attempts and cancels running ones at their targets."""
        for attempt in attempts:
            target = self._targets_by_attempt.get(attempt)
            context = self._lanes.get(target) if target is not None else None
            if context is not None:
                self._cancel_in(context, attempt)

    def slots_in_use(self, target: TargetId) -> int:
        """Returns the number of a target's slots that may still be in use."""
        lanes = [context.lane for context in (*self._lanes.values(), *self._closing)]
        return sum(lane.slots_in_use for lane in lanes if lane.place.target == target)

    def update_targets(self, held_targets: Iterable[TargetPlace]) -> None:
        """Opens lanes for the targets that are held now and closes all others.

        The lane of a target whose address changed is replaced at once. A target that is
        held again after its lane was closed gets a new one only once the last jobs of
        the old lane have ended.
        """
        places = {place.target: place for place in held_targets}
        self._places = places
        self._closing = [
            context for context in self._closing if context.lane.slots_in_use
        ]
        draining = {context.lane.place.target for context in self._closing}
        for target, context in list(self._lanes.items()):
            place = places.get(target)
            if place is None or place.address != context.lane.place.address:
                self._close(target, context)
            elif place is not context.lane.place:
                context.lane.resize(place)
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
        for context in self._lanes.values():
            if context.lane.queued:
                context.lane.decline_if_lease_lost(now_s)
                for _ in range(context.lane.count_startable(now_s)):
                    context.wake_ups.send(None)

    def _cancel_in(self, context: LaneContext, attempt: AttemptId) -> None:
        if context.lane.cancel(attempt) is CancelEffect.RUNNING:
            job = context.lane.running_job(attempt)
            if job is not None:
                context.cancellations.send(Cancellation(job, tasks.Mailbox()))

    def _open(self, place: TargetPlace) -> LaneContext:
        target = place.target
        lane = Lane(
            place,
            lambda now_s: self._slots.allowance(target, now_s),
            self._targets_by_attempt,
        )
        budget = connection_budget(place.slots, place.connections)
        # One wake-up per connection is enough: more would find no connection waiting.
        wake_ups: tasks.Mailbox[None] = tasks.Mailbox(budget.working)
        context = LaneContext(lane, self._crash_observer, self._timing, wake_ups)
        for _ in range(budget.working):
            tasks.spawn(serve_connection, context, self._factory.exchange(place))
        for _ in range(budget.control):
            tasks.spawn(serve_control, context, self._factory.control(place))
        return context

    def _close(self, target: TargetId, context: LaneContext) -> None:
        del self._lanes[target]
        self._closing.append(context)
        self._closed_breaches[context.lane.place.owner] += context.lane.slot_breaches
        context.is_closed = True
        context.lane.decline_all(DeclineReason.NO_LEASE)
        for _ in range(context.lane.place.slots):
            context.wake_ups.send(None)
