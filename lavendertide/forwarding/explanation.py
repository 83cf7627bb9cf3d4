"""Explains where a request would be sent now, and why, without sending it.

The explanation calls the functions that decide about requests, so it can't disagree
with them. It takes no permit, spends no budget, counts nothing and creates no state.
Two things differ from a request: among targets of equal score one is drawn at random,
and a refusal because this host ends is not predicted, since that depends on what the
caller's request usually takes.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from lavendertide.forwarding.capacity import RouteAdmission, RouteLimit
from lavendertide.forwarding.deadlines import response_deadlines
from lavendertide.forwarding.early_refusal import EarlyRefusals
from lavendertide.forwarding.messages import (
    CallerRequest,
    RefusalCause,
    Refused,
    Unroutable,
)
from lavendertide.forwarding.target_choice import TargetChoice
from lavendertide.forwarding.target_view import TargetView, TargetViews
from lavendertide.ids import Address, FailureDomain, ServiceName, TargetId
from lavendertide.registry.exclusion import ExclusionReason
from lavendertide.registry.record import TargetRecord
from lavendertide.registry.registry import TargetRegistry
from lavendertide.routes.active_routes import ActiveRoutes, RoutesAge
from lavendertide.routes.route import RequestKind, Route, SplitServices
from lavendertide.routes.split import SplitCounters

# Cost of the risk of a loss, in usual request times, from which it is a reason.
LOSS_COST_SHOWN: Final = 1.0


class ViewReason(Enum):
    """What this host's statistics say against a target."""

    # Another target replies at its address, so it gets no requests.
    ADDRESS_TAKEN_OVER = "address_taken_over"
    # It is considered down or full, and is ranked last.
    AVOIDED = "avoided"
    # Calls to it are late, and it is ranked behind all that are not.
    STALLED = "stalled"
    # It has lost requests lately, so those that can't be repeated prefer others.
    LOSES_REQUESTS = "loses_requests"
    # It is cold: it ranks behind warm targets, and its allowance may be used up.
    COLD = "cold"
    # The functions that choose targets leave it out for a reason not listed here.
    NOT_CHOSEN = "not_chosen"


@dataclass(frozen=True, slots=True)
class TargetExplanation:
    """A registered target of a service.

    Attributes:
        rank: Position among the targets that a request may be sent to, from 1; none if
            the target is excluded.
        score: Expected cost of a request, in usual request times; the lowest is best.
        slowness: Reply time relative to the usual one of the route.
        failure_rate: Share of failed attempts.
        open_calls: Calls of this host without a reply.
        reply_age_s: Seconds since the reply that the slowness includes last; none if
            there is none.
        attempt_age_s: The same for the failure rate.
        reason: Why the target is excluded, or ranked behind others.
        ends_in_s: Seconds until the reason no longer holds; none if that isn't known.
    """

    target: TargetId
    address: Address
    failure_domain: FailureDomain
    slots: int
    rank: int | None
    score: float
    slowness: float
    failure_rate: float
    open_calls: int
    reply_age_s: float | None
    attempt_age_s: float | None
    reason: ExclusionReason | ViewReason | None
    ends_in_s: float | None


@dataclass(frozen=True, slots=True)
class ServiceExplanation:
    """A service of the route, and its targets: the candidates first, by rank.

    Attributes:
        is_next: Whether the next request goes to the service.
    """

    service: ServiceName
    is_next: bool
    targets: tuple[TargetExplanation, ...]


@dataclass(frozen=True, slots=True)
class Explanation:
    """What would happen to a request now.

    Attributes:
        route: The route of the request; none if there is none.
        routes: Version and age of the routes in force.
        required: Number of services that have to reply.
        cause: Why the request would be refused; none if it would not.
        retry_after_s: Seconds after which its caller should retry; none if that
            would not help.
        limit: The limit of the route; none without a route.
    """

    route: Route | None
    routes: RoutesAge
    required: int
    cause: RefusalCause | None
    retry_after_s: float | None
    limit: RouteLimit | None
    services: tuple[ServiceExplanation, ...]


