"""Admits a request before anything is sent, or refuses it at once.

Load pattern: overload, full, cold or evacuated targets, and hosts that end. A request
that can't be served is refused at its arrival, so that its caller can still try another
host in time.
"""

from dataclasses import dataclass, replace

from lavendertide.forwarding.caller_times import CallerTimes
from lavendertide.forwarding.capacity import RouteAdmission
from lavendertide.forwarding.deadlines import ResponseDeadlines, response_deadlines
from lavendertide.forwarding.early_refusal import EarlyRefusals
from lavendertide.forwarding.messages import CallerRequest, RefusalCause, Refused
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.forwarding.target_choice import TargetChoice
from lavendertide.ids import RouteName
from lavendertide.overload.capacity import Permit
from lavendertide.overload.priority_permit import PriorityPermit
from lavendertide.routes.route import Route


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request that may run.

    Attributes:
        permit: To be released when the request ends.
        deadlines: When its response has to leave this host.
    """

    permit: Permit | PriorityPermit
    deadlines: ResponseDeadlines


class RequestAdmission:
    """Decides which requests of this host's callers run.

    Args:
        refusals: Refuses requests that no target can serve in time.
        choice: Chooses targets.
        routes: The limits of the routes.
        metrics: The counters of the host.
    """

    def __init__(
        self,
        refusals: EarlyRefusals,
        choice: TargetChoice,
        routes: RouteAdmission,
        metrics: ForwardingMetrics,
    ) -> None:
        self._refusals = refusals
        self._choice = choice
        self._routes = routes
        self._metrics = metrics
        self._caller_times = CallerTimes()
        self._host_ends_at_s: float | None = None

    def announce_end(self, at_s: float) -> None:
        """Announces that this host ends at a monotonic time."""
        self._host_ends_at_s = at_s

    def retain_only(self, routes: frozenset[RouteName]) -> None:
        """Removes what is known of the callers of all other routes."""
        self._caller_times.retain_only(routes)

    def admit(
        self, request: CallerRequest, route: Route, now_s: float
    ) -> Admitted | Refused:
        """Admits or refuses a request, which counts as an arrival of its route."""
        deadlines = response_deadlines(request, route, self._used_s(request, route))
        if self._host_ends_at_s is not None:
            ends_at_s = min(deadlines.ends_at_s, self._host_ends_at_s)
            deadlines = replace(deadlines, ends_at_s=ends_at_s)
        refused = self._refusals.refusal_of(
            request, route, deadlines, self._host_ends_at_s, now_s
        )
        if refused is not None:
            if refused.cause is RefusalCause.TARGETS_COLD:
                self._choice.record_held_back(route.services, now_s)
            return refused
        permit = self._routes.try_acquire(request, route, now_s)
        return permit if isinstance(permit, Refused) else Admitted(permit, deadlines)

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
