"""The operator's configuration in the soak test, and the versions published so far."""

import random
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Final

from soak.callers import RequestKind
from soak.faults import (
    ConfigurationChange,
    ConfigurationGrown,
    LimitsChanged,
    PrioritiesChanged,
    RouteMoved,
    RouteRemoved,
    RoutesChanged,
    ShardsChanged,
    VersionsPublished,
)
from standins.gateway_process import SHARDS, configuration, route

# Time in which a gateway has to apply a version, as the deployed sites require.
APPLY_S: Final = 6.0
# The service of a route of one service, and the one to which it moves. `lookups` and
# `orders` share targets, so they are admitted by their priority.
SERVICES_OF_ROUTE: Final = {
    RequestKind.LOOKUP: ("desk", "other"),
    RequestKind.ORDER: ("desk", "other"),
}
FIRST_SHARDS: Final = ("shard-0", "shard-1")
FIRST_PRIORITIES: Final = (1, 0, 2)
# Less urgent than the routes that callers use.
FILLER_PRIORITY: Final = 5


@dataclass(frozen=True, slots=True)
class Period:
    """A period of time, monotonic."""

    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class PublishedVersion:
    """What one version of the configuration says of the routes.

    Attributes:
        published_at_s: When the operator began to write it, monotonic.
        services: The services of each route that it has.
    """

    published_at_s: float
    services: Mapping[RequestKind, tuple[str, ...]]


class PublishedVersions:
    """The versions of the configuration, in the order in which they were published."""

    def __init__(self, versions: Iterable[PublishedVersion] = ()) -> None:
        self._versions = list(versions)

    def add(self, version: PublishedVersion) -> None:
        """Adds the newest version."""
        self._versions.append(version)

    def find_in_force(
        self, period: Period, disturbed: Sequence[Period]
    ) -> list[PublishedVersion]:
        """Returns the versions that a gateway may use at some time of a period.

        Args:
            period: The period.
            disturbed: When the gateway could not read the configuration.
        """
        found: list[PublishedVersion] = []
        for version in reversed(self._versions):
            if version.published_at_s > period.until_s:
                continue
            found.append(version)
            if due_by_s(version.published_at_s, APPLY_S, disturbed) < period.from_s:
                break
        return found


def due_by_s(written_at_s: float, bound_s: float, disturbed: Sequence[Period]) -> float:
    """Returns by when all gateways have to go by what was written.

    Args:
        written_at_s: When the store accepted it, or was asked to.
        bound_s: How long a gateway may take.
        disturbed: When it could not be read; the bound starts anew after that.
    """
    by_s = written_at_s + bound_s
    for period in sorted(disturbed, key=lambda each: each.from_s):
        is_over = period.until_s < written_at_s
        if not is_over and period.from_s <= by_s:
            by_s = max(by_s, period.until_s + bound_s)
    return by_s


class OperatorConfiguration:
    """The configuration that the operator publishes next."""

    def __init__(self) -> None:
        self._version = 1
        self._priorities: tuple[int, ...] = FIRST_PRIORITIES
        self._shards: tuple[str, ...] = FIRST_SHARDS
        self._moves: Counter[RequestKind] = Counter()
        # Removals may overlap; a route is back once all of them are over.
        self._removals: Counter[RequestKind] = Counter()
        self._limits: dict[str, int] = {}
        self._fillers = 0

    @property
    def services(self) -> dict[RequestKind, tuple[str, ...]]:
        """The services of each route that the configuration has."""
        present = [kind for kind in RequestKind if not self._removals[kind]]
        return {kind: self._services_of(kind) for kind in present}

    def apply(self, change: ConfigurationChange) -> None:
        """Applies a change."""
        match change:
            case RoutesChanged():
                pass
            case PrioritiesChanged(priorities):
                self._priorities = priorities
            case VersionsPublished(versions):
                self._priorities = versions[-1]
            case RouteRemoved(kind):
                self._removals[kind] += 1
            case RouteMoved(kind):
                self._moves[kind] += 1
            case ShardsChanged(shards):
                self._shards = shards
            case LimitsChanged(idle_timeout_ms, header_timeout_ms):
                self._limits = {
                    "idle-timeout-ms": idle_timeout_ms,
                    "header-timeout-ms": header_timeout_ms,
                }
            case ConfigurationGrown(routes):
                self._fillers += routes

    def revert(self, change: RouteRemoved | ConfigurationGrown) -> None:
        """Reverts a change that lasts only for a while."""
        match change:
            case RouteRemoved(kind):
                self._removals[kind] -= 1
            case ConfigurationGrown(routes):
                self._fillers -= routes

    def next_document(self, generator: random.Random) -> dict[str, Any]:
        """Returns the configuration under the next version, as the operator writes it.

        Args:
            generator: Draws the uneven steps between versions.
        """
        self._version += generator.randint(1, 3)
        routes = [self._route(kind) for kind in self.services]
        routes += [
            route(f"filler-{number}", service="desk", priority=FILLER_PRIORITY)
            for number in range(self._fillers)
        ]
        return configuration(self._version, *routes) | {"limits": self._limits}

    def _services_of(self, kind: RequestKind) -> tuple[str, ...]:
        if kind is RequestKind.SEARCH:
            return self._shards
        services = SERVICES_OF_ROUTE[kind]
        return (services[self._moves[kind] % len(services)],)

    def _route(self, kind: RequestKind) -> dict[str, Any]:
        services = self._services_of(kind)
        priority = self._priorities[list(RequestKind).index(kind)]
        match kind:
            case RequestKind.LOOKUP:
                return route(kind.value, service=services[0], priority=priority)
            case RequestKind.ORDER:
                return route(
                    kind.value,
                    "non_idempotent",
                    service=services[0],
                    priority=priority,
                )
            case RequestKind.SEARCH:
                shards = SHARDS | {"gather": list(services)}
                return route(kind.value, **shards, priority=priority)
