"""Describes the two current deployments and their sizes as data.

The published lists, the specifications of the stand-in targets and the example settings
are all derived from this module, so that tests, the demo and the benchmarks use the
same sizes.
"""

from dataclasses import dataclass, replace
from typing import Any


@dataclass(frozen=True)
class IndexSpec:
    """Describes an index of a deployment.

    Attributes:
        slots: Requests that one target runs at the same time.
        connections: Connections that one target accepts at the same time.
        connect_ms: Time that a target takes to open a connection.
        preference: Whether queries favour latency or coverage.
    """

    index: str
    shards: int
    replicas: int
    slots: int
    connections: int
    connect_ms: float
    preference: str = "latency"


@dataclass(frozen=True)
class PlanSpec:
    """Describes a plan of a deployment; its only caller key is the plan's name.

    Attributes:
        uses: Pairs of an index and the operations that the plan may run on it.
    """

    plan: str
    plan_class: str
    rate_per_s: float
    burst: int
    concurrency: int
    uses: tuple[tuple[str, tuple[str, ...]], ...]


@dataclass(frozen=True)
class OwnerSpec:
    """Describes one owner: its region, indexes, plans and number of hosts."""

    owner: str
    region: str
    failure_domains: tuple[str, ...]
    indexes: tuple[IndexSpec, ...]
    plans: tuple[PlanSpec, ...]
    hosts: int = 6


def _plan(plan: str, plan_class: str, uses: dict[str, tuple[str, ...]]) -> PlanSpec:
    return PlanSpec(plan, plan_class, 400.0, 100, 64, tuple(uses.items()))


ASSOCIATION = OwnerSpec(
    owner="association",
    region="eu-west-ie",
    failure_domains=("ie-dub-a", "ie-dub-b", "ie-cork"),
    indexes=(
        IndexSpec("venue-desk", 20, 2, 2, 25, 6.0),
        IndexSpec("promoter-view", 30, 2, 2, 25, 6.0),
        IndexSpec("refund-desk", 1, 3, 6, 110, 1.0),
        IndexSpec("pick-list", 1, 3, 6, 110, 1.0),
    ),
    plans=(
        _plan("stall-clerk", "counter", {"venue-desk": ("search",)}),
        _plan("promoter", "report", {"promoter-view": ("search",)}),
        _plan(
            "refund-clerk",
            "counter",
            {"refund-desk": ("search", "redeem", "charge")},
        ),
        _plan("picker", "warehouse", {"pick-list": ("search",)}),
    ),
)

KOINOPRAXIA = OwnerSpec(
    owner="koinopraxia",
    region="attiki",
    failure_domains=("attiki-a", "attiki-b", "attiki-c", "attiki-d"),
    indexes=(
        IndexSpec("voucher-finder", 20, 2, 2, 25, 6.0, "coverage"),
        IndexSpec("provider-desk", 30, 2, 2, 25, 6.0, "coverage"),
        IndexSpec("apprentice-app", 1, 4, 3, 40, 1.0, "coverage"),
        IndexSpec("audit-ledger", 1, 4, 3, 40, 1.0, "coverage"),
    ),
    plans=(
        _plan("employer", "counter", {"voucher-finder": ("search",)}),
        _plan("provider-clerk", "counter", {"provider-desk": ("search",)}),
        _plan(
            "apprentice",
            "self-service",
            {"apprentice-app": ("search", "redeem")},
        ),
        _plan("auditor", "audit", {"audit-ledger": ("search",)}),
    ),
)

OWNERS = (ASSOCIATION, KOINOPRAXIA)


def scaled_down(owner: OwnerSpec, shards: int, hosts: int) -> OwnerSpec:
    """Returns a copy of an owner with fewer hosts and at most `shards` per index.

    Tests and the demo use it to run a whole deployment on one machine.
    """
    indexes = tuple(
        replace(index, shards=min(index.shards, shards)) for index in owner.indexes
    )
    return replace(owner, indexes=indexes, hosts=hosts)


@dataclass(frozen=True)
class PlacedTarget:
    """A target of a deployment with its address, shard and failure domain."""

    target: str
    address: str
    owner: OwnerSpec
    index: IndexSpec
    shard: int
    failure_domain: str


def place_targets(
    owners: tuple[OwnerSpec, ...], addresses: list[str]
) -> list[PlacedTarget]:
    """Places the replicas of each shard in different failure domains of the owner.

    Args:
        owners: The owners whose targets are placed.
        addresses: At least one free address for each target.
    """
    free = iter(addresses)
    return [
        PlacedTarget(
            target=f"{index.index}-{shard}-{replica}",
            address=next(free),
            owner=owner,
            index=index,
            shard=shard,
            failure_domain=owner.failure_domains[
                (shard + replica) % len(owner.failure_domains)
            ],
        )
        for owner in owners
        for index in owner.indexes
        for shard in range(index.shards)
        for replica in range(index.replicas)
    ]


