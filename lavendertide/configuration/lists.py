"""The shape of the two published lists, checked by `pydantic`.

The first list holds the plans and the keys of their callers. The second says what
each plan may use, and describes the indexes themselves: targets, versions and shards.
Rules that span both lists are in `lavendertide.configuration.rules`.
"""

from typing import Annotated, Final

from pydantic import BaseModel, ConfigDict, Field, StringConstraints

from lavendertide.messages import Operation

MOST_SHARDS: Final = 1_000
Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
IpAddress = Annotated[str, StringConstraints(pattern=r"^[0-9.]+:[0-9]{1,5}$")]


class _Entry(BaseModel):
    """An entry of a published list; unknown keys are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)


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
    rate_per_s: Annotated[float, Field(gt=0)]
    burst: Annotated[int, Field(ge=1)]
    concurrency: Annotated[int, Field(ge=1)]
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

    version: Annotated[int, Field(ge=1)]
    shards: Annotated[tuple[tuple[Name, ...], ...], Field(max_length=MOST_SHARDS)]


class IndexEntry(_Entry):
    """An index and where it lives.

    Attributes:
        slots: Requests that one target runs at a time.
        connections: Connections that one target accepts.
        preference: What the owner weighs most.
    """

    index: Name
    owner: Name
    slots: Annotated[int, Field(ge=1)]
    connections: Annotated[int, Field(ge=2)]
    preference: Annotated[str, Field(pattern="^(latency|coverage)$")] = "latency"
    targets: tuple[TargetEntry, ...]
    versions: Annotated[tuple[VersionEntry, ...], Field(min_length=1)]


class UseEntry(_Entry):
    """What a plan may do with an index."""

    plan: Name
    index: Name
    operations: Annotated[tuple[Operation, ...], Field(min_length=1)]


class PlansList(_Entry):
    """The first published list."""

    version: Annotated[int, Field(ge=1)]
    plans: tuple[PlanEntry, ...]


class UsesList(_Entry):
    """The second published list."""

    version: Annotated[int, Field(ge=1)]
    indexes: tuple[IndexEntry, ...]
    uses: tuple[UseEntry, ...]


class Publication(_Entry):
    """Both lists as the configuration service hands them out."""

    plans: PlansList
    uses: UsesList
