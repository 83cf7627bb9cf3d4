"""What a host knows of the arrivals of one route that is admitted by priority.

Load pattern: hosts with one request of a route in several seconds. Hosts disagree about
the time without load; each one compares its own requests with its own estimate.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from lavendertide.overload.capacity import UnloadedTime
from lavendertide.overload.priority_classes import PriorityClasses
from lavendertide.routes.route import Route

# Requests of a route from which the time without load is known. Before, it counts as a
# share of the objective at most, since a host with few requests may see its first ones
# during the overload.
LEARNING_REQUESTS: Final = 8
UNLOADED_SHARE_MAX: Final = 0.25
# Half-life of the offered work by route; several requests of a host with few of them.
DEMAND_HALF_LIFE_S: Final = 5.0


@dataclass(slots=True)
class RouteState:
    """The arrivals of one route on this host.

    Attributes:
        unloaded: The time that half of the sub-requests take without load.
        observed: Number of requests in that estimate, up to `LEARNING_REQUESTS`.
        credit: Fraction of the next admission that refused arrivals have earned.
        work: Offered work with older arrivals counted less, as of `work_at_s`.
        refused_at_s: When a request was last refused.
        is_thinned: Whether requests have been refused within `RELEASE_S`.
    """

    route: Route
    unloaded: UnloadedTime
    credit: float
    observed: int = 0
    work: float = 0.0
    work_at_s: float = 0.0
    refused_at_s: float = -math.inf
    is_thinned: bool = False

    @property
    def sub_requests(self) -> int:
        """Number of sub-requests of one request."""
        return self.route.sub_requests

    @property
    def unloaded_s(self) -> float:
        """Seconds that half of the sub-requests take without load."""
        shortest_s = self.unloaded.shortest_s
        if self.observed < LEARNING_REQUESTS:
            return min(shortest_s, UNLOADED_SHARE_MAX * self.route.objective_s)
        return shortest_s

    def record_half_covered(self, took_s: float, now_s: float) -> None:
        """Adds the time of one request to the estimate without load."""
        self.unloaded.record(took_s, now_s)
        self.observed = min(LEARNING_REQUESTS, self.observed + 1)

    def record_arrival(self, now_s: float) -> None:
        """Adds the work of one request, in seconds of usual target time."""
        work = self.sub_requests * min(self.unloaded_s, self.route.objective_s)
        self.work = self.current_work(now_s) + work
        self.work_at_s = now_s

    def current_work(self, now_s: float) -> float:
        """Returns the offered work, which decays."""
        decay: float = 0.5 ** ((now_s - self.work_at_s) / DEMAND_HALF_LIFE_S)
        return self.work * decay


def work_by_class(
    states: Iterable[RouteState], classes: PriorityClasses, now_s: float
) -> list[float]:
    """Returns the offered work of each class of equal priority.

    Args:
        states: The routes of a group.
        classes: The classes of the group.
        now_s: Present time, monotonic.
    """
    work = [0.0] * len(classes)
    for state in states:
        work[classes.rank_of(state.route.priority)] += state.current_work(now_s)
    return work
