"""Starts the forwarding of each request and holds the state that requests share.

The shared state is the statistics of targets, connections, budgets, capacities and the
evidence about crashes. `lavendertide.forwarding.run` forwards a single request.
"""

import itertools
import logging
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from lavendertide.forwarding.budget import RetryBudgets
from lavendertide.forwarding.caller_times import CallerTimes
from lavendertide.forwarding.capacity import RouteCapacities
from lavendertide.forwarding.deadlines import (
    ATTEMPT_MIN_S,
    ResponseDeadlines,
    response_deadlines,
)
from lavendertide.forwarding.messages import (
    UNSENT_REASONS,
    CallerRequest,
    NotRun,
    NotRunReason,
    RefusalCause,
    Refused,
    Replied,
    Response,
    TargetNotice,
    TargetReply,
    Unknown,
    UnknownReason,
    Unroutable,
    outcome_of,
)
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.forwarding.poison import CrashEvidence, TargetProcess
from lavendertide.forwarding.pool import TargetCall, TargetPools, connection_share
from lavendertide.forwarding.request_log import log_pause, log_target_change
from lavendertide.forwarding.run import RequestRun
from lavendertide.forwarding.sender import CallDone, Event
from lavendertide.forwarding.target_view import TargetView, TargetViews
from lavendertide.forwarding.timing import RouteTimings
from lavendertide.ids import ServiceName, TargetId
from lavendertide.messages import Verdict
from lavendertide.registry.record import TargetRecord, TargetRun
from lavendertide.registry.registry import TargetRegistry
from lavendertide.routes.active_routes import ActiveRoutes, RoutesAge
from lavendertide.routes.route import (
    GatheredShards,
    OneService,
    Route,
    SplitServices,
)
from lavendertide.routes.split import SplitCounters
from lavendertide.routes.table import RouteTable
from lavendertide.runtime import clock, tasks

# A host without routes receives them with its next read of the platform or a peer.
NO_ROUTES_RETRY_S = 0.3
# Another host can be tried at once; the pause lets callers read new addresses.
OTHER_HOST_RETRY_S = 0.05
# Targets register within a heartbeat after they start.
NO_TARGET_RETRY_S = 0.5
# A target that has refused a request is avoided for about one service time.
REFUSED_PAUSE_S = 0.05
# Retry time for callers when all targets were full: a few service times.
FULL_RETRY_S = 0.25
# Callers that were refused because of a pause return over this share of it, so that
# they don't fill the targets again all at once.
RETRY_SPREAD_SHARE = 0.5

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class FleetCallbacks:
    """The forwarder's callbacks to the rest of the fleet.

    Attributes:
        broadcast_stall: Sends peers the name of a target that has stopped replying.
        record_leaving: Records that a run of a target is leaving, and sends it to
            peers that may not notice it.
        broadcast_verdict: Sends peers a verdict on a request that may crash targets.
        count_hosts: Returns how many hosts share the targets' connections.
        budget_share: Returns this host's share, from 0 to 1, of the fleet's fixed
            number of extra sub-requests.
        has_previous_connections: Returns whether targets may still count connections
            that this host opened before its last start.
    """

    broadcast_stall: Callable[[TargetId], None]
    record_leaving: Callable[[TargetRun, float], None]
    broadcast_verdict: Callable[[Verdict], None]
    count_hosts: Callable[[], int]
    budget_share: Callable[[float], float]
    has_previous_connections: Callable[[float], bool]


