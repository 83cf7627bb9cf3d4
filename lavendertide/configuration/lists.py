"""The shape of the two published lists, checked by `pydantic`.

The first list holds the plans and the keys of their callers. The second says what
each plan may use, and describes the indexes themselves: targets, versions and shards.
Rules that a shape cannot express are in `lavendertide.configuration.contradictions`.
"""

from typing import Annotated, Any, Final

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, StringConstraints

from lavendertide.addressing import check_ip_port
from lavendertide.messages import Operation

MOST_SHARDS: Final = 1_000
MOST_VERSIONS: Final = 16
MOST_SLOTS: Final = 10_000
MOST_CONNECTIONS: Final = 100_000
MOST_QUERIES: Final = 1_000_000
GREATEST_VERSION: Final = 2**53 - 1

Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
IpAddress = Annotated[str, AfterValidator(check_ip_port)]
Version = Annotated[int, Field(ge=1, le=GREATEST_VERSION)]


class _Entry(BaseModel):
    """An entry of a published list; unknown keys are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class PlanEntry(_Entry):
    """A plan that an owner sells.

    Attributes:
        plan_class: Label of the plan's metrics, such as `counter` or `audit`.
        rate_per_s: Queries a second over the whole fleet.
        burst: Queries that may come at once.
        concurrency: Queries in flight over the whole fleet.
        keys: Keys of the callers that hold the plan.
    """

    plan: Name
    owner: Name
    plan_class: Name
    rate_per_s: Annotated[float, Field(gt=0, le=MOST_QUERIES, allow_inf_nan=False)]
    burst: Annotated[int, Field(ge=1, le=MOST_QUERIES)]
    concurrency: Annotated[int, Field(ge=1, le=MOST_QUERIES)]
    keys: tuple[Name, ...]


class TargetEntry(_Entry):
    """A target: one replica of one or more shards."""

    target: Name
    address: IpAddress
    region: Name
    failure_domain: Name


class VersionEntry(_Entry):
    """The shard map of one index version.

    Attributes:
        version: Rises with each build of the index.
        shards: For each shard, by number, the targets that hold it.
    """

    version: Version
    shards: Annotated[
        tuple[tuple[Name, ...], ...], Field(min_length=1, max_length=MOST_SHARDS)
    ]


class IndexEntry(_Entry):
    """An index and where it lives.

    Attributes:
        slots: Requests that one target runs at a time.
        connections: Connections that one target accepts.
        preference: What the owner weighs most.
    """

    index: Name
    owner: Name
    slots: Annotated[int, Field(ge=1, le=MOST_SLOTS)]
    connections: Annotated[int, Field(ge=2, le=MOST_CONNECTIONS)]
    preference: Annotated[str, Field(pattern="^(latency|coverage)$")] = "latency"
    targets: tuple[TargetEntry, ...]
    versions: Annotated[
        tuple[VersionEntry, ...], Field(min_length=1, max_length=MOST_VERSIONS)
    ]


class UseEntry(_Entry):
    """What a plan may do with an index."""

    plan: Name
    index: Name
    operations: Annotated[tuple[Operation, ...], Field(min_length=1)]


class PlansList(_Entry):
    """The first published list."""

    version: Version
    plans: tuple[PlanEntry, ...]


class UsesList(_Entry):
    """The second published list."""

    version: Version
    indexes: tuple[IndexEntry, ...]
    uses: tuple[UseEntry, ...]


class Publication(_Entry):
    """Both lists as the configuration service hands them out."""

    plans: PlansList
    uses: UsesList


class PlansOutline(_Entry):
    """The first list before its entries are checked."""

    version: Version
    plans: list[Any]


class UsesOutline(_Entry):
    """The second list before its entries are checked."""

    version: Version
    indexes: list[Any]
    uses: list[Any]


class Outline(_Entry):
    """Both lists before their entries are checked."""

    plans: PlansOutline
    uses: UsesOutline
