"""Splits the requests of a route among services in proportion to their weights."""

from lavendertide.ids import RouteName, ServiceName
from lavendertide.routes.route import SplitServices


class SplitCounters:
    """Chooses services by smooth weighted round-robin.

    Each route has a credit for each service. A request adds the weights to the credits,
    chooses the service with the highest credit and subtracts the sum of the weights
    from it. So the shares are exact even over a few requests.
    """

    def __init__(self) -> None:
        self._credits: dict[RouteName, tuple[SplitServices, dict[ServiceName, float]]]
        self._credits = {}

    def retain_only(self, routes: frozenset[RouteName]) -> None:
        """Removes the credits of all other routes."""
        for name in [entry for entry in self._credits if entry not in routes]:
            del self._credits[name]

    def choose(self, route: RouteName, split: SplitServices) -> ServiceName:
        """Returns the service for the next request and updates the credits."""
        credits = self._increased_credits(route, split)
        chosen = max(credits, key=lambda service: credits[service])
        credits[chosen] -= sum(weighted.weight for weighted in split.services)
        self._credits[route] = (split, credits)
        return chosen

    def peek(self, route: RouteName, split: SplitServices) -> ServiceName:
        """Returns the service for the next request without updating the credits."""
        credits = self._increased_credits(route, split)
        return max(credits, key=lambda service: credits[service])

    def _increased_credits(
        self, route: RouteName, split: SplitServices
    ) -> dict[ServiceName, float]:
        known = self._credits.get(route)
        credits = dict(known[1]) if known is not None and known[0] == split else {}
        for weighted in split.services:
            credits[weighted.service] = (
                credits.get(weighted.service, 0.0) + weighted.weight
            )
        return credits