class Forwarder:
    """Forwards the requests of this host's callers."""

    def __init__(
        self,
        active_routes: ActiveRoutes,
        registry: TargetRegistry,
        views: TargetViews,
        pools: TargetPools,
        budgets: RetryBudgets,
        crashes: CrashEvidence,
        fleet: FleetCallbacks,
        metrics: ForwardingMetrics,
    ) -> None:
        self._active_routes = active_routes
        self._registry = registry
        self._views = views
        self._pools = pools
        self._budgets = budgets
        self._crashes = crashes
        self._fleet = fleet
        self._metrics = metrics
        self._timings = RouteTimings()
        self._caller_times = CallerTimes()
        self._splits = SplitCounters()
        # Seeded by the module's generator, so that a test with a seed is reproducible.
        self._capacities = RouteCapacities(random.Random(random.getrandbits(64)))
        self._call_numbers = itertools.count(1)
        self._host_ends_at_s: float | None = None
        active_routes.on_change(self._apply_table)
        registry.set_removal_listener(self._remove_target)
        registry.set_closing_listener(self._withdraw_calls)

    def announce_end(self, at_s: float) -> None:
        """Announces that this host ends at a monotonic time.

        From now on requests get no more time than that, and those that usually take
        longer are refused, so that their callers use another host at once.
        """
        self._host_ends_at_s = at_s

    def find_route(self, host: str, path: str) -> Route | Refused | Unroutable:
        """Returns the route of a request, or the reason why there is none."""
        table = self._active_routes.table
        if table is None:
            return Refused(RefusalCause.NO_ROUTES_KNOWN, NO_ROUTES_RETRY_S)
        return table.find(host, path) or Unroutable()

    def forward(
        self, request: CallerRequest, route: Route, inbox: tasks.Mailbox[Event]
    ) -> Response:
        """Forwards a request, waits for its targets and returns the response.

        Args:
            request: The request.
            route: The route that matches the request.
            inbox: Receives the replies, and `CallerLeft` if the caller disconnects.
        """
        now_s = clock.monotonic_s()
        deadlines = response_deadlines(request, route, self._used_s(request, route))
        if self._host_ends_at_s is not None:
            ends_at_s = min(deadlines.ends_at_s, self._host_ends_at_s)
            deadlines = replace(deadlines, ends_at_s=ends_at_s)
        refused = self._refuse_early(request, route, deadlines, now_s)
        if refused is not None:
            return refused
        permit = self._capacities.try_acquire(request, route, now_s)
        if isinstance(permit, Refused):
            return permit
        services = self._select_services(route)
        for service in services:
            self._budgets.record_request(service, now_s)
        run = RequestRun(self, request, route, services, deadlines, inbox)
        try:
            return run.complete()
        finally:
            ended_at_s = clock.monotonic_s()
            self._capacities.release(permit, route, run.feedback, ended_at_s)

    def rank_targets(self, service: ServiceName, now_s: float) -> list[TargetRecord]:
        """Returns the usable targets of a service, the best one first."""
        ready_targets = self._registry.ready_targets(service, now_s)
        return self._views.rank_targets(ready_targets, now_s, random.random())

    def try_spend_repeat(self, service: ServiceName, now_s: float) -> bool:
        """Spends one extra sub-request; returns whether the budget had one left."""
        if self._budgets.try_spend(service, self._fleet.budget_share(now_s), now_s):
            return True
        self._metrics.withheld.inc()
        return False

    def remaining_budget(self, service: ServiceName, now_s: float) -> float:
        """Returns how many extra sub-requests this host may send now."""
        return self._budgets.remaining(service, self._fleet.budget_share(now_s), now_s)

    def is_quarantined(self, request: CallerRequest, now_s: float) -> bool:
        """Returns whether a request must not be sent, as it crashes its targets."""
        return self._crashes.is_quarantined(request.fingerprint, now_s)

    def retry_after_s(
        self, services: Iterable[ServiceName], required: int, now_s: float
    ) -> float:
        """Returns when a caller should retry a request that targets are too full for.

        That is when enough services have a target whose pause has ended.

        Args:
            services: The services that the request is sent to.
            required: How many of them have to reply.
            now_s: Present time, monotonic.
        """
        waits_s = sorted(self._time_to_target_s(name, now_s) for name in services)
        wait_s = waits_s[required - 1] if required <= len(waits_s) else 0.0
        if math.isinf(wait_s):
            wait_s = 0.0
        if not wait_s:
            return FULL_RETRY_S
        spread_s = max(FULL_RETRY_S, RETRY_SPREAD_SHARE * wait_s)
        return wait_s + random.uniform(0.0, spread_s)

    def routes_age(self, now_s: float) -> RoutesAge:
        """Returns the version of the routes in force and their age."""
        return self._active_routes.age(now_s)

    def send_call(
        self,
        part: int,
        request: CallerRequest,
        route: Route,
        record: TargetRecord,
        ends_at_s: float,
        inbox: tasks.Mailbox[Event],
        service_count: int,
    ) -> TargetCall:
        """Sends a sub-request to a target; its reply is put into the inbox.

        Args:
            part: Number of the request's part that the sub-request belongs to.
            request: The caller's request.
            route: The route of the request.
            record: The target.
            ends_at_s: Time from which nobody waits for the reply, monotonic.
            inbox: Receives `CallDone` once the call has ended.
            service_count: Number of services that the request is sent to.
        """
        now_s = clock.monotonic_s()

        def handle_done(call: TargetCall, reply: TargetReply) -> None:
            self._handle_reply(call, route, reply, service_count)
            inbox.send(CallDone(call, reply))

        late_after_s = self._timings.timing_of(route, now_s).late_after_s(
            route.objective_s, now_s
        )
        late_at_s = now_s + late_after_s
        view = self._views.view_of(record.target)
        call = TargetCall(
            next(self._call_numbers),
            part,
            request,
            record,
            late_at_s,
            ends_at_s,
            handle_done,
            view.outages,
        )
        view.record_sent(call.number, now_s, late_after_s)
        self._pools.submit(call, self._connections_max(record, now_s))
        self._metrics.sub_requests.inc()
        return call

    def report_late_call(self, call: TargetCall, now_s: float) -> None:
        """Notifies peers of a late call, unless its target is known to be stalled."""
        view = self._views.view_of(call.record.target)
        if now_s >= view.stalled_until_s:
            self._fleet.broadcast_stall(call.record.target)

    def _used_s(self, request: CallerRequest, route: Route) -> float | None:
        """Returns what a caller had used of its time before; none if it is unknown."""
        if request.remaining_s is None:
            return None
        used_s = self._caller_times.observe(
            route.name, request.remaining_s, route.objective_s
        )
        if used_s is not None:
            self._metrics.record_caller_time(route.name, used_s)
        return used_s

    def _refuse_early(
        self,
        request: CallerRequest,
        route: Route,
        deadlines: ResponseDeadlines,
        now_s: float,
    ) -> Refused | None:
        if self.is_quarantined(request, now_s):
            return Refused(RefusalCause.POISONED)
        if deadlines.ends_at_s - now_s < ATTEMPT_MIN_S:
            return Refused(RefusalCause.NO_TIME)
        if self._usually_outlives_host(route, now_s):
            return Refused(RefusalCause.LEAVING, OTHER_HOST_RETRY_S)
        services, required = tuple(route.services), 1
        match route.destination:
            case GatheredShards() as gathered:
                services, required = gathered.shards, gathered.shards_min
        available = sum(1 for name in services if self._has_usable_target(name, now_s))
        if available >= required:
            return None
        returning = sum(
            1 for name in services if math.isfinite(self._time_to_target_s(name, now_s))
        )
        if returning >= required:
            retry_after_s = self.retry_after_s(services, required, now_s)
            return Refused(RefusalCause.TARGETS_FULL, retry_after_s)
        return Refused(RefusalCause.NO_TARGET, NO_TARGET_RETRY_S)

    def _usually_outlives_host(self, route: Route, now_s: float) -> bool:
        """Returns whether this host ends before a route's targets usually reply."""
        if self._host_ends_at_s is None:
            return False
        usual_s = self._timings.timing_of(route, now_s).usual_max_s(now_s)
        return usual_s is not None and now_s + usual_s > self._host_ends_at_s

    def _time_to_target_s(self, service: ServiceName, now_s: float) -> float:
        """Returns the seconds until a service has a usable target, or infinity.

        A pause is the only reason whose end is known.
        """
        if self._has_usable_target(service, now_s):
            return 0.0
        pause_end_s = self._registry.pause_end_s(service, now_s)
        return math.inf if pause_end_s is None else pause_end_s - now_s

    def _has_usable_target(self, service: ServiceName, now_s: float) -> bool:
        return bool(
            self._views.select_usable(
                self._registry.ready_targets(service, now_s), now_s
            )
        )

    def _select_services(self, route: Route) -> tuple[ServiceName, ...]:
        match route.destination:
            case OneService(service):
                return (service,)
            case SplitServices() as split:
                return (self._splits.choose(route.name, split),)
            case GatheredShards(shards=shards):
                return shards

    def _connections_max(self, record: TargetRecord, now_s: float) -> int:
        table = self._active_routes.table
        service_settings = (
            table.services.get(record.service) if table is not None else None
        )
        if service_settings is None:
            return 1
        return connection_share(
            service_settings.connections_max,
            record.slots,
            self._fleet.count_hosts(),
            self._fleet.has_previous_connections(now_s),
        )

    def _handle_reply(
        self, call: TargetCall, route: Route, reply: TargetReply, service_count: int
    ) -> None:
        now_s = clock.monotonic_s()
        view = self._views.view_of(call.record.target)
        self._metrics.record_reply(reply)
        self._apply_notice(call, reply.notice, now_s)
        match reply:
            case Replied() if reply.is_success:
                took_s = view.open_duration_s(call.number, now_s)
                timing = self._timings.timing_of(route, now_s)
                if view.is_down:
                    log_target_change(call, view, "target replies again", now_s)
                view.record_reply(call.number, timing.mean_s, now_s)
                timing.observe(took_s, now_s)
                self._record_success(call, now_s)
            case NotRun(reason=reason) if reason in UNSENT_REASONS:
                view.discard_call(call.number)
            case NotRun(reason=NotRunReason.REFUSED):
                view.record_refusal(call.number, REFUSED_PAUSE_S, now_s)
            case NotRun(reason=NotRunReason.OTHER_TARGET):
                view.record_replaced(call.number, now_s)
                self._withdraw_calls(call.record)
            case Unknown(reason=UnknownReason.CANCELLED) if call.is_late(now_s):
                # The reply would have taken longer still. Without this time, slow
                # replies would be missing in the distribution that decides which
                # calls are late, and each repeat would make the next one earlier.
                took_s = view.open_duration_s(call.number, now_s)
                self._timings.timing_of(route, now_s).observe(took_s, now_s)
                self._record_failure(call, view, reply, now_s)
            case Unknown(reason=UnknownReason.CANCELLED):
                view.discard_call(call.number)
            case _:
                self._record_failure(call, view, reply, now_s)
        self._log_reply(call, reply, now_s)
        if isinstance(reply, Unknown) and reply.reason is UnknownReason.CLOSED:
            self._record_crash(call, service_count, now_s)

    def _apply_notice(
        self, call: TargetCall, notice: TargetNotice, now_s: float
    ) -> None:
        run = call.record.run
        if notice.is_leaving:
            self._fleet.record_leaving(run, now_s)
        if notice.pause_s is not None:
            self._registry.record_pause(run, now_s + notice.pause_s, now_s)
            self._metrics.pauses.inc()
            log_pause(call, notice.pause_s)

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
            case NotRun(reason=NotRunReason.ABANDONED | NotRunReason.PAUSED):
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

    def _apply_table(self, table: RouteTable) -> None:
        self._budgets.retain_only(table.routed_services)
        names = frozenset(route.name for route in table.routes)
        self._timings.retain_only(names)
        self._caller_times.retain_only(names)
        self._splits.retain_only(names)
        self._capacities.retain_only(names)

    def _withdraw_calls(self, record: TargetRecord) -> None:
        self._pools.withdraw_waiting(record, clock.monotonic_s())

    def _remove_target(self, record: TargetRecord) -> None:
        self._views.remove(record.target)
        self._pools.remove(record)
