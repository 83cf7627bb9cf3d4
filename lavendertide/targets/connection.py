"""The tasks of one target's connections, each written straight down.

A working connection carries one sub-request at a time, so that a lane with no more
connections than slots never overruns its target. It is opened before it is needed and
again after a loss. The control connection cancels what nobody waits for and reads the
target's health.
"""

import random
from dataclasses import dataclass, field, replace
from typing import Final

from lavendertide.messages import (
    Answered,
    Declined,
    DeclineReason,
    LossReason,
    Lost,
    SubReply,
)
from lavendertide.poison.quarantine import Permission
from lavendertide.runtime import clock, tasks
from lavendertide.targets.condition import Reachability
from lavendertide.targets.exchange import (
    CrashWitness,
    ExchangeTiming,
    TargetControl,
    TargetExchange,
)
from lavendertide.targets.fair_queue import Job
from lavendertide.targets.lane import Lane

REOPEN_MIN_S: Final = 0.05
REOPEN_MAX_S: Final = 1.0
IDLE_CHECK_S: Final = 1.0
CANCEL_TIMEOUT_S: Final = 1.0
CANCEL_PAUSE_S: Final = 0.1


@dataclass(frozen=True, slots=True)
class Cancellation:
    """An attempt that the target is told to end.

    Attributes:
        done: Where the one who waits for the end is told of it.
    """

    job: Job
    done: tasks.Mailbox[bool]


@dataclass(slots=True)
class LaneTasks:
    """What the tasks of one lane share.

    Attributes:
        wake_ups: Wakes one connection that waits for a job.
    """

    lane: Lane
    witness: CrashWitness
    timing: ExchangeTiming
    wake_ups: tasks.Mailbox[None]
    cancellations: tasks.Mailbox[Cancellation] = field(default_factory=tasks.Mailbox)
    is_closed: bool = False


def serve_connection(shared: LaneTasks, exchange: TargetExchange) -> None:
    """Carries sub-requests to a target for as long as its lane exists."""
    lane = shared.lane
    while not shared.is_closed:
        _open(shared, exchange)
        lane.note_opened()
        while not shared.is_closed and exchange.is_open:
            job = lane.take(clock.monotonic_s())
            if job is None:
                shared.wake_ups.receive(IDLE_CHECK_S)
            else:
                _carry(shared, exchange, job)
        lane.condition.note_closed()
        if lane.queued:
            shared.wake_ups.send(None)
    exchange.close()


def serve_control(shared: LaneTasks, control: TargetControl) -> None:
    """Cancels attempts and reads the health for as long as the lane exists.

    A backup reads no health while it may send nothing.
    """
    lane = shared.lane
    timing = shared.timing
    next_look_s = clock.monotonic_s() + random.uniform(0, timing.health_poll_s)
    while not shared.is_closed:
        wait_s = max(0.0, next_look_s - clock.monotonic_s())
        cancellation = shared.cancellations.receive(wait_s)
        if cancellation is not None:
            cancellation.done.send(_cancel(lane, control, cancellation))
        elif lane.condition.reach is Reachability.UP and lane.has_slots(
            clock.monotonic_s()
        ):
            _look_at_health(shared, control)
            next_look_s = clock.monotonic_s() + timing.health_poll_s
        else:
            next_look_s = clock.monotonic_s() + timing.health_poll_s
    control.close()


def _cancel(lane: Lane, control: TargetControl, cancellation: Cancellation) -> bool:
    attempt = cancellation.job.request.attempt
    if lane.job_of(attempt) is None:
        return True
    return control.cancel(attempt, CANCEL_TIMEOUT_S)


def _open(shared: LaneTasks, exchange: TargetExchange) -> None:
    pause_s = REOPEN_MIN_S
    while not shared.is_closed and not exchange.open():
        shared.lane.note_refused()
        tasks.sleep(pause_s * random.uniform(0.5, 1.0))
        pause_s = min(REOPEN_MAX_S, 2 * pause_s)


def _carry(shared: LaneTasks, exchange: TargetExchange, job: Job) -> None:
    lane = shared.lane
    refused = _reason_to_refuse(shared, job)
    if refused is not None:
        lane.free(job.request.attempt)
        job.inbox.send(Declined(job.request.attempt, refused))
        return
    if job.is_alone and not exchange.open():
        reply: SubReply = Declined(job.request.attempt, DeclineReason.UNREACHABLE)
    else:
        timeout_s = job.deadline.remaining_s(clock.monotonic_s())
        reply = exchange.run(job.request, timeout_s)
    now_s = clock.monotonic_s()
    lane.note_reply(job, reply, now_s)
    _tell_witness(shared, job, reply)
    match reply:
        case Lost(reason=LossReason.TIMED_OUT | LossReason.TARGET_CLOSED):
            _send(lane, job, reply, now_s)
            _wait_for_end(shared, job)
            lane.free(job.request.attempt)
        case _:
            lane.free(job.request.attempt)
            _send(lane, job, reply, now_s)
    # This connection takes one job itself.
    if lane.wakeable(clock.monotonic_s()) > 1:
        shared.wake_ups.send(None)


def _reason_to_refuse(shared: LaneTasks, job: Job) -> DeclineReason | None:
    """Returns why a job must not run that was queued before a crash, if so."""
    match shared.witness.permission(job.request, clock.monotonic_s()):
        case Permission.NEVER:
            return DeclineReason.POISONED
        case Permission.ALONE if not job.is_alone:
            return DeclineReason.UNREACHABLE
        case _:
            return None


def _send(lane: Lane, job: Job, reply: SubReply, now_s: float) -> None:
    match reply:
        case Answered() | Declined():
            spare_slots = lane.spare_slots(now_s)
            if spare_slots:
                reply = replace(reply, spare_slots=spare_slots)
    job.inbox.send(reply)


def _tell_witness(shared: LaneTasks, job: Job, reply: SubReply) -> None:
    match reply:
        case Lost(reason=LossReason.TARGET_CLOSED):
            shared.witness.record_crash(job.request, job.is_alone)
        case Answered() if job.is_alone:
            shared.witness.record_reply(job.request)


def _wait_for_end(shared: LaneTasks, job: Job) -> None:
    """Waits until the target certainly no longer runs an attempt without a reply."""
    done: tasks.Mailbox[bool] = tasks.Mailbox()
    ends_at_s = job.deadline.at_s + shared.timing.end_margin_s
    while (now_s := clock.monotonic_s()) < ends_at_s:
        shared.cancellations.send(Cancellation(job, done))
        if done.receive(ends_at_s - now_s):
            return
        tasks.sleep(CANCEL_PAUSE_S)


def _look_at_health(shared: LaneTasks, control: TargetControl) -> None:
    if control.is_draining(CANCEL_TIMEOUT_S):
        shared.lane.note_draining(clock.monotonic_s())
