"""Forwards one request, in the task of its caller's connection.

The task sends the first sub-requests, then waits for the next reply or the next due
retry or hedge. It ends when the response is complete or when further waiting would not
serve the caller.
"""

import math
from typing import Final

from lavendertide.bookkeeping import Isolated
from lavendertide.forwarding.deadlines import ATTEMPT_MIN_S, ResponseDeadlines
from lavendertide.forwarding.messages import (
    UNSENT_REASONS,
    Abandoned,
    CallerRequest,
    Failed,
    NotRun,
    RefusalCause,
    Refused,
    Replied,
    Response,
    TargetReply,
    outcome_of,
)
from lavendertide.forwarding.missing import MissingCause, MissingPart, find_missing
from lavendertide.forwarding.parts import Part
from lavendertide.forwarding.reply_progress import ReplyProgress
from lavendertide.forwarding.response import build_failure, build_success
from lavendertide.forwarding.run_log import RunLog
from lavendertide.forwarding.sender import (
    CallDone,
    CallerLeft,
    Event,
    HostEnds,
    SubRequestSender,
    successful_calls,
)
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.ids import ServiceName
from lavendertide.overload.capacity import Feedback, HalfCovered, Inconclusive, Starved
from lavendertide.registry.record import TargetRecord
from lavendertide.routes.route import GatheredShards, RequestKind, Route
from lavendertide.runtime import clock, tasks

# Pause, as a share of the objective, after which a hedge that the budget did not allow
# is due again: other requests and time give the budget back.
WITHHELD_HEDGE_SHARE: Final = 0.1
# Another host may be able to serve a request that failed here before it was sent.
INTERNAL_ERROR_RETRY_S: Final = 0.2


