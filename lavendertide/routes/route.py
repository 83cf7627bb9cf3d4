"""The types of a route: the requests it matches, their destination and its limits."""

import math
from dataclasses import dataclass
from enum import Enum

from lavendertide.ids import RouteName, ServiceName


class RequestKind(Enum):
    """Whether a request may be run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "at_most_once"


@dataclass(frozen=True, slots=True)
class OneService:
    """Destination: each request is sent to one target of one service."""

    service: ServiceName


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its weight relative to the other services of a route."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class SplitServices:
    """Destination: each request is sent to one service, chosen by its weight."""

    services: tuple[WeightedService, ...]


@dataclass(frozen=True, slots=True)
class GatheredShards:
    """Destination: each request is sent to all shards and the replies are merged.

    Attributes:
        shards: The services that hold the index, one for each shard.
        records_max: Maximum number of records in the response; the greatest are kept.
        coverage_min: Minimum share of the shards, from 0 to 1, that the response must
            contain; with fewer, the request fails.
    """

    shards: tuple[ServiceName, ...]
    records_max: int
    coverage_min: float

    @property
    def shards_min(self) -> int:
        """The number of shards that the response must contain."""
        # The share may be a rounded fraction of the number of shards.
        return max(1, math.ceil(self.coverage_min * len(self.shards) - 1e-9))


Destination = OneService | SplitServices | GatheredShards


@dataclass(frozen=True, slots=True)
class Route:
    """The destination and the limits of requests of one host name and path prefix.

    Attributes:
        name: Identifies the route.
        host: Host name of the requests.
        prefix: Prefix of the path; begins and ends with a slash.
        kind: Whether a request may be run more than once.
        destination: The services that the requests are sent to.
        wait_max_s: Maximum time that a caller waits for its response.
        objective_s: Time within which a response is of full use to the caller.
        attempts_max: Maximum number of targets of one service that one request is sent
            to.
        priority: Priority under load; 0 is the highest.
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
        """All services that requests of the route may be sent to."""
        match self.destination:
            case OneService(service):
                return (service,)
            case SplitServices(services):
                return tuple(part.service for part in services)
            case GatheredShards(shards=shards):
                return shards

    @property
    def replies_min(self) -> int:
        """Number of services that have to reply to a request."""
        match self.destination:
            case GatheredShards() as gathered:
                return gathered.shards_min
            case _:
                return 1

    @property
    def sub_requests(self) -> int:
        """Number of services that one request is sent to."""
        match self.destination:
            case GatheredShards(shards=shards):
                return len(shards)
            case _:
                return 1


@dataclass(frozen=True, slots=True)
class Service:
    """The settings of a service.

    Attributes:
        connections_max: Connections that each target of the service accepts from all
            hosts together.
        cold_start_s: How long a target is cold after its start.
        cold_per_s: Requests a second that a cold target can take from all hosts
            together; zero if that is not limited.
    """

    name: ServiceName
    connections_max: int
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of callers' requests and the time to send them.

    Attributes:
        header_max_bytes: Maximum size of the request line and headers.
        body_max_bytes: Maximum size of a body.
        header_timeout_s: Maximum time from the first byte of a request to the end of
            its headers.
        idle_timeout_s: Time after which an unused connection is closed.
    """

    header_max_bytes: int
    body_max_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
