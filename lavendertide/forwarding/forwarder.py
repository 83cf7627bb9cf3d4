"""Starts the forwarding of each request and holds the state that requests share.

The shared state is the statistics of targets, connections, budgets, capacities and the
evidence about crashes. `lavendertide.forwarding.run` forwards a single request.
"""

import itertools
import random
from collections.abc import Iterable

from lavendertide.bookkeeping import Isolated
from lavendertide.forwarding.budget import RetryBudgets
from lavendertide.forwarding.call_records import CallRecords
from lavendertide.forwarding.capacity import RouteAdmission
from lavendertide.forwarding.connection_limits import ConnectionLimits
from lavendertide.forwarding.deadlines import ResponseDeadlines
from lavendertide.forwarding.early_refusal import EarlyRefusals
from lavendertide.forwarding.explanation import Explainer
from lavendertide.forwarding.fleet_callbacks import FleetCallbacks
from lavendertide.forwarding.guarded_run import complete_run, refuse_failed
from lavendertide.forwarding.loss_risk import LossRisks
from lavendertide.forwarding.messages import (
    CallerRequest,
    RefusalCause,
    Refused,
    Response,
    TargetReply,
    Unroutable,
)
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.forwarding.missing import MissingPart
from lavendertide.forwarding.poison import CrashEvidence
from lavendertide.forwarding.pool import TargetPools
from lavendertide.forwarding.reply_recorder import ReplyRecorder
from lavendertide.forwarding.request_admission import RequestAdmission
from lavendertide.forwarding.request_log import log_refusal, response_outcome
from lavendertide.forwarding.run import RequestRun
from lavendertide.forwarding.sender import CallDone, Event
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.forwarding.target_choice import TargetChoice
from lavendertide.forwarding.target_view import TargetViews
from lavendertide.forwarding.timing import RouteTimings
from lavendertide.ids import ServiceName
from lavendertide.overload.capacity import Feedback, Inconclusive
from lavendertide.overload.priority_admission import PriorityPermit
from lavendertide.registry.record import TargetRecord
from lavendertide.registry.registry import TargetRegistry
from lavendertide.routes.active_routes import ActiveRoutes, RoutesAge
from lavendertide.routes.route import (
    GatheredShards,
    OneService,
    RequestKind,
    Route,
    SplitServices,
)
from lavendertide.routes.split import SplitCounters
from lavendertide.routes.table import RouteTable
from lavendertide.runtime import clock, tasks
from lavendertide.warmup.cold_targets import ColdTargets

