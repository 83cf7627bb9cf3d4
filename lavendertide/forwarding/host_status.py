"""What is in force on this host now: evacuations, and limits of routes.

Nothing here changes any state, so that it can be read at any time.
"""

from dataclasses import dataclass

from lavendertide.evacuation.evacuated_domains import EvacuatedDomains
from lavendertide.forwarding.capacity import RouteLimit
from lavendertide.forwarding.target_view import TargetViews
from lavendertide.ids import FailureDomain
from lavendertide.registry.registry import TargetRegistry
from lavendertide.routes.active_routes import RoutesAge


@dataclass(frozen=True, slots=True)
class EvacuatedDomainStatus:
    """A failure domain that is evacuated.

    Attributes:
        revision: Revision of the platform that set it.
        known_for_s: Seconds since this host learned of it.
        in_flight: Calls of this host to the domain's targets without a reply.
    """

    domain: FailureDomain
    revision: int
    known_for_s: float
    in_flight: int


@dataclass(frozen=True, slots=True)
class HostStatus:
    """What is in force on one host.

    Attributes:
        state: Whether the host accepts requests.
        routes: Version and age of its routes.
        evacuated: The domains that are evacuated.
        limits: The limits of routes that are in force.
    """

    host: str
    state: str
    routes: RoutesAge
    evacuated: tuple[EvacuatedDomainStatus, ...]
    limits: tuple[RouteLimit, ...]


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
            each.revision,
            now_s - each.since_s,
            count_calls(registry, views, each.domain),
        )
        for each in evacuated.evacuated
    )


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
