"""Checks of a publication for contradictions.

Rules about a single entry are separate from rules that span entries, because an
unchanged entry is not checked again.
"""

from collections import Counter
from collections.abc import Collection, Iterator
from typing import Final

from lavendertide.configuration.lists import (
    EntitlementEntry,
    IndexEntry,
    PlanEntry,
    Publication,
)
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.targets.budget import CONNECTIONS_MIN, HOLDERS_MAX

PUBLICATION_MAX_BYTES: Final = 1024 * 1024
BURST_MAX_S: Final = 3_600.0
CONNECTIONS_PER_SLOT: Final = 2
TARGETS_PER_SHARD_MIN: Final = 1


def publication_refusal(problem: str) -> Refusal:
    """Returns the refusal of a publication with a problem."""
    return Refusal(
        RefusalKind.BAD_PUBLICATION,
        problem,
        "Correct the entry and publish both lists again under a higher version.",
        Fault.CALLER,
    )


def entry_contradictions(
    entry: PlanEntry | IndexEntry | EntitlementEntry,
) -> Iterator[str]:
    """Yields the contradictions within an entry, without a full stop."""
    match entry:
        case PlanEntry():
            yield from _plan_contradictions(entry)
        case IndexEntry():
            yield from _index_contradictions(entry)
        case EntitlementEntry():
            for name in _describe_duplicates(
                [operation.value for operation in entry.operations]
            ):
                yield f"operation {name}"


def contradictions(publication: Publication) -> Iterator[str]:
    """Yields the contradictions between the entries of a publication."""
    plans = publication.plans
    uses = publication.uses
    if plans.version != uses.version:
        yield (
            f"plans.version is {plans.version} but uses.version is {uses.version}; "
            "both lists must have the same version."
        )
    targets = [target for entry in uses.indexes for target in entry.targets]
    unique = (
        ("plans.plans", [entry.plan for entry in plans.plans]),
        ("caller key", [key for entry in plans.plans for key in entry.keys]),
        ("uses.indexes", [entry.index for entry in uses.indexes]),
        ("target", [target.target for target in targets]),
        ("target address", [target.address for target in targets]),
        (
            "uses.uses",
            [f"{entitlement.plan} on {entitlement.index}" for entitlement in uses.uses],
        ),
    )
    for place, names in unique:
        for problem in _describe_duplicates(names):
            yield f"{place}: {problem}."
    yield from _region_contradictions(publication)
    yield from _entitlement_contradictions(publication)


def _describe_duplicates(names: Collection[str]) -> Iterator[str]:
    if len(set(names)) == len(names):
        return
    for name, count in Counter(names).items():
        if count > 1:
            yield f"'{name}' appears {count} times"


def _plan_contradictions(plan: PlanEntry) -> Iterator[str]:
    if plan.burst > BURST_MAX_S * plan.rate_per_s:
        yield (
            f"plan '{plan.plan}': a burst of {plan.burst} is more than "
            f"{BURST_MAX_S:g} s of its rate; lower burst or raise rate_per_s"
        )


def _index_contradictions(index: IndexEntry) -> Iterator[str]:
    name = f"index '{index.index}'"
    needed = CONNECTIONS_PER_SLOT * index.slots
    if index.connections < needed:
        yield (
            f"{name}: {index.connections} connections are too few for {index.slots} "
            f"slots; primary and backup together need {needed}"
        )
    if index.connections < CONNECTIONS_MIN:
        yield (
            f"{name}: {index.connections} connections leave a holder none to cancel "
            f"attempts and check health; {HOLDERS_MAX} holders may be connected "
            f"while hosts are replaced, so its targets must accept {CONNECTIONS_MIN} "
            "or more"
        )
    for problem in _describe_duplicates(
        [str(entry.version) for entry in index.versions]
    ):
        yield f"versions of {name}: {problem}"
    known = {entry.target for entry in index.targets}
    for version in index.versions:
        for number, replicas in enumerate(version.shards):
            place = f"{name} version {version.version} shard {number}"
            yield from _shard_contradictions(place, replicas, known)


def _shard_contradictions(
    place: str, replicas: tuple[str, ...], known: set[str]
) -> Iterator[str]:
    if len(replicas) < TARGETS_PER_SHARD_MIN:
        yield f"{place}: no target holds it"
    for problem in _describe_duplicates(replicas):
        yield f"{place}: target {problem}"
    for target in replicas:
        if target not in known:
            yield f"{place}: target '{target}' is not in the list of targets"


def _region_contradictions(publication: Publication) -> Iterator[str]:
    regions: dict[str, str] = {}
    for index in publication.uses.indexes:
        for target in index.targets:
            region = regions.setdefault(target.failure_domain, target.region)
            if region != target.region:
                yield (
                    f"target '{target.target}': failure domain "
                    f"'{target.failure_domain}' is in region '{region}' and in "
                    f"region '{target.region}'; a failure domain has one region."
                )


def _entitlement_contradictions(publication: Publication) -> Iterator[str]:
    owners = {entry.plan: entry.owner for entry in publication.plans.plans}
    indexes = {entry.index: entry.owner for entry in publication.uses.indexes}
    for entitlement in publication.uses.uses:
        if entitlement.plan not in owners:
            yield f"uses: plan '{entitlement.plan}' is not in the list of plans."
        elif entitlement.index not in indexes:
            yield f"uses: index '{entitlement.index}' is not in the list of indexes."
        elif owners[entitlement.plan] != indexes[entitlement.index]:
            yield (
                f"uses: plan '{entitlement.plan}' of '{owners[entitlement.plan]}' "
                f"may not use index '{entitlement.index}' "
                f"of '{indexes[entitlement.index]}'."
            )
