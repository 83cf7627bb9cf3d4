"""Records what each reply shows about its target, its route and its request."""

import logging
from typing import Final

from lavendertide.forwarding.fleet_callbacks import FleetCallbacks
from lavendertide.forwarding.messages import (
    UNSENT_REASONS,
    NotRun,
    NotRunReason,
    Replied,
    TargetNotice,
    TargetReply,
    Unknown,
    UnknownReason,
    outcome_of,
)
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.forwarding.poison import CrashEvidence, TargetProcess
from lavendertide.forwarding.pool import TargetPools
from lavendertide.forwarding.request_log import log_pause, log_target_change
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.forwarding.target_view import TargetView, TargetViews
from lavendertide.forwarding.timing import RouteTimings
from lavendertide.messages import Verdict
from lavendertide.registry.registry import TargetRegistry
from lavendertide.routes.route import Route
from lavendertide.warmup.cold_targets import ColdTargets

# A target that has refused a request is avoided for about one service time.
REFUSED_PAUSE_S: Final = 0.05

_log = logging.getLogger(__name__)


class ReplyRecorder:
    """Passes each reply's evidence to the aggregates that it concerns."""

    def __init__(
        self,
        registry: TargetRegistry,
        views: TargetViews,
        pools: TargetPools,
        crashes: CrashEvidence,
        timings: RouteTimings,
        fleet: FleetCallbacks,
        metrics: ForwardingMetrics,
        cold: ColdTargets,
    ) -> None:
        self._registry = registry
        self._views = views
        self._pools = pools
        self._crashes = crashes
        self._timings = timings
        self._fleet = fleet
        self._metrics = metrics
        self._cold = cold

    def record(
        self,
        call: TargetCall,
        route: Route,
        reply: TargetReply,
        service_count: int,
        now_s: float,
    ) -> None:
        """Records what the end of a call shows.

        Args:
            call: The call that has ended.
            route: The route of its request.
            reply: How it has ended.
            service_count: Number of services that the request is sent to.
            now_s: Present time, monotonic.
        """
        view = self._view_of(call)
        self._metrics.record_reply(reply)
        self._apply_notice(call, view, reply.notice, now_s)
        match reply:
            case Replied() if reply.is_success:
                took_s = view.open_calls.duration_s(call.number, now_s)
                timing = self._timings.timing_of(route, now_s)
                if view.is_down:
                    log_target_change(call, view, "target replies again", now_s)
                work_s = view.open_calls.work_s(call.number, now_s)
                usual_s = timing.usual_times.usual_s(call.record.service)
                view.record_reply(call.number, usual_s, now_s)
                timing.observe(took_s, now_s)
                if work_s:
                    timing.usual_times.observe(call.record.service, work_s)
                self._record_success(call, now_s)
            case _ if _is_no_evidence(call, reply):
                view.discard_call(call.number)
            case NotRun(reason=NotRunReason.REFUSED):
                view.record_refusal(call.number, REFUSED_PAUSE_S, now_s)
            case NotRun(reason=NotRunReason.OTHER_TARGET):
                view.record_replaced(call.number, now_s)
                self._pools.withdraw_waiting(call.record, now_s)
            case Unknown(reason=UnknownReason.CANCELLED) if call.is_late(now_s):
                self._record_late(call, view, route, reply, now_s)
            case Unknown(reason=UnknownReason.CANCELLED):
                view.discard_call(call.number)
            case _:
                self._record_failure(call, view, reply, now_s)
        self._log_reply(call, reply, now_s)
        if isinstance(reply, Unknown) and reply.reason is UnknownReason.CLOSED:
            self._record_crash(call, service_count, now_s)

    def _view_of(self, call: TargetCall) -> TargetView:
        view = self._views.find(call.record.target)
        if view is not None and call.number in view.open_calls:
            return view
        # The run has ended or left since, so its view is gone. What the call shows must
        # neither count for a new run nor leave a view of a target that has left.
        return TargetView()

    def _apply_notice(
        self, call: TargetCall, view: TargetView, notice: TargetNotice, now_s: float
    ) -> None:
        run = call.record.run
        self._cold.record_notice(run, notice.cold_s, now_s)
        if notice.load is not None:
            view.capacity.record_load(notice.load, now_s)
        if notice.is_leaving:
            self._fleet.record_leaving(run, now_s)
        if notice.pause_s is not None:
            self._registry.record_pause(run, now_s + notice.pause_s, now_s)
            self._metrics.pauses.inc()
            log_pause(call, notice.pause_s)

    def _record_late(
        self,
        call: TargetCall,
        view: TargetView,
        route: Route,
        reply: TargetReply,
        now_s: float,
    ) -> None:
        # The reply would have taken longer still. Without this time, slow replies would
        # be missing in the distribution that decides which calls are late, and each
        # repeat would make the next one earlier.
        timing = self._timings.timing_of(route, now_s)
        timing.observe(view.open_calls.duration_s(call.number, now_s), now_s)
        usual_s = timing.usual_times.usual_s(call.record.service)
        view.record_late(call.number, usual_s, now_s)
        if view.is_stalled(now_s):
            self._record_failure(call, view, reply, now_s)
        else:
            view.discard_call(call.number)

    def _record_failure(
        self, call: TargetCall, view: TargetView, reply: TargetReply, now_s: float
    ) -> None:
        was_down = view.is_down
        match reply:
            case NotRun(reason=NotRunReason.UNREACHABLE):
                view.record_unreachable(call.number, now_s)
            case _:
                view.record_failure(call.number, now_s)
        if view.is_down and not was_down:
            log_target_change(call, view, "target considered down", now_s)

    def _record_success(self, call: TargetCall, now_s: float) -> None:
        verdict = self._crashes.record_reply(call.request.fingerprint, now_s)
        if verdict is not None:
            self._broadcast_verdict(call, verdict)

    def _record_crash(self, call: TargetCall, service_count: int, now_s: float) -> None:
        request = call.request
        verdict = self._crashes.record_crash(
            request.fingerprint,
            request.request,
            TargetProcess(call.record.run, call.outages),
            service_count,
            now_s,
        )
        if verdict is not None:
            self._broadcast_verdict(call, verdict)

    def _broadcast_verdict(self, call: TargetCall, verdict: Verdict) -> None:
        _log.warning(
            "verdict on whether a request crashes its targets",
            extra={
                "request": call.request.request,
                "fingerprint": verdict.fingerprint,
                "target": call.record.target,
                "crashes": verdict.crashes,
                "outcome": verdict.kind.value,
            },
        )
        self._fleet.broadcast_verdict(verdict)

    def _log_reply(self, call: TargetCall, reply: TargetReply, now_s: float) -> None:
        match reply:
            case Replied() if reply.is_success:
                return
            case NotRun(
                reason=NotRunReason.ABANDONED | NotRunReason.PAUSED | NotRunReason.COLD
            ):
                return
        _log.info(
            "sub-request failed",
            extra={
                "request": call.request.request,
                "service": call.record.service,
                "target": call.record.target,
                "outcome": outcome_of(reply),
                "left_ms": round((call.ends_at_s - now_s) * 1_000),
            },
        )


def _is_no_evidence(call: TargetCall, reply: TargetReply) -> bool:
    """Returns whether a reply without success says nothing about its target.

    Orders may conflict with others for reasons that don't concern the target.
    """
    match reply:
        case NotRun(reason=reason):
            return reason in UNSENT_REASONS
        case Replied(status=status):
            return not call.is_repeatable and status < 500
        case _:
            return False
