"""All routes of one version."""

from dataclasses import dataclass, field

from lavendertide.ids import ConfigurationVersion, ServiceName
from lavendertide.routes.route import CallerLimits, Route, Service


@dataclass(frozen=True)
class RouteTable:
    """One published version of routes, services and limits; never changed."""

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
        """The services that some route may send requests to."""
        return frozenset(name for route in self.routes for name in route.services)

    @property
    def caller_hosts(self) -> tuple[str, ...]:
        """The host names that callers' requests bear."""
        return tuple(self._by_host)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path, none if there is none.

        Args:
            host: Host name as the caller sent it, a port is left aside.
            path: Path with or without its query.
        """
        name = host.partition(":")[0].lower()
        plain = path.partition("?")[0]
        for route in self._by_host.get(name, ()):
            if plain.startswith(route.prefix):
                return route
        return None