# A host without routes receives them with its next read of the platform or a peer.
NO_ROUTES_RETRY_S = 0.3


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
        cold: ColdTargets | None = None,
        admits_by_priority: bool = False,
        avoids_losses: bool = False,
    ) -> None:
        cold = cold or ColdTargets()
        self._active_routes = active_routes
        self._registry = registry
        self._views = views
        self._pools = pools
        self._budgets = budgets
        self._crashes = crashes
        self._fleet = fleet
        self._metrics = metrics
        self._timings = RouteTimings()
        self._risks = LossRisks() if avoids_losses else None
        self._choice = TargetChoice(registry, views, cold, self._risks)
        self._early_refusals = EarlyRefusals(self._choice, crashes, self._timings)
        self._records = CallRecords(
            ReplyRecorder(
                registry, views, pools, crashes, self._timings, fleet, metrics, cold
            ),
            views,
            self._risks,
            metrics,
            fleet.broadcast_stall,
        )
        self._limits = ConnectionLimits(active_routes, fleet)
        self._splits = SplitCounters()
        # Seeded by the module's generator, so that a test with a seed is reproducible.
        self._admission = RouteAdmission(
            random.Random(random.getrandbits(64)), metrics, admits_by_priority
        )
        self._request_admission = RequestAdmission(
            self._early_refusals, self._choice, self._admission, metrics
        )
        self._call_numbers = itertools.count(1)
        active_routes.on_change(self._apply_table)
        if active_routes.table is not None:
            self._admission.apply_table(active_routes.table, clock.monotonic_s())
        registry.set_removal_listener(self._remove_target)
        registry.set_closing_listener(
            lambda record: pools.withdraw_waiting(record, clock.monotonic_s())
        )

    @property
    def explainer(self) -> Explainer:
        """Explains where requests would be sent now, without sending them."""
        return Explainer(
            self.find_route,
            self._active_routes,
            self._registry,
            self._views,
            self._choice,
            self._early_refusals,
            self._admission,
            self._splits,
            lambda: tasks.sleep(0.0),
        )

    @property
    def admission(self) -> RouteAdmission:
        """The limits of the routes on this host."""
        return self._admission

    def announce_end(self, at_s: float) -> None:
        """Announces that this host ends at a monotonic time.

        From now on requests get no more time than that, and those that usually take
        longer are refused, so that their callers use another host at once.
        """
        self._request_admission.announce_end(at_s)

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
        try:
            # The next read of the platform, which also does this, may be seconds away.
            self._registry.expire(now_s)
            admitted = self._request_admission.admit(request, route, now_s)
        except Exception:
            return refuse_failed(request)
        if isinstance(admitted, Refused):
            with Isolated("log", request.request):
                outcome = response_outcome(admitted)
                log_refusal(request, self.routes_age(now_s), outcome)
            return admitted
        permit = admitted.permit
        feedback: Feedback = Inconclusive()
        try:
            run = self._prepare_run(request, route, admitted.deadlines, inbox, now_s)
            if isinstance(permit, PriorityPermit):
                run.progress.set_listener(permit.record_half_covered)
            response = complete_run(run, request)
            with Isolated("feedback", request.request):
                feedback = run.feedback
            return response
        except Exception:
            # It arose before the run, which raises none.
            return refuse_failed(request)
        finally:
            with Isolated("admission", request.request):
                ended_at_s = clock.monotonic_s()
                self._admission.release(permit, route, feedback, ended_at_s)

    def _prepare_run(
        self,
        request: CallerRequest,
        route: Route,
        deadlines: ResponseDeadlines,
        inbox: tasks.Mailbox[Event],
        now_s: float,
    ) -> RequestRun:
        services = self._select_services(route)
        for service in services:
            self._budgets.record_request(service, now_s)
        return RequestRun(self, request, route, services, deadlines, inbox)

    def rank_targets(
        self, route: Route, service: ServiceName, now_s: float
    ) -> list[TargetRecord]:
        """Returns the usable targets of a route's service, the best one first."""
        return self._choice.rank_targets(service, route.kind, now_s)

    def is_held_back(self, service: ServiceName, now_s: float) -> bool:
        """Returns whether the allowances of a service's cold targets are used up."""
        return self._choice.is_held_back(service, now_s)

    def try_spend_repeat(
        self, route: Route, service: ServiceName, now_s: float
    ) -> bool:
        """Spends one extra sub-request; returns whether the route may have it."""
        share = self._fleet.budget_share(now_s)
        may_repeat = self._admission.allows_repeats(route, now_s)
        if may_repeat and self._budgets.try_spend(service, share, now_s):
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
        return self._choice.retry_after_s(services, required, now_s)

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
            now_s = clock.monotonic_s()
            self._records.record_end(call, route, reply, service_count, now_s)
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
            route.kind is RequestKind.IDEMPOTENT,
            priority=self._admission.waiting_priority(route),
            queued_at_s=now_s,
        )
        connections_max = self._limits.connections_max(record, now_s)
        view.record_sent(call.number, now_s, late_after_s, connections_max)
        self._records.record_sent(call)
        try:
            self._pools.submit(call, connections_max)
        except Exception:
            # It may be queued already, and the run will not know of it.
            call.cancel()
            raise
        return call

    def record_missing(self, missing: Iterable[MissingPart]) -> None:
        """Counts the shards that the response to a search leaves out."""
        for part in missing:
            self._metrics.record_missing(part.cause)

    def report_late_call(self, call: TargetCall, now_s: float) -> None:
        """Notifies peers of a stall, unless it is known or the call is only queued."""
        self._records.record_late(call, now_s)

    def _select_services(self, route: Route) -> tuple[ServiceName, ...]:
        match route.destination:
            case OneService(service):
                return (service,)
            case SplitServices() as split:
                return (self._splits.choose(route.name, split),)
            case GatheredShards(shards=shards):
                return shards

    def _apply_table(self, table: RouteTable) -> None:
        self._budgets.retain_only(table.routed_services)
        names = frozenset(route.name for route in table.routes)
        self._timings.retain_only(names)
        self._request_admission.retain_only(names)
        self._splits.retain_only(names)
        now_s = clock.monotonic_s()
        self._admission.apply_table(table, now_s)
        self._pools.resize(lambda each: self._limits.connections_max(each, now_s))

    def _remove_target(self, record: TargetRecord) -> None:
        self._views.remove(record.target)
        if self._risks is not None:
            self._risks.discard_old(clock.monotonic_s())
        self._pools.remove(record)