class RequestRun:
    """Sends and repeats the sub-requests of one request and builds its response."""

    def __init__(
        self,
        sender: SubRequestSender,
        request: CallerRequest,
        route: Route,
        services: tuple[ServiceName, ...],
        deadlines: ResponseDeadlines,
        inbox: tasks.Mailbox[Event],
    ) -> None:
        self._sender = sender
        self._request = request
        self._route = route
        self._is_repeatable = route.kind is RequestKind.IDEMPOTENT
        self._is_gathered = isinstance(route.destination, GatheredShards)
        self._inbox = inbox
        self._deadlines = deadlines
        self._parts = [Part(service) for service in services]
        self._calls: list[TargetCall] = []
        self._log = RunLog(sender, request, route, self._parts, deadlines)
        self._progress = ReplyProgress(request, len(services))
        self._lost_count = 0
        self._due_at_s = math.inf
        self._extra_count = 0
        self._interruption: MissingCause | None = None

    @property
    def progress(self) -> ReplyProgress:
        """The successful replies so far."""
        return self._progress

    @property
    def feedback(self) -> Feedback:
        """What the completed request indicates about the load of its targets."""
        if self._progress.half_covered_s is not None:
            return HalfCovered(self._progress.half_covered_s)
        if self._interruption is MissingCause.CALLER_LEFT:
            return Inconclusive()
        starved = sum(part.is_starved for part in self._parts)
        return Starved() if 2 * starved >= len(self._parts) else Inconclusive()

    def complete(self) -> Response:
        """Sends the request to its targets and returns the final response."""
        now_s = clock.monotonic_s()
        for number, part in enumerate(self._parts):
            self._send_first(number, part, now_s)
        while not self._is_final(now_s):
            event = self._inbox.receive(self._time_to_next_event_s(now_s))
            now_s = clock.monotonic_s()
            match event:
                case CallDone(call, reply):
                    self._handle_reply(call, reply, now_s)
                case CallerLeft():
                    if now_s < self._deadlines.objective_at_s:
                        self._interruption = MissingCause.CALLER_LEFT
                    missing = self._find_missing(now_s)
                    self._cancel_all()
                    self._log.log_end(Abandoned(), missing, self._extra_count, now_s)
                    return Abandoned()
                case HostEnds():
                    self._interruption = MissingCause.HOST_ENDS
                    break
                case None:
                    pass
            self._handle_due_parts(now_s)
        self._handle_arrived(now_s)
        missing = self._find_missing(now_s)
        if now_s < self._deadlines.ends_at_s:
            # At the deadline, targets end the requests themselves and reply.
            for part in self._parts:
                part.cancel_late_calls(now_s)
        success = build_success(self._route, self._parts, self._progress.replies)
        response = success or self._build_failure(now_s)
        self._log.log_end(response, missing, self._extra_count, now_s)
        return response

    def fail(self) -> Response:
        """Ends the request after an unexpected exception.

        Returns:
            The response from the replies so far, if they suffice. Otherwise a refusal
            if no target was sent anything, and a failure if one was.
        """
        self._cancel_all()
        for event in self._inbox.take_all():
            match event:
                case CallDone(call, Replied(is_success=True) as reply):
                    part = self._parts[call.part]
                    if not part.is_done:
                        part.reply = reply
                        self._progress.add(reply, clock.monotonic_s())
        success = build_success(self._route, self._parts, self._progress.replies)
        if success is not None:
            return success
        if any(call.is_sent for call in self._calls):
            return Failed(RefusalCause.INTERNAL_ERROR, False)
        return Refused(RefusalCause.INTERNAL_ERROR, INTERNAL_ERROR_RETRY_S)

    def _send_first(self, number: int, part: Part, now_s: float) -> None:
        ranked = self._sender.rank_targets(self._route, part.service, now_s)
        if ranked:
            self._send(number, part, ranked[0])
        else:
            self._lost_count += 1

    def _send(self, number: int, part: Part, record: TargetRecord) -> None:
        if record.target not in part.tried_targets:
            part.tried_targets.append(record.target)
        call = self._sender.send_call(
            number,
            self._request,
            self._route,
            record,
            self._deadlines.ends_at_s,
            self._inbox,
            len(self._parts),
        )
        self._calls.append(call)
        part.open_calls[call.number] = call
        part.retry_at_s = None
        if self._is_repeatable:
            part.late_at_s = call.late_at_s
            self._due_at_s = min(self._due_at_s, call.late_at_s)

    def _handle_reply(self, call: TargetCall, reply: TargetReply, now_s: float) -> None:
        part = self._parts[call.part]
        part.open_calls.pop(call.number, None)
        if part.is_done:
            return
        match reply:
            case Replied() if reply.is_success:
                part.reply = reply
                part.cancel_late_calls(now_s)
                self._progress.add(reply, now_s)
            case _:
                part.record_failure(reply)
                if not part.open_calls:
                    self._plan_retry(part, reply, now_s)
                    self._lost_count += part.is_lost
                elif part.has_late_call(now_s) and not isinstance(reply, NotRun):
                    # A late call is still open and the call beside it has failed.
                    # Another attempt may still be faster than the late call.
                    self._schedule_retry_with_backoff(part, now_s)

    def _handle_arrived(self, now_s: float) -> None:
        """Handles the replies that have arrived, but whose connections were not read.

        After a stall of this process, its timers are handled before its connections.
        """
        if self._interruption is not None or self._progress.is_whole:
            return
        tasks.sleep(0.0)
        for event in self._inbox.take_all():
            match event:
                case CallDone(call, Replied() as reply) if self._is_final_reply(reply):
                    self._handle_reply(call, reply, now_s)

    def _plan_retry(self, part: Part, reply: TargetReply, now_s: float) -> None:
        """Retries a failed part at once at another target, or plans a retry.

        The first failure is retried at once, and so is a call that was never sent.
        Later failures, and those without another target, are retried after a pause. A
        non-idempotent request is retried only if no target has run it.
        """
        part.late_at_s = None
        part.retry_at_s = None
        if isinstance(reply, Replied) and self._is_final_reply(reply):
            return
        if not isinstance(reply, NotRun) and not self._is_repeatable:
            return
        is_other_untried = self._untried_target(part, now_s) is not None
        is_unsent = isinstance(reply, NotRun) and reply.reason in UNSENT_REASONS
        if is_other_untried and (is_unsent or part.failed_rounds <= 1):
            if now_s + ATTEMPT_MIN_S < self._deadlines.ends_at_s:
                self._retry_part(self._parts.index(part), part, now_s)
        elif is_other_untried or self._tried_target(part, now_s) is not None:
            self._schedule_retry_with_backoff(part, now_s)

    def _schedule_retry_with_backoff(self, part: Part, now_s: float) -> None:
        """Plans a retry after a pause that doubles, if there is time for it."""
        at_s = now_s + part.retry_pause_s
        if at_s + ATTEMPT_MIN_S < self._deadlines.ends_at_s:
            part.retry_at_s = at_s
            self._due_at_s = min(self._due_at_s, at_s)

    def _is_final_reply(self, reply: Replied) -> bool:
        """Returns whether a reply succeeds, or no other target may improve on it."""
        is_last = reply.status < 500 or not self._is_repeatable
        return reply.is_success or (is_last and not self._is_gathered)

    def _handle_due_parts(self, now_s: float) -> None:
        if now_s < self._due_at_s:
            return
        for number, part in enumerate(self._parts):
            if part.is_done:
                continue
            if part.retry_at_s is not None and now_s >= part.retry_at_s:
                self._retry_part(number, part, now_s)
                self._lost_count += part.is_lost
            elif part.late_at_s is not None and now_s >= part.late_at_s:
                self._hedge_part(number, part, now_s)
        due = [at for part in self._parts if (at := part.due_at_s) is not None]
        self._due_at_s = min(due, default=math.inf)

    def _retry_part(self, number: int, part: Part, now_s: float) -> None:
        part.retry_at_s = None
        record = self._untried_target(part, now_s) or self._tried_target(part, now_s)
        if record is None or self._sender.is_quarantined(self._request, now_s):
            return
        may_send = part.has_failed_unsent or self._try_spend(part, now_s)
        cause = "unasked" if part.failure is None else outcome_of(part.failure)
        if may_send or not part.is_withheld:
            with Isolated("log", self._request.request):
                self._log.log_repeat(part, record, cause, may_send, now_s)
        part.is_withheld = not may_send
        if may_send:
            self._send(number, part, record)
        elif part.may_have_run:
            # The budget recovers with time, so the retry is postponed. A request that
            # no target has run is refused instead, so that its caller can try another
            # host at once.
            part.failed_rounds += 1
            self._schedule_retry_with_backoff(part, now_s)

    def _hedge_part(self, number: int, part: Part, now_s: float) -> None:
        part.late_at_s = None
        for call in part.open_calls.values():
            self._sender.report_late_call(call, now_s)
        record = self._untried_target(part, now_s)
        if record is None or self._sender.is_quarantined(self._request, now_s):
            return
        may_send = self._try_spend(part, now_s)
        if may_send or not part.is_withheld:
            with Isolated("log", self._request.request):
                self._log.log_repeat(part, record, "late", may_send, now_s)
        part.is_withheld = not may_send
        if may_send:
            self._send(number, part, record)
        else:
            part.late_at_s = now_s + WITHHELD_HEDGE_SHARE * self._route.objective_s

    def _try_spend(self, part: Part, now_s: float) -> bool:
        is_spent = self._sender.try_spend_repeat(self._route, part.service, now_s)
        self._extra_count += is_spent
        return is_spent

    def _untried_target(self, part: Part, now_s: float) -> TargetRecord | None:
        """Returns the best untried target, if the route allows another one."""
        if part.attempts >= max(1, self._route.attempts_max):
            return None
        return part.find_untried(
            self._sender.rank_targets(self._route, part.service, now_s)
        )

    def _tried_target(self, part: Part, now_s: float) -> TargetRecord | None:
        """Returns the best target that was tried and has no open call of this part."""
        return part.find_tried(
            self._sender.rank_targets(self._route, part.service, now_s)
        )

    @property
    def _are_too_many_lost(self) -> bool:
        return len(self._parts) - self._lost_count < self._route.replies_min

    def _is_final(self, now_s: float) -> bool:
        done = len(self._progress)
        if self._progress.is_whole or now_s >= self._deadlines.ends_at_s:
            return True
        if self._are_too_many_lost:
            return True
        is_settled = done + self._lost_count == len(self._parts)
        return done >= self._route.replies_min and (
            now_s >= self._deadlines.objective_at_s or is_settled
        )

    def _time_to_next_event_s(self, now_s: float) -> float:
        """Returns the seconds until the next retry, hedge or deadline."""
        return max(0.0, min(self._due_at_s, self._deadlines.next_after(now_s)) - now_s)

    def _cancel_all(self) -> None:
        for call in self._calls:
            call.cancel()

    def _build_failure(self, now_s: float) -> Response:
        if any(part.has_run_or_may_run for part in self._parts):
            return build_failure(self._is_gathered, now_s >= self._deadlines.ends_at_s)
        # They would otherwise be sent once a connection is free.
        self._cancel_all()
        services = [part.service for part in self._parts]
        required = self._route.replies_min
        retry_after_s = self._sender.retry_after_s(services, required, now_s)
        is_cold = any(self._sender.is_held_back(name, now_s) for name in services)
        cause = RefusalCause.TARGETS_COLD if is_cold else RefusalCause.TARGETS_FULL
        return Refused(cause, retry_after_s)

    def _find_missing(self, now_s: float) -> list[MissingPart]:
        """Returns the shards that a search leaves out, before calls are cancelled."""
        if not self._is_gathered or self._progress.is_whole:
            return []
        if now_s < self._deadlines.ends_at_s and self._are_too_many_lost:
            self._interruption = self._interruption or MissingCause.OTHERS_LOST
        unhandled = successful_calls(self._inbox.take_all())
        missing = find_missing(self._parts, unhandled, self._interruption, now_s)
        with Isolated("missing", self._request.request):
            self._sender.record_missing(missing)
        return missing
