"""The route table: all routes, services and limits of one version."""

from dataclasses import dataclass, field

from lavendertide.ids import ConfigurationVersion, ServiceName
from lavendertide.routes.route import CallerLimits, Route, Service


@dataclass(frozen=True)
class RouteTable:
    """An immutable published version of routes, services and limits."""

    version: ConfigurationVersion
    routes: tuple[Route, ...]
    services: dict[ServiceName, Service]
    limits: CallerLimits
    _by_host: dict[str, tuple[Route, ...]] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        grouped: dict[str, list[Route]] = {}
        for route in self.routes:
            grouped.setdefault(route.host, []).append(route)
        by_host = {
            host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
            for host, routes in grouped.items()
        }
        object.__setattr__(self, "_by_host", by_host)

    @property
    def routed_services(self) -> frozenset[ServiceName]:
        """The services that at least one route may send requests to."""
        return frozenset(name for route in self.routes for name in route.services)

    @property
    def caller_hosts(self) -> tuple[str, ...]:
        """The host names that have routes."""
        return tuple(self._by_host)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix; none if there is none.

        Args:
            host: Host name as the caller sent it; case and port are ignored.
            path: Path as the caller sent it; a query is ignored.
        """
        name = host.partition(":")[0].lower()
        plain = path.partition("?")[0]
        for route in self._by_host.get(name, ()):
            if plain.startswith(route.prefix):
                return route
        return None
