"""Schema of the two published lists, validated by `pydantic`.

The first list holds the plans and the keys of their callers. The second holds the
entitlements of the plans and the indexes with their targets, versions and shards.
Rules that a schema cannot express are in `lavendertide.configuration.contradictions`.
"""

from typing import Annotated, Any, Final

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, StringConstraints

from lavendertide.addressing import check_ip_port
from lavendertide.messages import Operation

SHARDS_MAX: Final = 1_000
VERSIONS_MAX: Final = 16
SLOTS_MAX: Final = 10_000
CONNECTIONS_MAX: Final = 100_000
QUERIES_MAX: Final = 1_000_000
VERSION_MAX: Final = 2**53 - 1

Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
IpAddress = Annotated[str, AfterValidator(check_ip_port)]
Version = Annotated[int, Field(ge=1, le=VERSION_MAX)]


class _StrictModel(BaseModel):
    """Base of all models; unknown keys and conversions of types are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class PlanEntry(_StrictModel):
    """A plan that an owner sells, and the callers that hold it.

    Attributes:
        plan_class: Label of the plan's metrics, such as `counter` or `audit`.
        rate_per_s: Queries per second over the full fleet.
        burst: Queries that may arrive at once.
        concurrency: Queries in flight over the full fleet.
        keys: Keys of the callers that hold the plan.
    """

    plan: Name
    owner: Name
    plan_class: Name
    rate_per_s: Annotated[float, Field(gt=0, le=QUERIES_MAX, allow_inf_nan=False)]
    burst: Annotated[int, Field(ge=1, le=QUERIES_MAX)]
    concurrency: Annotated[int, Field(ge=1, le=QUERIES_MAX)]
    keys: tuple[Name, ...]


class TargetEntry(_StrictModel):
    """A target, which holds a replica of one or more shards."""

    target: Name
    address: IpAddress
    region: Name
    failure_domain: Name


class VersionEntry(_StrictModel):
    """The shard map of one index version.

    Attributes:
        version: Number of the build, higher for each new build of the index.
        shards: For each shard by number, the targets that hold it.
    """

    version: Version
    shards: Annotated[
        tuple[tuple[Name, ...], ...], Field(min_length=1, max_length=SHARDS_MAX)
    ]


class IndexEntry(_StrictModel):
    """An index, its targets and the shard maps of its versions.

    Attributes:
        slots: Requests that one target runs concurrently.
        connections: Connections that one target accepts.
        preference: Whether the owner prefers low latency or full coverage.
    """

    index: Name
    owner: Name
    slots: Annotated[int, Field(ge=1, le=SLOTS_MAX)]
    connections: Annotated[int, Field(ge=2, le=CONNECTIONS_MAX)]
    preference: Annotated[str, Field(pattern="^(latency|coverage)$")] = "latency"
    targets: tuple[TargetEntry, ...]
    versions: Annotated[
        tuple[VersionEntry, ...], Field(min_length=1, max_length=VERSIONS_MAX)
    ]


class EntitlementEntry(_StrictModel):
    """Operations that a plan is entitled to on an index."""

    plan: Name
    index: Name
    operations: Annotated[tuple[Operation, ...], Field(min_length=1)]


class PlansList(_StrictModel):
    """The first published list, the plans."""

    version: Version
    plans: tuple[PlanEntry, ...]


class UsesList(_StrictModel):
    """The second published list, the indexes and entitlements."""

    version: Version
    indexes: tuple[IndexEntry, ...]
    uses: tuple[EntitlementEntry, ...]


class Publication(_StrictModel):
    """Both lists as the configuration service publishes them."""

    plans: PlansList
    uses: UsesList


class PlansOutline(_StrictModel):
    """The first list before its entries are checked."""

    version: Version
    plans: list[Any]


class UsesOutline(_StrictModel):
    """The second list before its entries are checked."""

    version: Version
    indexes: list[Any]
    uses: list[Any]


class Outline(_StrictModel):
    """Both lists before their entries are checked."""

    plans: PlansOutline
    uses: UsesOutline
