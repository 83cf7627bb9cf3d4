"""Measures the cost of a configuration change and the time until all daemons adopt it.

`python -m bench.configuration_spread` times adoptions of lists of the target size in
this process, then publishes changes to a fleet of separate daemons. It prints tables
and one line of JSON. The bounds come from the stated performance target: a change is in
force everywhere within 6 s, and changes use no more than a quarter of a node's budget
of 1.9% of a core and 12 KB/s.
"""

import copy
import json
import statistics
import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any, Final

from bench.configuration_costs import ROUNDS, catalog_mb, measure_costs
from bench.configuration_lists import (
    SEED,
    Lists,
    change_index,
    change_plan,
    encode,
    large_lists,
)
from bench.process_stats import read_process_stats
from bench.revision import revision
from lavendertide.configuration.adoption import Configuration
from lavendertide.encodings.peer_frames import encode_frame
from lavendertide.messages import (
    ConfigurationOffer,
    ConfigurationPull,
    ConfigurationPush,
)
from standins.deployment import ASSOCIATION, scaled_down
from standins.launcher import Launcher

DAEMONS: Final = 12
CHANGES: Final = 30
CHANGE_PAUSE_S: Final = 0.5
IDLE_S: Final = 5.0
SETTLE_S: Final = 3.0
GIVE_UP_S: Final = 30.0
CHANGES_A_DAY: Final = 1_500
DAY_S: Final = 86_400
DAEMONS_A_NODE: Final = 3
IN_FORCE_BOUND_S: Final = 6.0
CORE_SHARE_BOUND: Final = 0.019 / 4
BYTES_BOUND_PER_S: Final = 12_000 / 4
PACKET_OVERHEAD_BYTES: Final = 66


@dataclass(frozen=True, slots=True)
class ReplicationCost:
    """How a fleet replicated a number of configuration changes.

    Attributes:
        daemons: Size of the fleet.
        changes: Number of published changes.
        in_force_median_ms: Median time from the publication of a change until the last
            daemon has adopted it.
        in_force_max_ms: Longest such time.
        cpu_ms: Processor time of one daemon for one change.
        bytes_per_change: Bytes that one daemon sends for one change.
        idle_bytes_per_s: Bytes per second that one daemon sends without changes, to
            compare stamps with its peers.
        reads_per_change: Reads of the configuration service for one change.
        rss_growth_mb: Growth of one daemon's resident memory over all changes.
    """

    daemons: int
    changes: int
    in_force_median_ms: float
    in_force_max_ms: float
    cpu_ms: float
    bytes_per_change: float
    idle_bytes_per_s: float
    reads_per_change: float
    rss_growth_mb: float


def main() -> int:
    """Runs all measurements; returns 1 if a bound is missed."""
    costs = measure_costs()
    held_mb = catalog_mb()
    print(f"lists of {len(encode(large_lists(SEED)))} bytes, {ROUNDS} rounds")
    for cost in costs:
        print(
            f"{cost.kind:40} {cost.median_ms:7.1f} ms median {cost.max_ms:7.1f} ms max"
            f" {cost.wire_bytes:8} bytes"
        )
    print(f"one configuration holds {held_mb:.1f} MB")
    replication = _measure_replication()
    _print_replication(replication)
    summary = {
        "commit": revision(),
        "seed": SEED,
        "costs": [asdict(cost) for cost in costs],
        "catalog_mb": round(held_mb, 2),
        "spread": asdict(replication),
        "node_at_target": _node_at_target(replication),
    }
    print(json.dumps(summary))
    return 0 if _within_bounds(replication) else 1


def _measure_replication() -> ReplicationCost:
    launcher = Launcher((scaled_down(ASSOCIATION, 1, DAEMONS),), target_processes=1)
    with launcher.running():
        return _measure_fleet(launcher)


def _measure_fleet(launcher: Launcher) -> ReplicationCost:
    lists = large_lists(SEED, version=10)
    _publish(launcher, lists)
    time.sleep(SETTLE_S)
    idle = _measure_usage(launcher, lambda: time.sleep(IDLE_S))
    in_force_ms: list[float] = []
    reads = _service_reads(launcher)
    busy = _measure_usage(
        launcher, lambda: in_force_ms.extend(_publish_changes(launcher, lists))
    )
    idle_cpu_s = idle.cpu_s / idle.elapsed_s * busy.elapsed_s
    idle_bytes = idle.sent_bytes / idle.elapsed_s * busy.elapsed_s
    per_change = DAEMONS * CHANGES
    return ReplicationCost(
        daemons=DAEMONS,
        changes=CHANGES,
        in_force_median_ms=round(statistics.median(in_force_ms), 1),
        in_force_max_ms=round(max(in_force_ms), 1),
        cpu_ms=round((busy.cpu_s - idle_cpu_s) / per_change * 1000, 2),
        bytes_per_change=round((busy.sent_bytes - idle_bytes) / per_change, 1),
        idle_bytes_per_s=round(idle.sent_bytes / idle.elapsed_s / DAEMONS, 1),
        reads_per_change=round((_service_reads(launcher) - reads) / CHANGES, 1),
        rss_growth_mb=round(busy.rss_growth_mb / DAEMONS, 2),
    )


