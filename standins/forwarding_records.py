"""Builds routes, targets, requests and replies for tests and simulations."""

from lavendertide.forwarding.messages import (
    NO_NOTICE,
    CallerRequest,
    Replied,
    TargetNotice,
)
from lavendertide.ids import (
    Address,
    CallerRequestId,
    ConfigurationVersion,
    FailureDomain,
    Fingerprint,
    RouteName,
    ServiceName,
    StoreEra,
    StoreRevision,
    TargetId,
)
from lavendertide.registry.record import TargetRecord, TargetState
from lavendertide.restoration.position import Position
from lavendertide.routes.route import (
    CallerLimits,
    Destination,
    GatheredShards,
    OneService,
    RequestKind,
    Route,
    Service,
)
from lavendertide.routes.table import RouteTable

LOCAL_DOMAIN = FailureDomain("north-a")
OTHER_DOMAIN = FailureDomain("north-b")
LIMITS = CallerLimits(16_384, 262_144, 3.0, 15.0)
DESK = ServiceName("desk")


def target(
    name: str,
    service: str = DESK,
    failure_domain: FailureDomain = LOCAL_DOMAIN,
    state: TargetState = TargetState.READY,
    started_at_ms: int = 1,
) -> TargetRecord:
    """Builds a target record; the port is derived from the name."""
    return TargetRecord(
        TargetId(name),
        ServiceName(service),
        Address(f"10.0.0.1:{1_000 + sum(name.encode())}"),
        failure_domain,
        2,
        state,
        started_at_ms,
    )


def route(
    destination: Destination | None = None,
    kind: RequestKind = RequestKind.IDEMPOTENT,
    wait_max_s: float = 1.0,
    objective_s: float = 0.2,
    attempts_max: int = 2,
) -> Route:
    """Builds a route that matches all paths of the host `shop.example`."""
    return Route(
        RouteName("lookups"),
        "shop.example",
        "/",
        kind,
        destination or OneService(DESK),
        wait_max_s,
        objective_s,
        attempts_max,
        1,
    )


def shards(count: int, coverage_min: float = 0.75) -> GatheredShards:
    """Builds a destination that gathers the responses of `count` shards."""
    names = tuple(ServiceName(f"shard-{number}") for number in range(count))
    return GatheredShards(names, 5, coverage_min)


def table(version: int, *routes: Route) -> RouteTable:
    """Builds a route table with every service that the routes refer to."""
    names = {name for entry in routes for name in entry.services}
    return RouteTable(
        ConfigurationVersion(version),
        routes,
        {name: Service(name, 24) for name in names},
        LIMITS,
    )


def request(
    arrived_at_s: float = 0.0,
    gives_up_at_s: float | None = None,
    name: str = "r1",
    path: str = "/x",
) -> CallerRequest:
    """Builds a caller's request; its fingerprint is its path."""
    return CallerRequest(
        CallerRequestId(name),
        "GET",
        "shop.example",
        path,
        b"",
        b"",
        gives_up_at_s,
        arrived_at_s,
        Fingerprint(path),
    )


def reply(
    name: str,
    status: int = 200,
    body: bytes = b"",
    signature: str = "s",
    notice: TargetNotice = NO_NOTICE,
) -> Replied:
    """Builds a target's reply without headers."""
    return Replied(TargetId(name), status, (), body, signature, notice)


def at(revision: int, era: int = 1) -> Position:
    """Returns a place in the history of the platform's store."""
    return Position(StoreEra(era), StoreRevision(revision))