class Explainer:
    """Explains requests from the state of the forwarder.

    Args:
        find_route: Returns the route of a host name and path, or why there is none.
        active_routes: The routes in force.
        registry: The registered targets.
        views: This host's statistics of them.
        choice: Decides where requests may be sent.
        refusals: Decides which requests are refused on arrival.
        admission: The limits of the routes.
        splits: Decides to which service of a split route a request is sent.
        pause: Called after each service, so that other tasks can run meanwhile. A
            search over many shards would delay them all otherwise.
    """

    def __init__(
        self,
        find_route: Callable[[str, str], Route | Refused | Unroutable],
        active_routes: ActiveRoutes,
        registry: TargetRegistry,
        views: TargetViews,
        choice: TargetChoice,
        refusals: EarlyRefusals,
        admission: RouteAdmission,
        splits: SplitCounters,
        pause: Callable[[], None],
    ) -> None:
        self._find_route = find_route
        self._active_routes = active_routes
        self._registry = registry
        self._views = views
        self._choice = choice
        self._refusals = refusals
        self._admission = admission
        self._splits = splits
        self._pause = pause

    def explain(
        self, request: CallerRequest, is_ready: bool, now_s: float
    ) -> Explanation:
        """Explains what would happen to a request.

        Args:
            request: The request, as if it had arrived now.
            is_ready: Whether this host accepts requests.
            now_s: Present time, monotonic.
        """
        routes = self._active_routes.age(now_s)
        route = self._find_route(request.host, request.path)
        match route:
            case Unroutable():
                cause = RefusalCause.NO_ROUTE
                return Explanation(None, routes, 0, cause, None, None, ())
            case Refused(cause, retry_after_s):
                return Explanation(None, routes, 0, cause, retry_after_s, None, ())
        limit = self._admission.limit_of(route.name, now_s)
        refused = self._refusal_of(request, route, is_ready, limit, now_s)
        return Explanation(
            route,
            routes,
            route.replies_min,
            refused.cause if refused is not None else None,
            refused.retry_after_s if refused is not None else None,
            limit,
            self._explain_services(route, now_s),
        )

    def _refusal_of(
        self,
        request: CallerRequest,
        route: Route,
        is_ready: bool,
        limit: RouteLimit,
        now_s: float,
    ) -> Refused | None:
        if not is_ready:
            return Refused(RefusalCause.NOT_READY)
        deadlines = response_deadlines(request, route, None)
        refused = self._refusals.refusal_of(request, route, deadlines, None, now_s)
        if refused is None and limit.admitted_share == 0.0:
            return Refused(RefusalCause.OVER_CAPACITY)
        return refused

    def _explain_services(
        self, route: Route, now_s: float
    ) -> tuple[ServiceExplanation, ...]:
        by_service: dict[ServiceName, list[TargetRecord]] = defaultdict(list)
        for record in self._registry.targets:
            by_service[record.service].append(record)
        next_service: ServiceName | None = None
        match route.destination:
            case SplitServices() as split:
                next_service = self._splits.peek(route.name, split)
        explained = []
        for name in route.services:
            is_next = next_service in (None, name)
            targets = self._explain_targets(name, route.kind, by_service[name], now_s)
            explained.append(ServiceExplanation(name, is_next, targets))
            self._pause()
        return tuple(explained)

    def _explain_targets(
        self,
        service: ServiceName,
        kind: RequestKind,
        records: list[TargetRecord],
        now_s: float,
    ) -> tuple[TargetExplanation, ...]:
        ranked = self._choice.rank_targets(service, kind, now_s)
        names = {record.target for record in ranked}
        excluded = [record for record in records if record.target not in names]
        candidates = [
            self._explain_target(record, kind, rank, now_s)
            for rank, record in enumerate(ranked, 1)
        ]
        return (
            *candidates,
            *(self._explain_target(record, kind, None, now_s) for record in excluded),
        )

    def _explain_target(
        self,
        record: TargetRecord,
        kind: RequestKind,
        rank: int | None,
        now_s: float,
    ) -> TargetExplanation:
        view = self._views.find(record.target) or TargetView()
        reason, until_s = self._reason_of(record, view, rank is not None, now_s)
        loss_cost = self._choice.loss_cost(record, kind, now_s)
        if reason is None and loss_cost >= LOSS_COST_SHOWN:
            reason = ViewReason.LOSES_REQUESTS
        return TargetExplanation(
            record.target,
            record.address,
            record.failure_domain,
            record.slots,
            rank,
            self._views.score(record, now_s) + loss_cost,
            view.current_slowness(now_s),
            view.current_failure_rate(now_s),
            view.open_count,
            _age_s(view.slowness_at_s, now_s),
            _age_s(view.failure_rate_at_s, now_s),
            reason,
            None if until_s is None else until_s - now_s,
        )

    def _reason_of(
        self, record: TargetRecord, view: TargetView, is_ranked: bool, now_s: float
    ) -> tuple[ExclusionReason | ViewReason | None, float | None]:
        exclusion = self._registry.exclusion_of(record, now_s)
        if exclusion is not None:
            return exclusion.reason, exclusion.until_s
        if now_s < view.excluded_until_s:
            return ViewReason.ADDRESS_TAKEN_OVER, view.excluded_until_s
        cold_wait_s = self._choice.cold_wait_s(record, now_s)
        if cold_wait_s is not None:
            return ViewReason.COLD, now_s + cold_wait_s if cold_wait_s else None
        if not is_ranked:
            return ViewReason.NOT_CHOSEN, None
        if view.is_avoided(now_s):
            return ViewReason.AVOIDED, view.avoided_until_s
        if view.is_stalled(now_s):
            is_noticed = now_s < view.stalled_until_s
            return ViewReason.STALLED, view.stalled_until_s if is_noticed else None
        return None, None


def _age_s(recorded_at_s: float, now_s: float) -> float | None:
    # Other tasks may have recorded something since the explanation began.
    return max(0.0, now_s - recorded_at_s) if recorded_at_s else None