def count_targets(owners: tuple[OwnerSpec, ...]) -> int:
    """Returns the number of targets of all owners together."""
    return sum(i.shards * i.replicas for owner in owners for i in owner.indexes)


def build_publication(
    owners: tuple[OwnerSpec, ...],
    placed: list[PlacedTarget],
    version: int,
    index_versions: tuple[int, ...] = (1,),
) -> dict[str, Any]:
    """Builds the plan list and the index list in their published form.

    Args:
        owners: The owners whose plans and indexes are listed.
        placed: The targets of these owners.
        version: The version of both lists.
        index_versions: Versions of every index, all with the same shard map.
    """
    return {
        "plans": {"version": version, "plans": _plans(owners)},
        "uses": {
            "version": version,
            "indexes": [
                _index(owner, index, placed, index_versions)
                for owner in owners
                for index in owner.indexes
            ],
            "uses": _uses(owners),
        },
    }


def _plans(owners: tuple[OwnerSpec, ...]) -> list[dict[str, Any]]:
    return [
        {
            "plan": plan.plan,
            "owner": owner.owner,
            "plan_class": plan.plan_class,
            "rate_per_s": plan.rate_per_s,
            "burst": plan.burst,
            "concurrency": plan.concurrency,
            "keys": [plan.plan],
        }
        for owner in owners
        for plan in owner.plans
    ]


def _uses(owners: tuple[OwnerSpec, ...]) -> list[dict[str, Any]]:
    return [
        {"plan": plan.plan, "index": index, "operations": list(operations)}
        for owner in owners
        for plan in owner.plans
        for index, operations in plan.uses
    ]


def _index(
    owner: OwnerSpec,
    index: IndexSpec,
    placed: list[PlacedTarget],
    index_versions: tuple[int, ...],
) -> dict[str, Any]:
    own = [target for target in placed if target.index is index]
    shards = [
        [target.target for target in own if target.shard == shard]
        for shard in range(index.shards)
    ]
    return {
        "index": index.index,
        "owner": owner.owner,
        "slots": index.slots,
        "connections": index.connections,
        "preference": index.preference,
        "targets": [
            {
                "target": target.target,
                "address": target.address,
                "region": owner.region,
                "failure_domain": target.failure_domain,
            }
            for target in own
        ],
        "versions": [
            {"version": version, "shards": shards} for version in index_versions
        ],
    }


def target_specification(
    placed: list[PlacedTarget],
    control: str,
    seed: int,
    index_versions: tuple[int, ...] = (1,),
    median_ms: float = 5.0,
) -> dict[str, Any]:
    """Builds the specification that a process of `standins.targets` reads.

    Args:
        placed: The targets that the process serves.
        control: Address of the process's control endpoint.
        seed: Seed of the targets' response times.
        index_versions: Index versions that each target holds.
        median_ms: Median time of a request.
    """
    return {
        "control": control,
        "seed": seed,
        "targets": [
            {
                "target": target.target,
                "address": target.address,
                "behaviour": {
                    "slots": target.index.slots,
                    "connections": target.index.connections,
                    "connect_ms": target.index.connect_ms,
                    "median_ms": median_ms,
                    "versions": {
                        str(version): [target.shard] for version in index_versions
                    },
                },
            }
            for target in placed
        ],
    }


def daemon_settings(
    owner: OwnerSpec,
    number: int,
    addresses: tuple[str, str, str],
    seeds: list[str],
    platform: tuple[str, str],
) -> dict[str, Any]:
    """Builds the settings of one daemon, which runs on a host of its own.

    Args:
        owner: The owner that the daemon belongs to.
        number: Number of the daemon among those of its owner.
        addresses: Addresses for callers, for peers and for operators.
        seeds: Peer addresses of the fleet's seeds; the daemon's own is left out.
        platform: Addresses of the configuration and membership services.
    """
    name = f"{owner.owner}-{number}"
    callers, peers, admin = addresses
    return {
        "place": {
            "daemon": name,
            "host": f"{name}-host",
            "region": owner.region,
            "failure_domain": owner.failure_domains[
                number % len(owner.failure_domains)
            ],
        },
        "addresses": {"callers": callers, "peers": peers, "admin": admin},
        "platform": {"configuration": platform[0], "membership": platform[1]},
        "fleet": {
            "key": "not-a-secret-example-key",
            "seeds": [seed for seed in seeds if seed != peers],
        },
    }
