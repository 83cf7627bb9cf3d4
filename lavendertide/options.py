"""The daemon's settings: one typed options object.

`lavendertide.encodings.settings_yaml` reads it from a YAML file. Every key is checked
here by itself, and unknown keys are refused; `lavendertide.settings_rules` holds the
rules between keys. docs/SETTINGS.md is made from the doc comments below.
"""

from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
)

from lavendertide.addressing import check_ip_port

IpPort = Annotated[str, AfterValidator(check_ip_port)]
AdminKey = Annotated[str, StringConstraints(min_length=16)]
Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class _Section(BaseModel):
    """A section of the settings; unknown keys are refused."""

    model_config = ConfigDict(
        extra="forbid", frozen=True, strict=True, allow_inf_nan=False
    )


class PlaceOptions(_Section):
    """Where the daemon is.

    Attributes:
        daemon: Name of the process, unique in the fleet.
        host: Name of the host that it shares with other daemons.
        region: Name of the region, as the list of uses names it.
        failure_domain: Name of the failure domain, as the list of uses names it.
    """

    daemon: Name
    host: Name
    region: Name
    failure_domain: Name


class AddressOptions(_Section):
    """Where the daemon listens.

    Attributes:
        callers: For callers' HTTP.
        peers: For the other daemons.
        admin: For the administration API and metrics.
    """

    callers: IpPort
    peers: IpPort
    admin: IpPort


class PlatformOptions(_Section):
    """Where the platform's services are.

    Attributes:
        configuration: The configuration service.
        membership: The membership list.
    """

    configuration: IpPort
    membership: IpPort


class FleetOptions(_Section):
    """How the daemons find and trust each other.

    Attributes:
        key: Shared secret of the fleet.
        seeds: Peer addresses to ask first.
        heartbeat_s: Time between two heartbeats to a peer.
        lease_s: How long an answered heartbeat is good for.
        removal_s: How long a member is suspect before it can be removed.
        address_lifetime_s: How long callers may keep an address answer, and how long
            a leaving daemon goes on taking requests.
        drain_bound_s: How long a leaving daemon then waits for requests in flight.
    """

    key: Annotated[str, Field(min_length=16)]
    seeds: tuple[IpPort, ...] = ()
    heartbeat_s: Annotated[float, Field(gt=0, le=5)] = 0.5
    lease_s: Annotated[float, Field(gt=0, le=30)] = 2.0
    removal_s: Annotated[float, Field(gt=0, le=600)] = 10.0
    address_lifetime_s: Annotated[float, Field(gt=0, le=600)] = 10.0
    drain_bound_s: Annotated[float, Field(gt=0, le=600)] = 30.0


class FaultOptions(_Section):
    """Link faults for tests; without this section there are none.

    Attributes:
        rules: The JSON file with the rules, read again and again.
    """

    rules: str


class QueryOptions(_Section):
    """Bounds of a query.

    Attributes:
        deadline_max_ms: The longest deadline that a caller may ask for.
        body_max_bytes: The largest request body.
        rows_max: The largest page that a caller may ask for.
        in_flight_max: Queries that one process runs at a time.
        reply_max_bytes: The largest reply that is read from a target.
        query_max_bytes: Results that one query holds until it is answered.
        results_max_bytes: Results that all queries of one process hold together.
    """

    deadline_max_ms: Annotated[int, Field(ge=10, le=60_000)] = 2_000
    body_max_bytes: Annotated[int, Field(ge=256)] = 16_384
    rows_max: Annotated[int, Field(ge=1, le=10_000)] = 200
    in_flight_max: Annotated[int, Field(ge=1)] = 512
    reply_max_bytes: Annotated[int, Field(ge=1_024)] = 262_144
    query_max_bytes: Annotated[int, Field(ge=1_024)] = 2_097_152
    results_max_bytes: Annotated[int, Field(ge=1_024)] = 25_165_824


class NeverHedge(_Section):
    """Each shard is asked once unless its attempt fails."""

    policy: Literal["never"] = "never"


class BudgetedHedge(_Section):
    """A straggling shard is asked of a second replica, within a budget per owner.

    Attributes:
        extra_load: Hedges that an owner earns with each first attempt.
        quantile: Part of the index's replies that come before the hedge is due.
        delay_min_ms: The shortest time after which a hedge is due.
        delay_cold_ms: When a hedge is due before any reply was timed.
    """

    policy: Literal["budgeted"] = "budgeted"
    extra_load: Annotated[float, Field(ge=0, le=1)] = 0.05
    quantile: Annotated[float, Field(gt=0, lt=1)] = 0.95
    delay_min_ms: Annotated[float, Field(gt=0)] = 4.0
    delay_cold_ms: Annotated[float, Field(gt=0)] = 40.0


