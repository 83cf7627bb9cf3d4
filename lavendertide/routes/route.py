"""One route: which requests it takes, where they go, and what its owner expects."""

from dataclasses import dataclass
from enum import Enum

from lavendertide.ids import RouteName, ServiceName


class RequestKind(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "at_most_once"


@dataclass(frozen=True, slots=True)
class OneService:
    """Each request is answered by one target of one service."""

    service: ServiceName


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its share of a route's requests, relative to the other weights."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class SplitServices:
    """Each request is answered by one service, chosen in proportion to the weights."""

    services: tuple[WeightedService, ...]


@dataclass(frozen=True, slots=True)
class GatheredShards:
    """Each request is answered by all shards together.

    Attributes:
        shards: The services that hold the index, one for each shard.
        records_max: How many of the greatest records the answer holds.
        coverage_min: Part of the shards, from 0 to 1, below which the answer fails.
    """

    shards: tuple[ServiceName, ...]
    records_max: int
    coverage_min: float


Destination = OneService | SplitServices | GatheredShards


@dataclass(frozen=True, slots=True)
class Route:
    """What is done with the requests of one host name and path prefix.

    Attributes:
        host: The host name that callers ask for.
        prefix: What the path begins with; begins and ends with a slash.
        wait_max_s: The longest time that a caller is kept waiting.
        objective_s: An answer within this time is of full use to the caller.
        attempts_max: Targets of one service that one request may be sent to.
        priority: Rank under load; 0 is the highest.
    """

    name: RouteName
    host: str
    prefix: str
    kind: RequestKind
    destination: Destination
    wait_max_s: float
    objective_s: float
    attempts_max: int
    priority: int

    @property
    def services(self) -> tuple[ServiceName, ...]:
        """All services that may answer."""
        match self.destination:
            case OneService(service):
                return (service,)
            case SplitServices(services):
                return tuple(part.service for part in services)
            case GatheredShards(shards=shards):
                return shards


@dataclass(frozen=True, slots=True)
class Service:
    """What is known of a service apart from its targets.

    Attributes:
        connections_max: Connections that each of its targets takes from all hosts.
    """

    name: ServiceName
    connections_max: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take.

    Attributes:
        header_timeout_s: From the first byte of a request to the end of its headers.
        idle_timeout_s: After which an unused connection is closed.
    """

    header_max_bytes: int
    body_max_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
