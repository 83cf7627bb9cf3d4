"""Typed models of the daemon's settings.

`lavendertide.encodings.settings_yaml` reads them from a YAML file. The models validate
each key separately and refuse unknown keys; `lavendertide.settings_rules` contains the
rules between keys. docs/SETTINGS.md is generated from the docstrings below.
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
    """Base class of the sections; unknown keys are refused."""

    model_config = ConfigDict(
        extra="forbid", frozen=True, strict=True, allow_inf_nan=False
    )


class PlaceOptions(_Section):
    """Identity and location of the daemon.

    Attributes:
        daemon: Name of the process, unique in the fleet.
        host: Name of the host, which other daemons may share.
        region: Name of the region, as in the list of uses.
        failure_domain: Name of the failure domain, as in the list of uses.
    """

    daemon: Name
    host: Name
    region: Name
    failure_domain: Name


class AddressOptions(_Section):
    """The addresses that the daemon listens on.

    Attributes:
        callers: Address of the callers' HTTP API.
        peers: Address for connections from other daemons.
        admin: Address of the administration API and the metrics.
    """

    callers: IpPort
    peers: IpPort
    admin: IpPort


class PlatformOptions(_Section):
    """The addresses of the platform's services.

    Attributes:
        configuration: Address of the configuration service.
        membership: Address of the service that publishes the membership list.
    """

    configuration: IpPort
    membership: IpPort


class FleetOptions(_Section):
    """Membership and authentication of the daemons.

    Attributes:
        key: Shared secret of the fleet.
        seeds: Peer addresses that the daemon contacts to join the fleet.
        heartbeat_s: Time between two heartbeats to a peer.
        lease_s: How long an acknowledged heartbeat is valid.
        removal_s: How long a member is suspect before it can be removed.
        address_lifetime_s: How long callers may cache an address list, and how long a
            leaving daemon still accepts requests.
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
    """Link faults for tests; without this section none are injected.

    Attributes:
        rules: Path of the JSON file with the rules, which is reread regularly.
    """

    rules: str


class QueryOptions(_Section):
    """Limits of queries.

    Attributes:
        deadline_max_ms: The longest deadline of a request; longer ones are shortened.
        body_max_bytes: The largest request body.
        rows_max: The largest page size that a caller may request, in rows.
        in_flight_max: Maximum number of queries that one process runs concurrently.
        reply_max_bytes: The largest reply that is accepted from a target.
        query_max_bytes: Maximum size of the results that one query holds.
        results_max_bytes: Maximum size of the results that all queries of one process
            hold together, and again of the responses that callers have yet to accept.
    """

    deadline_max_ms: Annotated[int, Field(ge=10, le=60_000)] = 2_000
    body_max_bytes: Annotated[int, Field(ge=256)] = 16_384
    rows_max: Annotated[int, Field(ge=1, le=10_000)] = 200
    in_flight_max: Annotated[int, Field(ge=1)] = 512
    reply_max_bytes: Annotated[int, Field(ge=1_024)] = 262_144
    query_max_bytes: Annotated[int, Field(ge=1_024)] = 2_097_152
    results_max_bytes: Annotated[int, Field(ge=1_024)] = 25_165_824


class NeverHedge(_Section):
    """No hedges are sent; a shard is retried only after a failed attempt."""

    policy: Literal["never"] = "never"


class BudgetedHedge(_Section):
    """A hedge for a slow shard goes to a second replica, within a budget per owner.

    Attributes:
        extra_load: Hedges that each first attempt adds to the owner's budget.
        quantile: Quantile of the index's reply times after which a hedge is due.
        delay_min_ms: The shortest time after which a hedge is due.
        delay_cold_ms: Time after which a hedge is due while no reply has been timed.
    """

    policy: Literal["budgeted"] = "budgeted"
    extra_load: Annotated[float, Field(ge=0, le=1)] = 0.05
    quantile: Annotated[float, Field(gt=0, lt=1)] = 0.95
    delay_min_ms: Annotated[float, Field(gt=0)] = 4.0
    delay_cold_ms: Annotated[float, Field(gt=0)] = 40.0