HedgePolicy = Annotated[NeverHedge | BudgetedHedge, Field(discriminator="policy")]


class NearFirst(_Section):
    """The nearest replica is asked first, equally near ones in turn."""

    policy: Literal["near_first"] = "near_first"


class AnyReplica(_Section):
    """Replicas are asked in random order, several at once; the first reply counts.

    Attributes:
        at_once: Replicas of each shard that are asked at once.
    """

    policy: Literal["any"] = "any"
    at_once: Annotated[int, Field(ge=1, le=8)] = 2


ReplicaPolicy = Annotated[NearFirst | AnyReplica, Field(discriminator="policy")]


class RouteToPrimary(_Section):
    """One daemon holds all slots of a target; the others relay to it."""

    policy: Literal["primary"] = "primary"


class RouteStaticShare(_Section):
    """Each daemon keeps a fixed share of a target's slots and dials it itself."""

    policy: Literal["static_share"] = "static_share"


RoutePolicy = Annotated[
    RouteToPrimary | RouteStaticShare, Field(discriminator="policy")
]


class LatencyFirst(_Section):
    """Stops waiting for the last few shards before the deadline.

    Attributes:
        deadline_share: Part of the deadline after which the answer may leave.
        coverage_min: Part of the shards that it has to cover by then.
    """

    policy: Literal["latency"] = "latency"
    deadline_share: Annotated[float, Field(gt=0, le=1)] = 0.5
    coverage_min: Annotated[float, Field(gt=0, le=1)] = 0.95


class CoverageFirst(_Section):
    """Waits until the deadline and asks the replicas of a shard again.

    Attributes:
        rounds: How often each replica of a shard may be asked.
        pause_ms: Time between two rounds, longer after each.
    """

    policy: Literal["coverage"] = "coverage"
    rounds: Annotated[int, Field(ge=1, le=10)] = 3
    pause_ms: Annotated[float, Field(gt=0)] = 10.0


WaitPolicy = LatencyFirst | CoverageFirst


class RetryOptions(_Section):
    """How many failed attempts are followed by another.

    Attributes:
        extra_load: Retries that an owner earns with each first attempt.
    """

    extra_load: Annotated[float, Field(ge=0, le=1)] = 0.2


class PolicyOptions(_Section):
    """How queries use replicas; each policy has variants to compare it with.

    Attributes:
        latency_first: For the indexes whose owner prefers latency.
        coverage_first: For the indexes whose owner prefers coverage.
    """

    hedging: HedgePolicy = BudgetedHedge()
    replicas: ReplicaPolicy = NearFirst()
    routing: RoutePolicy = RouteToPrimary()
    retries: RetryOptions = RetryOptions()
    latency_first: LatencyFirst = LatencyFirst()
    coverage_first: CoverageFirst = CoverageFirst()


class TicketOptions(_Section):
    """Bounds of non-idempotent requests.

    Attributes:
        lifetime_s: How long a ticket is good for.
        kept_max: Tickets that one process keeps.
        kept_per_plan_max: Tickets of one plan that one process keeps.
    """

    lifetime_s: Annotated[float, Field(gt=0, le=86_400)] = 600.0
    kept_max: Annotated[int, Field(ge=1)] = 20_000
    kept_per_plan_max: Annotated[int, Field(ge=1)] = 5_000


class AdminOptions(_Section):
    """Who may use the administration API.

    Without operator keys everybody is an operator, which is allowed on the loopback
    address only.

    Attributes:
        operator_keys: Keys that see and drain everything.
        owner_keys: For each owner the keys that see this owner's plans, books and
            targets.
    """

    operator_keys: tuple[AdminKey, ...] = ()
    owner_keys: dict[Name, tuple[AdminKey, ...]] = {}


class LogOptions(_Section):
    """What the daemon logs to standard error.

    Attributes:
        level: The least level that is written.
        form: One JSON object a line, or plain text.
    """

    level: Literal["debug", "info", "warning", "error"] = "info"
    form: Literal["json", "text"] = "json"


class Options(_Section):
    """All settings of one daemon."""

    place: PlaceOptions
    addresses: AddressOptions
    platform: PlatformOptions
    fleet: FleetOptions
    queries: QueryOptions = QueryOptions()
    faults: FaultOptions | None = None
    policies: PolicyOptions = PolicyOptions()
    tickets: TicketOptions = TicketOptions()
    admin: AdminOptions = AdminOptions()
    logs: LogOptions = LogOptions()
