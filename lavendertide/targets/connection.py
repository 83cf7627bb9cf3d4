"""The tasks that serve the connections to one target.

A working connection carries one sub-request at a time, so that a lane with no more
connections than slots cannot overload its target. It is opened before it is needed and
reopened after a loss. The control connection cancels attempts that are no longer needed
and checks the target's health.
"""

import logging
import random
from dataclasses import dataclass, field, replace
from typing import Final

from prometheus_client import Counter

from lavendertide.bookkeeping import Isolated
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
    CrashObserver,
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
# After these losses the target may still run the attempt. The last one stands for a
# fault of this process.
MAY_STILL_RUN: Final = frozenset(
    {
        LossReason.TIMED_OUT,
        LossReason.TARGET_CLOSED,
        LossReason.MALFORMED_REPLY,
        LossReason.PEER_LOST,
    }
)
EXCHANGES_FAILED: Final = Counter(
    "lavendertide_target_exchanges_failed",
    "Sub-requests to targets held here that an unexpected exception has ended.",
)

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Cancellation:
    """A request to the control task to cancel an attempt at the target.

    Attributes:
        done: Receives whether the attempt has ended.
    """

    job: Job
    done: tasks.Mailbox[bool]


@dataclass(slots=True)
class LaneContext:
    """State shared by the connection tasks of one lane.

    Attributes:
        wake_ups: Each message wakes one connection task that waits for a job.
    """

    lane: Lane
    crash_observer: CrashObserver
    timing: ExchangeTiming
    wake_ups: tasks.Mailbox[None]
    cancellations: tasks.Mailbox[Cancellation] = field(default_factory=tasks.Mailbox)
    is_closed: bool = False


def serve_connection(context: LaneContext, exchange: TargetExchange) -> None:
    """Runs sub-requests on one working connection until the lane is closed."""
    lane = context.lane
    while not context.is_closed:
        _open_with_backoff(context, exchange)
        lane.record_opened()
        while not context.is_closed and exchange.is_open:
            job = lane.start_next(clock.monotonic_s())
            if job is None:
                context.wake_ups.receive(IDLE_CHECK_S)
            else:
                _run_job(context, exchange, job)
        lane.condition.record_closed()
        if lane.queued:
            context.wake_ups.send(None)
    exchange.close()


def serve_control(context: LaneContext, control: TargetControl) -> None:
    """Cancels attempts and checks the health until the lane is closed.

    A backup does not check the health while the lease allows it no slots.
    """
    lane = context.lane
    timing = context.timing
    next_check_s = clock.monotonic_s() + random.uniform(0, timing.health_poll_s)
    while not context.is_closed:
        wait_s = max(0.0, next_check_s - clock.monotonic_s())
        cancellation = context.cancellations.receive(wait_s)
        if cancellation is not None:
            cancellation.done.send(_cancel(lane, control, cancellation))
        elif lane.condition.reach is Reachability.UP and lane.has_slots(
            clock.monotonic_s()
        ):
            _check_health(context, control)
            next_check_s = clock.monotonic_s() + timing.health_poll_s
        else:
            next_check_s = clock.monotonic_s() + timing.health_poll_s
    control.close()


def _cancel(lane: Lane, control: TargetControl, cancellation: Cancellation) -> bool:
    attempt = cancellation.job.request.attempt
    if lane.running_job(attempt) is None:
        return True
    return control.cancel(attempt, CANCEL_TIMEOUT_S)


def _open_with_backoff(context: LaneContext, exchange: TargetExchange) -> None:
    pause_s = REOPEN_MIN_S
    while not context.is_closed and not exchange.open():
        context.lane.record_connect_failure()
        tasks.sleep(pause_s * random.uniform(0.5, 1.0))
        pause_s = min(REOPEN_MAX_S, 2 * pause_s)


def _run_job(context: LaneContext, exchange: TargetExchange, job: Job) -> None:
    """Runs a job; its sender gets exactly one reply, also after an exception."""
    lane, attempt = context.lane, job.request.attempt
    refused: DeclineReason | None = DeclineReason.UNREACHABLE
    with Isolated("quarantine", attempt):
        refused = _decline_reason(context, job)
    if refused is not None:
        lane.release_slot(attempt)
        job.inbox.send(Declined(attempt, refused))
        return
    reply = _exchange(exchange, job)
    now_s = clock.monotonic_s()
    with Isolated("lane", attempt):
        lane.record_reply(job, reply, now_s)
    with Isolated("crash", attempt):
        _notify_crash_observer(context, job, reply)
    match reply:
        case Lost(reason=reason) if reason in MAY_STILL_RUN:
            _send_reply(lane, job, reply, now_s)
            _wait_until_ended(context, job)
            lane.release_slot(attempt)
        case _:
            lane.release_slot(attempt)
            _send_reply(lane, job, reply, now_s)
    # This connection starts one job itself.
    if lane.count_startable(clock.monotonic_s()) > 1:
        context.wake_ups.send(None)


def _exchange(exchange: TargetExchange, job: Job) -> SubReply:
    """Returns the reply of a target; after an unexpected exception it is lost.

    The target may run the request then, and its reply may still arrive, so the
    connection is closed.
    """
    attempt = job.request.attempt
    try:
        if job.is_alone and not exchange.open():
            return Declined(attempt, DeclineReason.UNREACHABLE)
        return exchange.run(job.request, job.deadline.remaining_s(clock.monotonic_s()))
    except Exception:
        _log.exception("exchange failed", extra={"attempt": attempt})
        EXCHANGES_FAILED.inc()
        exchange.close()
        return Lost(attempt, LossReason.PEER_LOST)


def _decline_reason(context: LaneContext, job: Job) -> DeclineReason | None:
    """Returns the reason to decline a job that was queued before a crash, if any."""
    match context.crash_observer.permission(job.request, clock.monotonic_s()):
        case Permission.NEVER:
            return DeclineReason.POISONED
        case Permission.ALONE if not job.is_alone:
            return DeclineReason.UNREACHABLE
        case _:
            return None


def _send_reply(lane: Lane, job: Job, reply: SubReply, now_s: float) -> None:
    with Isolated("spare slots", job.request.attempt):
        match reply:
            case Answered() | Declined():
                spare_slots = lane.spare_slots(now_s)
                if spare_slots:
                    reply = replace(reply, spare_slots=spare_slots)
    job.inbox.send(reply)


def _notify_crash_observer(context: LaneContext, job: Job, reply: SubReply) -> None:
    match reply:
        case Lost(reason=LossReason.TARGET_CLOSED):
            context.crash_observer.record_crash(job.request, job.is_alone)
        case Answered() if job.is_alone:
            context.crash_observer.record_answer(job.request)


def _wait_until_ended(context: LaneContext, job: Job) -> None:
    """Waits until an attempt without a reply cannot be running at the target."""
    done: tasks.Mailbox[bool] = tasks.Mailbox()
    ends_at_s = job.deadline.at_s + context.timing.end_margin_s
    while (now_s := clock.monotonic_s()) < ends_at_s:
        context.cancellations.send(Cancellation(job, done))
        if done.receive(ends_at_s - now_s):
            return
        tasks.sleep(CANCEL_PAUSE_S)


def _check_health(context: LaneContext, control: TargetControl) -> None:
    if control.is_draining(CANCEL_TIMEOUT_S):
        context.lane.record_draining(clock.monotonic_s())
