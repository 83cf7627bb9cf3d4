"""Refuses requests of a route that exceed the capacity of its targets.

Where a deployment enables it, routes that share targets are admitted by priority
instead (`lavendertide.overload.priority_admission`).

Capacity is the number of concurrent requests that the targets can serve within the
route's objective. Without a limit, all requests would queue at the targets for as long
as their callers wait, and hardly any would be served in time.
`lavendertide.overload.capacity` explains how the limit is adjusted.
"""

import logging
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from lavendertide.forwarding.messages import CallerRequest, RefusalCause, Refused
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.ids import DaemonId, RouteName
from lavendertide.overload.capacities import Capacities
from lavendertide.overload.capacity import Capacity, Feedback, Permit
from lavendertide.overload.priority_admission import PriorityAdmission, PriorityPermit
from lavendertide.overload.route_groups import find_priority_groups
from lavendertide.overload.shared_overload import OverloadObservation, SharedOverload
from lavendertide.routes.route import Route
from lavendertide.routes.table import RouteTable

# A response after its objective is still of some use, and the faults that a route meets
# delay responses for moments. So a limit begins only when half of the shards of most
# requests take the whole objective, which is a pressure of 1 / QUEUEING_SHARE (see
# `lavendertide.overload.capacity`).
ONSET_PRESSURE: Final = 4.0
# Refused callers retry after one to two objectives. The requests in flight have ended
# by then, and the random part keeps the callers of one burst from retrying together.
RETRY_MIN_OBJECTIVES: Final = 1.0

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RouteLimit:
    """The limit of a route on this host.

    Attributes:
        in_flight: Requests of the route that run.
        limit: Maximum number of them; none if there is no limit.
        admitted_share: Probability, from 0 to 1, that a request is admitted.
    """

    route: RouteName
    in_flight: int
    limit: float | None
    admitted_share: float


class RouteCapacities:
    """Limits the concurrent requests of each route on this host."""

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._capacities: Capacities[RouteName] = Capacities(generator, ONSET_PRESSURE)

    def try_acquire(
        self, request: CallerRequest, route: Route, now_s: float
    ) -> Permit | Refused:
        """Returns a permit for a request, or a refusal with the time to retry after."""
        capacity = self._capacities.capacity_of(route.name, now_s)
        previous_limit = capacity.limit
        permit = capacity.try_acquire(now_s)
        _log_change(route, capacity, previous_limit)
        if permit is not None:
            return permit
        _log.info(
            "request over the limit of its route",
            extra={"request": request.request, **_log_fields(route, capacity)},
        )
        delay_objectives = RETRY_MIN_OBJECTIVES * (1.0 + self._random.random())
        return Refused(RefusalCause.OVER_CAPACITY, delay_objectives * route.objective_s)

    def release(
        self, permit: Permit, route: Route, feedback: Feedback, now_s: float
    ) -> None:
        """Releases a permit and adjusts the limit by the feedback of its request."""
        previous_limit = permit.capacity.limit
        permit.release(feedback, route.objective_s, now_s)
        _log_change(route, permit.capacity, previous_limit)

    def limit_of(self, route: RouteName, now_s: float) -> RouteLimit:
        """Returns the limit that a request meets now, without counting it."""
        capacity = self._capacities.known.get(route)
        if capacity is None:
            return RouteLimit(route, 0, None, 1.0)
        limit = capacity.limit_at(now_s)
        return RouteLimit(
            route,
            capacity.in_flight,
            None if math.isinf(limit) else limit,
            capacity.admitted_share(now_s),
        )

    def limits(self, now_s: float) -> tuple[RouteLimit, ...]:
        """Returns the limits in force."""
        known = (self.limit_of(route, now_s) for route in self._capacities.known)
        return tuple(each for each in known if each.limit is not None)

    def retain_only(self, routes: frozenset[RouteName]) -> None:
        """Removes the capacities of all other routes."""
        self._capacities.retain_only(routes)


