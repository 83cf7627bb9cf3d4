"""Generates published lists of the target size from a seed."""

import json
import random
from typing import Any, Final

SEED: Final = 1
INDEXES: Final = 44
SHARDS: Final = 25
REPLICAS: Final = 2
VERSIONS: Final = 2
PLANS: Final = 600
KEY_DIGITS: Final = 24
DOMAINS: Final = (
    ("region-a", ("a-1", "a-2", "a-3")),
    ("region-b", ("b-1", "b-2", "b-3", "b-4")),
)
PUBLICATION_BYTES: Final = 960_000

Lists = dict[str, Any]


def large_lists(seed: int, version: int = 1) -> Lists:
    """Generates lists of nearly a megabyte.

    44 indexes of 25 shards with 2 replicas make 2,200 targets. Caller keys are added to
    the 600 plans until the encoded text has the size `PUBLICATION_BYTES`.

    Args:
        seed: Seed of the caller keys.
        version: Version of both lists.
    """
    numbers = random.Random(seed)
    lists: Lists = {
        "plans": {"version": version, "plans": [_plan(n) for n in range(PLANS)]},
        "uses": {
            "version": version,
            "indexes": [_index(number) for number in range(INDEXES)],
            "uses": [_use(number) for number in range(PLANS)],
        },
    }
    missing = PUBLICATION_BYTES - len(encode(lists))
    key_bytes = KEY_DIGITS + 3
    for number in range(missing // key_bytes):
        key = f"{numbers.getrandbits(4 * KEY_DIGITS):0{KEY_DIGITS}x}"
        lists["plans"]["plans"][number % PLANS]["keys"].append(key)
    return lists


def encode(lists: Lists) -> bytes:
    """Encodes lists in the way the configuration service returns them."""
    return json.dumps(lists, separators=(",", ":")).encode()


def change_plan(lists: Lists, number: int) -> None:
    """Raises the rate of one plan and the version of the lists."""
    plan = lists["plans"]["plans"][number % PLANS]
    plan["rate_per_s"] += 1.0
    _raise_version(lists)


def change_index(lists: Lists, number: int) -> None:
    """Replaces the oldest version of one index by its next version.

    Also raises the version of the lists.
    """
    index = lists["uses"]["indexes"][number % INDEXES]
    newest = dict(index["versions"][-1])
    newest["version"] += 1
    index["versions"] = [*index["versions"][1:], newest]
    _raise_version(lists)


def _raise_version(lists: Lists) -> None:
    lists["plans"]["version"] += 1
    lists["uses"]["version"] += 1


def _plan(number: int) -> Lists:
    return {
        "plan": f"plan-{number}",
        "owner": f"owner-{number % INDEXES}",
        "plan_class": "counter",
        "rate_per_s": 400.0,
        "burst": 100,
        "concurrency": 64,
        "keys": [],
    }


def _use(number: int) -> Lists:
    return {
        "plan": f"plan-{number}",
        "index": f"index-{number % INDEXES}",
        "operations": ["search"],
    }


def _index(number: int) -> Lists:
    targets = [_target(number, n) for n in range(SHARDS * REPLICAS)]
    shards = [
        [targets[REPLICAS * shard + replica]["target"] for replica in range(REPLICAS)]
        for shard in range(SHARDS)
    ]
    return {
        "index": f"index-{number}",
        "owner": f"owner-{number}",
        "slots": 2,
        "connections": 25,
        "preference": "latency",
        "targets": targets,
        "versions": [
            {"version": version + 1, "shards": shards} for version in range(VERSIONS)
        ],
    }


def _target(index: int, number: int) -> Lists:
    region, domains = DOMAINS[index % len(DOMAINS)]
    serial = index * SHARDS * REPLICAS + number
    return {
        "target": f"index-{index}-{number}",
        "address": f"127.{serial // 250 + 1}.{serial % 250}.1:7000",
        "region": region,
        "failure_domain": domains[number % len(domains)],
    }
