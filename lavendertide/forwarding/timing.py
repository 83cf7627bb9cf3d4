"""Reply times of each route's targets, and the time after which a call is late."""

from typing import Final

from lavendertide.ids import IndexName, RouteName
from lavendertide.overload.usual_times import UsualTimes
from lavendertide.queries.timing import IndexTiming, Timings
from lavendertide.routes.route import Route

# Quantile of the reply times after which a call is late. One in ten calls is hedged,
# which uses half of the usual retry allowance of a fifth of all requests.
LATE_QUANTILE: Final = 0.9
# Bounds of that time as shares of the route's objective. A hedge after half of the
# objective would have too little time left.
LATE_SHARE_MIN: Final = 0.1
LATE_SHARE_MAX: Final = 0.4
# Weight of the newest reply in the moving average of the reply times.
MEAN_WEIGHT: Final = 0.02


class RouteTiming:
    """The mean and the quantiles of the reply times of one route's targets.

    Attributes:
        usual_times: Usual times of the route's work at each service.
    """

    def __init__(self, quantiles: IndexTiming) -> None:
        self.usual_times = UsualTimes()
        self._quantiles = quantiles
        self._mean_s: float | None = None

    @property
    def mean_s(self) -> float | None:
        """The moving average of the reply times; none before the first reply."""
        return self._mean_s

    def observe(self, latency_s: float, now_s: float) -> None:
        """Records the latency of one reply."""
        self._quantiles.observe(latency_s, now_s)
        mean_s = latency_s if self._mean_s is None else self._mean_s
        self._mean_s = mean_s + MEAN_WEIGHT * (latency_s - mean_s)

    def usual_max_s(self, now_s: float) -> float | None:
        """Returns the seconds that all but the slowest replies take, if known."""
        estimate = self._quantiles.estimate(LATE_QUANTILE, now_s)
        return self._mean_s if estimate is None else estimate.recent_straggler_s

    def late_after_s(self, objective_s: float, now_s: float) -> float:
        """Returns the seconds after which a call is late and may be hedged."""
        upper_bound_s = LATE_SHARE_MAX * objective_s
        estimate = self._quantiles.estimate(LATE_QUANTILE, now_s)
        if estimate is None:
            return upper_bound_s
        observed_s = estimate.recent_straggler_s
        return min(upper_bound_s, max(LATE_SHARE_MIN * objective_s, observed_s))


class RouteTimings:
    """The reply times of all routes, as measured on this host."""

    def __init__(self) -> None:
        self._quantiles = Timings()
        self._by_route: dict[RouteName, RouteTiming] = {}

    def retain_only(self, routes: frozenset[RouteName]) -> None:
        """Removes the timings of all other routes."""
        self._quantiles.retain_only(frozenset(IndexName(name) for name in routes))
        for name in [known for known in self._by_route if known not in routes]:
            del self._by_route[name]

    def timing_of(self, route: Route, now_s: float) -> RouteTiming:
        """Returns the timing of a route, which is created if there is none."""
        timing = self._by_route.get(route.name)
        if timing is None:
            quantiles = self._quantiles.timing_of(IndexName(route.name), now_s)
            timing = self._by_route[route.name] = RouteTiming(quantiles)
        return timing