HedgePolicy = Annotated[NeverHedge | BudgetedHedge, Field(discriminator="policy")]


class NearFirst(_Section):
    """The nearest replica gets the first attempt, equally near ones in turn."""

    policy: Literal["near_first"] = "near_first"


class AnyReplica(_Section):
    """Replicas get attempts in random order, several at once; the first reply counts.

    Attributes:
        at_once: Replicas of each shard that get an attempt at once.
    """

    policy: Literal["any"] = "any"
    at_once: Annotated[int, Field(ge=1, le=8)] = 2


ReplicaPolicy = Annotated[NearFirst | AnyReplica, Field(discriminator="policy")]


class RouteToPrimary(_Section):
    """One daemon holds all slots of a target; the others relay to it."""

    policy: Literal["primary"] = "primary"


class RouteStaticShare(_Section):
    """Each daemon has a fixed share of a target's slots and connects to it directly."""

    policy: Literal["static_share"] = "static_share"


RoutePolicy = Annotated[
    RouteToPrimary | RouteStaticShare, Field(discriminator="policy")
]


class LatencyFirst(_Section):
    """Stops waiting for the last few shards before the deadline.

    Attributes:
        deadline_share: Part of the deadline after which an incomplete response may be
            returned.
        coverage_min: Part of the shards that such a response has to cover.
    """

    policy: Literal["latency"] = "latency"
    deadline_share: Annotated[float, Field(gt=0, le=1)] = 0.5
    coverage_min: Annotated[float, Field(gt=0, le=1)] = 0.95


class CoverageFirst(_Section):
    """Waits until the deadline and retries the replicas of a shard in rounds.

    Attributes:
        rounds: Maximum number of attempts for each replica of a shard.
        pause_ms: Time before the second round; it doubles for each further round.
    """

    policy: Literal["coverage"] = "coverage"
    rounds: Annotated[int, Field(ge=1, le=10)] = 3
    pause_ms: Annotated[float, Field(gt=0)] = 10.0


WaitPolicy = LatencyFirst | CoverageFirst


class RetryOptions(_Section):
    """The budget for retries of failed attempts.

    Attributes:
        extra_load: Retries that each first attempt adds to the owner's budget.
    """

    extra_load: Annotated[float, Field(ge=0, le=1)] = 0.2


class PolicyOptions(_Section):
    """How queries use replicas; each policy has variants for comparison.

    Attributes:
        latency_first: Policy for indexes whose owner prefers low latency.
        coverage_first: Policy for indexes whose owner prefers coverage.
    """

    hedging: HedgePolicy = BudgetedHedge()
    replicas: ReplicaPolicy = NearFirst()
    routing: RoutePolicy = RouteToPrimary()
    retries: RetryOptions = RetryOptions()
    latency_first: LatencyFirst = LatencyFirst()
    coverage_first: CoverageFirst = CoverageFirst()


class TicketOptions(_Section):
    """Limits of tickets for non-idempotent requests.

    Attributes:
        lifetime_s: How long a ticket is valid.
        kept_max: Maximum number of tickets that one process stores.
        kept_per_plan_max: Maximum number of tickets of one plan in one process.
    """

    lifetime_s: Annotated[float, Field(gt=0, le=86_400)] = 600.0
    kept_max: Annotated[int, Field(ge=1)] = 20_000
    kept_per_plan_max: Annotated[int, Field(ge=1)] = 5_000


class AdminOptions(_Section):
    """Keys of the administration API.

    Without operator keys every client has operator access, which is allowed only on the
    loopback address.

    Attributes:
        operator_keys: Keys with access to everything, including the drain.
        owner_keys: For each owner the keys with access to this owner's plans, failure
            log and targets.
    """

    operator_keys: tuple[AdminKey, ...] = ()
    owner_keys: dict[Name, tuple[AdminKey, ...]] = {}


class LogOptions(_Section):
    """The daemon's log on standard error.

    Attributes:
        level: The lowest level that is logged.
        form: Format of a line, a JSON object or plain text.
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
