"""Immutable look-up tables of a publication.

A `Catalog` is built once from a validated publication and then only read. It answers
which plan a key belongs to, what a plan is entitled to, and which targets hold a shard
of an index version.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from lavendertide.configuration.lists import IndexEntry, PlanEntry, Publication
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.ids import (
    Address,
    CallerKey,
    ConfigurationVersion,
    FailureDomain,
    IndexName,
    IndexVersion,
    OwnerId,
    PlanClass,
    PlanId,
    Region,
    TargetId,
)
from lavendertide.messages import Operation
from lavendertide.targets.place import TargetPlace


@dataclass(frozen=True, slots=True)
class Plan:
    """Rate and concurrency limits of a plan over the full fleet."""

    plan: PlanId
    owner: OwnerId
    plan_class: PlanClass
    rate_per_s: float
    burst: int
    concurrency: int


@dataclass(frozen=True, slots=True)
class Index:
    """An index with the shard maps of its published versions.

    Attributes:
        versions: For each version, the replicas of each shard by shard number.
    """

    index: IndexName
    owner: OwnerId
    preference: str
    versions: Mapping[IndexVersion, tuple[tuple[TargetId, ...], ...]]


@dataclass(frozen=True, slots=True)
class _BuiltIndex:
    entry: IndexEntry
    index: Index
    places: tuple[TargetPlace, ...]


class Catalog:
    """Look-up tables of one version of the configuration.

    Args:
        publication: Validated lists.
        previous: Catalog of the previous version, from which the objects of unchanged
            entries are reused.
    """

    def __init__(
        self, publication: Publication, previous: "Catalog | None" = None
    ) -> None:
        self._version = ConfigurationVersion(publication.plans.version)
        self._plan_entries = {
            PlanId(entry.plan): entry for entry in publication.plans.plans
        }
        self._plans_by_id, self._plans_by_key = _build_plans(
            self._plan_entries, previous
        )
        self._built = _build_indexes(publication, previous)
        self._indexes = {name: built.index for name, built in self._built.items()}
        self._targets = {
            place.target: place
            for built in self._built.values()
            for place in built.places
        }
        self._entitlements = {
            (PlanId(entitlement.plan), IndexName(entitlement.index)): frozenset(
                entitlement.operations
            )
            for entitlement in publication.uses.uses
        }

    @property
    def version(self) -> ConfigurationVersion:
        """The version of both lists."""
        return self._version

    @property
    def targets(self) -> Mapping[TargetId, TargetPlace]:
        """All targets by id."""
        return self._targets

    @property
    def indexes(self) -> Mapping[IndexName, Index]:
        """All indexes by name."""
        return self._indexes

    @property
    def plans(self) -> Mapping[CallerKey, Plan]:
        """All plans by caller key."""
        return self._plans_by_key

    @property
    def plans_by_id(self) -> Mapping[PlanId, Plan]:
        """All plans by id."""
        return self._plans_by_id

    def plan_of(self, key: CallerKey) -> Result[Plan, Refusal]:
        """Returns the plan that a caller's key belongs to, or a refusal."""
        plan = self._plans_by_key.get(key)
        if plan is None:
            return Failure(
                Refusal(
                    RefusalKind.UNKNOWN_KEY,
                    "No plan holds this key.",
                    "Ask the owner to add the key to a plan in the list of plans.",
                    Fault.CALLER,
                )
            )
        return Success(plan)

    def entitled_index(
        self, plan: Plan, index: IndexName, operation: Operation
    ) -> Result[Index, Refusal]:
        """Returns the index if the plan is entitled to the operation on it."""
        if operation not in self._entitlements.get((plan.plan, index), frozenset()):
            return Failure(
                Refusal(
                    RefusalKind.NOT_ENTITLED,
                    f"Plan '{plan.plan}' may not {operation.value} '{index}'.",
                    "Ask the owner to add the entitlement to the list of uses.",
                    Fault.PLAN,
                )
            )
        return Success(self._indexes[index])

    def entitlements_of(self, plan: PlanId) -> dict[IndexName, frozenset[Operation]]:
        """Returns the operations that a plan is entitled to, by index."""
        return {
            index: operations
            for (entitled_plan, index), operations in self._entitlements.items()
            if entitled_plan == plan
        }


def _build_plans(
    entries: Mapping[PlanId, PlanEntry], previous: Catalog | None
) -> tuple[dict[PlanId, Plan], dict[CallerKey, Plan]]:
    """Returns the plans by id and by key; only changed entries are built again."""
    previous_entries = previous._plan_entries if previous is not None else {}
    by_id = dict(previous.plans_by_id) if previous is not None else {}
    by_key = dict(previous.plans) if previous is not None else {}
    for plan_id, entry in previous_entries.items():
        if entries.get(plan_id) is not entry:
            del by_id[plan_id]
            for key in entry.keys:
                del by_key[CallerKey(key)]
    for plan_id, entry in entries.items():
        if previous_entries.get(plan_id) is not entry:
            plan = _build_plan(entry)
            by_id[plan_id] = plan
            by_key.update((CallerKey(key), plan) for key in entry.keys)
    return by_id, by_key


def _build_indexes(
    publication: Publication, previous: Catalog | None
) -> dict[IndexName, _BuiltIndex]:
    previous_entries = previous._built if previous is not None else {}
    built: dict[IndexName, _BuiltIndex] = {}
    for entry in publication.uses.indexes:
        name = IndexName(entry.index)
        known = previous_entries.get(name)
        if known is None or known.entry is not entry:
            known = _BuiltIndex(entry, _build_index(entry), tuple(_build_places(entry)))
        built[name] = known
    return built


def _build_plan(entry: PlanEntry) -> Plan:
    return Plan(
        plan=PlanId(entry.plan),
        owner=OwnerId(entry.owner),
        plan_class=PlanClass(entry.plan_class),
        rate_per_s=entry.rate_per_s,
        burst=entry.burst,
        concurrency=entry.concurrency,
    )


def _build_index(entry: IndexEntry) -> Index:
    return Index(
        index=IndexName(entry.index),
        owner=OwnerId(entry.owner),
        preference=entry.preference,
        versions={
            IndexVersion(version.version): tuple(
                tuple(TargetId(target) for target in replicas)
                for replicas in version.shards
            )
            for version in entry.versions
        },
    )


def _build_places(entry: IndexEntry) -> list[TargetPlace]:
    return [
        TargetPlace(
            target=TargetId(target.target),
            owner=OwnerId(entry.owner),
            index=IndexName(entry.index),
            address=Address(target.address),
            region=Region(target.region),
            failure_domain=FailureDomain(target.failure_domain),
            slots=entry.slots,
            connections=entry.connections,
        )
        for target in entry.targets
    ]
