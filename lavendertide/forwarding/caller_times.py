"""Estimates how much of its time a caller had used when its request was sent.

A caller says how long it will still wait. Callers of one route mostly start with the
same time, and those that have looked up an address or opened a connection first say
less. So what is missing from the usual time was used before.
"""

from collections import Counter, deque
from typing import Final

from lavendertide.ids import RouteName

# Requests of a route whose remaining times are remembered.
REMEMBERED: Final = 64
# Fewer requests than this say nothing about the usual time.
REQUESTS_MIN: Final = 8
# A time is the usual one if this share of the callers say it; others have a time of
# their own. Callers say it in whole milliseconds.
USUAL_SHARE: Final = 0.2
# Callers that would have used more than this share of the objective have a time of
# their own.
USED_SHARE_MAX: Final = 0.5


class CallerTimes:
    """The remaining times that the latest callers of each route have said."""

    def __init__(self) -> None:
        self._by_route: dict[RouteName, _RouteTimes] = {}

    def observe(
        self, route: RouteName, remaining_s: float, objective_s: float
    ) -> float | None:
        """Records the remaining time of a request and estimates what was used before.

        Args:
            route: The route of the request.
            remaining_s: How long its caller will still wait.
            objective_s: The time within which a response is of full use.

        Returns:
            Seconds, or none if it is unknown.
        """
        times = self._by_route.setdefault(route, _RouteTimes())
        remaining_ms = round(remaining_s * 1_000)
        times.record(remaining_ms)
        if times.usual_ms is None:
            return None
        used_s = (times.usual_ms - remaining_ms) / 1_000
        return used_s if 0.0 <= used_s <= USED_SHARE_MAX * objective_s else None

    def retain_only(self, routes: frozenset[RouteName]) -> None:
        """Removes the times of all other routes."""
        for name in self._by_route.keys() - routes:
            del self._by_route[name]


class _RouteTimes:
    """The remaining times of one route, and the greatest that is usual."""

    def __init__(self) -> None:
        self.usual_ms: int | None = None
        self._latest_ms: deque[int] = deque()
        self._counts: Counter[int] = Counter()

    def record(self, remaining_ms: int) -> None:
        self._latest_ms.append(remaining_ms)
        self._counts[remaining_ms] += 1
        if len(self._latest_ms) > REMEMBERED:
            oldest_ms = self._latest_ms.popleft()
            self._counts[oldest_ms] -= 1
            if not self._counts[oldest_ms]:
                del self._counts[oldest_ms]
        self.usual_ms = self._find_usual_ms()

    def _find_usual_ms(self) -> int | None:
        if len(self._latest_ms) < REQUESTS_MIN:
            return None
        needed = USUAL_SHARE * len(self._latest_ms)
        usual_ms = (ms for ms, count in self._counts.items() if count >= needed)
        return max(usual_ms, default=None)
