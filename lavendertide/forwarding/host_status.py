"""What is in force on this host now: evacuations, cold targets, and limits of routes.

Nothing here changes any state, so that it can be read at any time.
"""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

from lavendertide.evacuation.evacuated_domains import EvacuatedDomains
from lavendertide.forwarding.capacity import RouteLimit
from lavendertide.forwarding.target_view import TargetViews
from lavendertide.ids import FailureDomain, ServiceName
from lavendertide.registry.registry import TargetRegistry
from lavendertide.restoration.position import Position
from lavendertide.routes.active_routes import RoutesAge
from lavendertide.warmup.cold_status import ColdTargetStatus
from lavendertide.warmup.cold_targets import ColdTargets

# Cold targets that one report lists; all are counted.
COLD_LISTED_MAX: Final = 64


@dataclass(frozen=True, slots=True)
class EvacuatedDomainStatus:
    """A failure domain that is evacuated.

    Attributes:
        position: Place in the store's history that set it.
        known_for_s: Seconds since this host learned of it.
        in_flight: Calls of this host to the domain's targets without a reply.
    """

    domain: FailureDomain
    position: Position
    known_for_s: float
    in_flight: int


@dataclass(frozen=True, slots=True)
class StoreStatus:
    """How far a host has read the platform's store.

    Attributes:
        position: Place up to which it has read.
        age_s: Seconds since the last answer of the store, or of the host's source.
        restorations: How often the store was restored since the host started.
    """

    position: Position
    age_s: float
    restorations: int


@dataclass(frozen=True, slots=True)
class HostStatus:
    """What is in force on one host.

    Attributes:
        state: Whether the host accepts requests.
        routes: Version and age of its routes.
        evacuated: The domains that are evacuated.
        limits: The limits of routes that are in force.
        cold_count: The number of targets that are cold.
        cold: Those of them that remain cold for longest.
        store: How far it has read the store; none if it doesn't read one.
    """

    host: str
    state: str
    routes: RoutesAge
    evacuated: tuple[EvacuatedDomainStatus, ...]
    limits: tuple[RouteLimit, ...]
    cold_count: int = 0
    cold: tuple[ColdTargetStatus, ...] = ()
    store: StoreStatus | None = None


def evacuated_status(
    evacuated: EvacuatedDomains,
    registry: TargetRegistry,
    views: TargetViews,
    now_s: float,
) -> tuple[EvacuatedDomainStatus, ...]:
    """Returns the evacuated domains in the order in which this became known."""
    return tuple(
        EvacuatedDomainStatus(
            each.domain,
            each.position,
            now_s - each.since_s,
            count_calls(registry, views, each.domain),
        )
        for each in evacuated.evacuated
    )


def cold_status(
    cold: ColdTargets,
    registry: TargetRegistry,
    services: Collection[ServiceName] | None,
    now_s: float,
) -> tuple[ColdTargetStatus, ...]:
    """Returns the cold targets that remain so for longest.

    Args:
        cold: What this host knows of cold targets.
        registry: The registered targets.
        services: The services whose targets are returned; none for all.
        now_s: Present time, monotonic.
    """
    if not cold.count(now_s):
        return ()
    found = [
        record
        for record in registry.targets
        if (services is None or record.service in services)
        and cold.is_cold(record, now_s)
    ]
    described = (cold.describe(each, now_s) for each in found)
    known = [each for each in described if each is not None]
    known.sort(key=lambda each: (-each.left_s, each.target))
    return tuple(known[:COLD_LISTED_MAX])


def count_calls(
    registry: TargetRegistry, views: TargetViews, domain: FailureDomain
) -> int:
    """Returns how many calls to a domain's registered targets have no reply yet."""
    known = (
        views.find(record.target)
        for record in registry.targets
        if record.failure_domain == domain
    )
    return sum(view.open_count for view in known if view is not None)