def _publish_changes(launcher: Launcher, lists: Lists) -> list[float]:
    times_ms = []
    for number in range(CHANGES):
        change = change_plan if number % 2 else change_index
        change(lists, number)
        times_ms.append(_publish(launcher, lists))
        time.sleep(CHANGE_PAUSE_S)
    return times_ms


def _publish(launcher: Launcher, lists: Lists) -> float:
    """Publishes lists and waits until all daemons have adopted them.

    Returns:
        Time from publishing to the adoption by the last daemon, in ms.
    """
    version = lists["plans"]["version"]
    started_s = time.monotonic()
    launcher.post(launcher.configuration, "/v1/publish", copy.deepcopy(lists))
    adopted_at_s: list[float] = []
    for name in launcher.admins:
        status = _status(launcher, name)
        while status["version"] < version:
            if time.monotonic() - started_s > GIVE_UP_S:
                raise TimeoutError(f"{name} has not adopted {version}: {status}")
            time.sleep(0.02)
            status = _status(launcher, name)
        adopted_at_s.append(time.monotonic() - status["adopted_ago_s"])
    return (max(adopted_at_s) - started_s) * 1000


def _service_reads(launcher: Launcher) -> int:
    return int(launcher.get_json(launcher.configuration, "/v1/counts")["reads"])


def _status(launcher: Launcher, name: str) -> dict[str, Any]:
    status: dict[str, Any] = launcher.get_json(
        launcher.admins[name], "/v1/configuration"
    )
    return status


@dataclass(frozen=True, slots=True)
class _Usage:
    elapsed_s: float
    cpu_s: float
    sent_bytes: float
    rss_growth_mb: float


def _measure_usage(launcher: Launcher, action: Callable[[], None]) -> _Usage:
    before = [read_process_stats(launcher.pid_of(name)) for name in launcher.admins]
    sent_bytes = _sent_bytes(launcher)
    started_s = time.monotonic()
    action()
    elapsed_s = time.monotonic() - started_s
    after = [read_process_stats(launcher.pid_of(name)) for name in launcher.admins]
    return _Usage(
        elapsed_s,
        sum(s.cpu_s for s in after) - sum(s.cpu_s for s in before),
        _sent_bytes(launcher) - sent_bytes,
        sum(s.rss_mb for s in after) - sum(s.rss_mb for s in before),
    )


def _sent_bytes(launcher: Launcher) -> float:
    """Estimates the bytes that the fleet has sent to replicate the configuration.

    Each daemon counts the frames of each kind. The size of a frame includes the
    overhead of one network packet.
    """
    lists = large_lists(SEED)
    configuration = Configuration()
    configuration.adopt_text(encode(lists), 0.0)
    base = configuration.stamp
    change_index(lists, 0)
    configuration.adopt_text(encode(lists), 1.0)
    delta = configuration.delta_since(base)
    assert delta is not None
    stamp = configuration.stamp
    sizes = {
        "offers_sent": len(encode_frame(ConfigurationOffer(0, stamp, True, None))),
        "pulls_sent": len(encode_frame(ConfigurationPull(stamp, 1))),
        "deltas_sent": len(encode_frame(delta)),
        "wholes_sent": len(encode_frame(ConfigurationPush(stamp, configuration.text))),
    }
    counts = [_status(launcher, name)["spreading"] for name in launcher.admins]
    return sum(
        float(count[kind]) * (size + PACKET_OVERHEAD_BYTES)
        for count in counts
        for kind, size in sizes.items()
    )


def _node_at_target(replication: ReplicationCost) -> dict[str, float]:
    changes_per_s = CHANGES_A_DAY / DAY_S
    core_share = DAEMONS_A_NODE * replication.cpu_ms / 1000 * changes_per_s
    bytes_per_s = DAEMONS_A_NODE * (
        replication.idle_bytes_per_s + replication.bytes_per_change * changes_per_s
    )
    return {
        "core_percent": round(core_share * 100, 4),
        "bytes_per_s": round(bytes_per_s, 1),
    }


def _print_replication(replication: ReplicationCost) -> None:
    node = _node_at_target(replication)
    print(f"{replication.daemons} daemons, {replication.changes} changes")
    print(
        f"in force everywhere: {replication.in_force_median_ms} ms median, "
        f"{replication.in_force_max_ms} ms max"
    )
    print(
        f"a daemon: {replication.cpu_ms} ms of processor and "
        f"{replication.bytes_per_change} bytes sent per change, "
        f"{replication.idle_bytes_per_s} bytes/s without changes"
    )
    print(f"calls of the service per change: {replication.reads_per_change}")
    print(
        f"a node with {DAEMONS_A_NODE} daemons at {CHANGES_A_DAY} changes a day: "
        f"{node['core_percent']}% of a core, {node['bytes_per_s']} bytes/s"
    )


def _within_bounds(replication: ReplicationCost) -> bool:
    node = _node_at_target(replication)
    return (
        replication.in_force_max_ms <= IN_FORCE_BOUND_S * 1000
        and node["core_percent"] <= CORE_SHARE_BOUND * 100
        and node["bytes_per_s"] <= BYTES_BOUND_PER_S
    )


if __name__ == "__main__":
    sys.exit(main())
