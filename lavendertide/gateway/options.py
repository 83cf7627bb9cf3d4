"""Settings with which a gateway process starts."""

from dataclasses import dataclass

from lavendertide.forwarding.budget import RetryAllowance
from lavendertide.gateway.reading_times import ReadingTimes
from lavendertide.ids import Address, FailureDomain, HostId, Region
from lavendertide.warmup.allowance import DEFAULT_BOUNDS, ColdBounds


@dataclass(frozen=True, slots=True)
class GatewayOptions:
    """The settings of one gateway.

    Attributes:
        callers: Listens here for callers' requests.
        readiness: Listens here for readiness probes.
        directory: Listens here for callers that look up which hosts to use.
        peers: Listens here for other gateways.
        metrics: Listens here for scrapes of the metrics.
        seeds: Peers to contact first; some may be down.
        fleet_key: Shared secret of the gateways.
        platform: Address at which the platform publishes routes and targets.
        reading: Timeouts of reads of the platform.
        retries: Extra sub-requests that the fleet may send.
        grace_s: Time between SIGTERM and the forced end of the process.
        address_lifetime_s: Longest time for which callers may cache an address answer.
        processor_share: CPU allotment of the process, in cores.
        memory_bytes: Memory of the host; none if it isn't known.
        files_max: Descriptors that the process may open; none if it isn't known.
        is_first_start: Whether the whole system starts for the first time, so that no
            earlier process of it has sent anything.
        cold: How far the fleet may exceed what cold targets can take.
        shares_capacities: Whether hosts share which targets are slow or fast.
        admits_by_priority: Whether routes that share targets are admitted by their
            priority under load.
        shares_overloads: Whether hosts that admit by priority share the queueing delays
            that they observe.
        avoids_losses: Whether requests that can't be repeated avoid targets that have
            lost some.
    """

    host: HostId
    region: Region
    failure_domain: FailureDomain
    callers: Address
    readiness: Address
    directory: Address
    peers: Address
    metrics: Address
    seeds: tuple[Address, ...]
    fleet_key: str
    platform: Address
    reading: ReadingTimes
    retries: RetryAllowance
    grace_s: float
    address_lifetime_s: float
    processor_share: float
    is_first_start: bool = False
    cold: ColdBounds = DEFAULT_BOUNDS
    memory_bytes: int | None = None
    files_max: int | None = None
    shares_capacities: bool = False
    admits_by_priority: bool = False
    shares_overloads: bool = False
    avoids_losses: bool = False