class RouteAdmission:
    """Admits requests by priority in groups of routes that differ in it.

    All other routes have a limit of their own, and so have all of them where the
    deployment does not enable the admission by priority.
    """

    def __init__(
        self,
        generator: random.Random,
        metrics: ForwardingMetrics,
        admits_by_priority: bool,
    ) -> None:
        self._random = generator
        self._metrics = metrics
        self._admits_by_priority = admits_by_priority
        self._capacities = RouteCapacities(generator)
        self._groups: dict[RouteName, PriorityAdmission] = {}

    def apply_table(self, table: RouteTable, now_s: float) -> None:
        """Puts the groups of a route table in force; they keep what was learned."""
        self._capacities.retain_only(frozenset(route.name for route in table.routes))
        if not self._admits_by_priority:
            return
        former, self._groups = self._groups, {}
        kept: set[PriorityAdmission] = set()
        for routes in find_priority_groups(table.routes):
            known = [former[route.name] for route in routes if route.name in former]
            admission = next((each for each in known if each not in kept), None)
            if admission is None:
                admission = PriorityAdmission(routes, self._random, now_s)
            else:
                admission.update_routes(routes, now_s)
            kept.add(admission)
            self._groups.update((route.name, admission) for route in routes)

    def try_acquire(
        self, request: CallerRequest, route: Route, now_s: float
    ) -> Permit | PriorityPermit | Refused:
        """Returns a permit for a request, or a refusal with the time to retry after."""
        group = self._groups.get(route.name)
        if group is None:
            return self._capacities.try_acquire(request, route, now_s)
        was_thinned = group.is_thinned(route.name)
        permit = group.try_acquire(route.name, now_s)
        share = group.admitted_share(route.name, now_s)
        self._metrics.record_admitted_share(route.name, share)
        for ended in group.end_thinning(now_s):
            _log.warning("thinning of a route ended", extra={"route": ended.name})
        if permit is not None:
            return permit
        if not was_thinned:
            _log.warning(
                "requests of a route are thinned",
                extra={"route": route.name, "admitted_share": round(share, 2)},
            )
        self._metrics.record_priority_refusal(route.name)
        return Refused(RefusalCause.OVER_CAPACITY, group.retry_after_s(route.name))

    def release(
        self,
        permit: Permit | PriorityPermit,
        route: Route,
        feedback: Feedback,
        now_s: float,
    ) -> None:
        """Ends a request and adjusts the admission by its feedback."""
        match permit:
            case PriorityPermit():
                permit.release(feedback, now_s)
            case Permit():
                self._capacities.release(permit, route, feedback, now_s)

    def allows_repeats(self, route: Route, now_s: float) -> bool:
        """Returns whether requests of a route may be hedged and retried now."""
        group = self._groups.get(route.name)
        return group is None or group.allows_repeats(route.name, now_s)

    def has_delays_to_share(self, now_s: float) -> bool:
        """Returns whether there may be observations that peers need."""
        groups = dict.fromkeys(self._groups.values())
        return any(group.shared.is_delay_known(now_s) for group in groups)

    def log_changes(self, now_s: float) -> None:
        """Logs from when to when several hosts report a delay of a group."""
        for group in dict.fromkeys(self._groups.values()):
            change = group.shared.poll_change(now_s)
            if change is not None:
                _log.warning(
                    "several hosts report an overload"
                    if change
                    else "hosts no longer report an overload",
                    extra={"routes": sorted(group.routes)},
                )

    def shared_overloads(self) -> Iterator[tuple[int, float, SharedOverload]]:
        """Returns the number, the level and the observations of each group."""
        for group in dict.fromkeys(self._groups.values()):
            yield group.number, group.level, group.shared

    def record_from_peer(
        self, peer: DaemonId, item: OverloadObservation, now_s: float
    ) -> bool:
        """Records what a peer has observed; returns whether it counts."""
        for group in dict.fromkeys(self._groups.values()):
            if group.number == item.group:
                return group.record_from_peer(peer, item, now_s)
        return False

    def limit_of(self, route: RouteName, now_s: float) -> RouteLimit:
        """Returns the limit that a request meets now, without counting it."""
        group = self._groups.get(route)
        if group is None:
            return self._capacities.limit_of(route, now_s)
        in_flight = group.in_flight(route)
        return RouteLimit(route, in_flight, None, group.admitted_share(route, now_s))

    def limits(self, now_s: float) -> tuple[RouteLimit, ...]:
        """Returns the limits in force."""
        by_group = (self.limit_of(route, now_s) for route in self._groups)
        thinned = tuple(each for each in by_group if each.admitted_share < 1.0)
        return (*self._capacities.limits(now_s), *thinned)

    def waiting_priority(self, route: Route) -> int:
        """Returns the priority with which calls of a route wait for a connection."""
        return route.priority if route.name in self._groups else 0


def _log_change(route: Route, capacity: Capacity, previous_limit: float) -> None:
    """Logs that a limit began or ended.

    Smaller changes aren't logged: each refusal's log line has the current limit.
    """
    if math.isinf(previous_limit) == math.isinf(capacity.limit):
        return
    begins = math.isinf(previous_limit)
    _log.warning(
        "requests of a route are limited" if begins else "limit of a route ended",
        extra=_log_fields(route, capacity),
    )


def _log_fields(route: Route, capacity: Capacity) -> dict[str, object]:
    limit = None if math.isinf(capacity.limit) else round(capacity.limit, 1)
    return {
        "route": route.name,
        "in_flight": capacity.in_flight,
        "limit": limit,
        "objective_ms": round(route.objective_s * 1_000),
    }
