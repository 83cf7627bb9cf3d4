"""Refuses requests of a route above what its targets can answer within its objective.

Without a bound, all requests queue at the targets for as long as their callers wait,
and hardly any is answered in time. How the bound is found is told in
`lavendertide.overload.capacity`.
"""

import logging
import math
import random
from typing import Final

from lavendertide.forwarding.messages import CallerRequest, RefusalCause, Refused
from lavendertide.ids import RouteName
from lavendertide.overload.capacities import Capacities
from lavendertide.overload.capacity import Capacity, Feedback, Permit
from lavendertide.routes.route import Route

# An answer after its objective is still of some use, and the faults that a route meets
# delay it for moments. So a limit begins only when half of the shards of most requests
# take the whole objective: 1 / QUEUEING_SHARE of `lavendertide.overload.capacity`.
ONSET_PRESSURE: Final = 4.0
# A caller that was refused comes back after one to two objectives: what is in flight
# has left by then, and the callers of one burst do not come back together.
RETRY_MIN_OBJECTIVES: Final = 1.0

_log = logging.getLogger(__name__)


class RouteCapacities:
    """How many requests of each route run here at a time."""

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._capacities: Capacities[RouteName] = Capacities(generator, ONSET_PRESSURE)

    def try_acquire(
        self, request: CallerRequest, route: Route, now_s: float
    ) -> Permit | Refused:
        """Lets a request in, or says when to come back."""
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
        """Gives a permit back and learns from its request."""
        previous_limit = permit.capacity.limit
        permit.release(feedback, route.objective_s, now_s)
        _log_change(route, permit.capacity, previous_limit)

    def retain_only(self, routes: frozenset[RouteName]) -> None:
        """Forgets routes that are gone."""
        self._capacities.retain_only(routes)


def _log_change(route: Route, capacity: Capacity, previous_limit: float) -> None:
    """Logs that a limit began or ended; how it moves meanwhile is in each refusal."""
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
