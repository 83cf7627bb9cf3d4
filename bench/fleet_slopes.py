"""Measures how a daemon's cost of fleet coordination grows with the fleet.

`python -m bench.fleet_slopes [SIZE ...]` starts idle fleets of growing size on one
machine, with as many targets per daemon as at the target size. It prints a table and
one line of JSON, and extrapolates the fitted lines to the target size. The exit code is
1 if an extrapolated value exceeds the budget of a node.
"""

import json
import signal
import statistics
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from typing import Any, Final

from bench.process_stats import read_process_stats
from bench.revision import revision
from standins.deployment import IndexSpec, OwnerSpec, PlanSpec
from standins.launcher import Launcher

SIZES: Final = (4, 8, 16, 32, 64)
SEED: Final = 1
SETTLE_MIN_S: Final = 5.0
SETTLE_PER_DAEMON_S: Final = 0.25  # until the gossip of the common start has ended
WINDOW_S: Final = 20.0
CHANGES: Final = 3
POLL_S: Final = 0.02
GIVE_UP_S: Final = 30.0
DAEMONS_PER_NODE: Final = 3
TARGET_NODES: Final = 510
TARGET_DAEMONS: Final = TARGET_NODES * DAEMONS_PER_NODE
TARGETS: Final = 2_200
REPLICAS: Final = 2
CPU_BUDGET_PERCENT: Final = 1.9
BYTES_BUDGET: Final = 12_000
CHANGE_BUDGET_S: Final = 6.0
WATCH_ALL_MAX: Final = 10


@dataclass(frozen=True)
class Sample:
    """The measurements of one fleet size, per daemon unless stated otherwise.

    Attributes:
        daemons: Size of the fleet.
        cpu_percent: Median processor time of a daemon, in percent of a core.
        cpu_max_percent: Highest processor time of a daemon, in percent of a core.
        rss_mb: Median resident memory of a daemon.
        bytes_per_s: Mean bytes per second that a daemon exchanges with its peers, sent
            and received together.
        death_median_s: Median time until a daemon detected the death of a killed one.
        death_max_s: Longest such time.
        change_median_s: Median time until a configuration change was in force on all
            daemons.
        change_max_s: Longest such time.
        reads_per_s: Reads of the configuration service per second, by the whole fleet.
        suspicions: Suspicions of the whole fleet before the daemon was killed.
        removals: Removals of the whole fleet before the daemon was killed.
    """

    daemons: int
    cpu_percent: float
    cpu_max_percent: float
    rss_mb: float
    bytes_per_s: float
    death_median_s: float
    death_max_s: float
    change_median_s: float
    change_max_s: float
    reads_per_s: float
    suspicions: int
    removals: int


def main() -> int:
    """Measures all sizes and returns the exit code."""
    sizes = [int(argument) for argument in sys.argv[1:]] or list(SIZES)
    samples = []
    for size in sizes:
        samples.append(_measure(size))
        _print_row(asdict(samples[-1]), has_header=len(samples) == 1)
    extrapolated = _extrapolate(samples)
    result = {
        "bench": "fleet_slopes",
        "commit": revision(),
        "seed": SEED,
        "samples": [asdict(sample) for sample in samples],
        "at_target": extrapolated,
    }
    print(json.dumps(result))
    return 0 if extrapolated.get("fits", True) else 1


def _owner(size: int) -> OwnerSpec:
    shards = max(1, round(size * TARGETS / TARGET_DAEMONS / REPLICAS))
    uses = (("index", ("search",)),)
    return OwnerSpec(
        owner="owner",
        region="north",
        failure_domains=tuple(f"north-{letter}" for letter in "abcdefg"),
        indexes=(IndexSpec("index", shards, REPLICAS, 2, 25, 0.0),),
        plans=(PlanSpec("plan", "counter", 100.0, 100, 64, uses),),
        hosts=size,
    )


def _measure(size: int) -> Sample:
    launcher = Launcher((_owner(size),), SEED, target_processes=1)
    with launcher.running(), ThreadPoolExecutor(8) as pool:
        names = list(launcher.admins)
        time.sleep(SETTLE_MIN_S + size * SETTLE_PER_DAEMON_S)
        idle = _measure_idle(launcher, names)
        changes = [_measure_change(launcher, names, pool) for _ in range(CHANGES)]
        suspicions = _sum_metric(launcher, names, "lavendertide_suspicions_total")
        removals = _sum_metric(launcher, names, "lavendertide_removals_total")
        deaths = _measure_death(launcher, names, pool)
    return Sample(
        daemons=size,
        **idle,
        death_median_s=round(statistics.median(deaths), 2),
        death_max_s=round(max(deaths), 2),
        change_median_s=round(statistics.median(changes), 2),
        change_max_s=round(max(changes), 2),
        suspicions=round(suspicions),
        removals=round(removals),
    )


def _measure_idle(launcher: Launcher, names: list[str]) -> dict[str, float]:
    pids = [launcher.pid_of(name) for name in names]
    bytes_before = _sum_metric(launcher, names, "lavendertide_peer_bytes_total")
    reads_before = launcher.get_json(launcher.configuration, "/v1/counts")["reads"]
    before = [read_process_stats(pid).cpu_s for pid in pids]
    started_s = time.monotonic()
    time.sleep(WINDOW_S)
    after = [read_process_stats(pid) for pid in pids]
    took_s = time.monotonic() - started_s
    reads = launcher.get_json(launcher.configuration, "/v1/counts")["reads"]
    sent = _sum_metric(launcher, names, "lavendertide_peer_bytes_total") - bytes_before
    bytes_s = time.monotonic() - started_s
    shares = [
        100 * (later.cpu_s - earlier) / took_s
        for later, earlier in zip(after, before, strict=True)
    ]
    return {
        "cpu_percent": round(statistics.median(shares), 3),
        "cpu_max_percent": round(max(shares), 3),
        "rss_mb": round(statistics.median(later.rss_mb for later in after), 1),
        "bytes_per_s": round(sent / bytes_s / len(names), 1),
        "reads_per_s": round((reads - reads_before) / took_s, 2),
    }


def _measure_change(
    launcher: Launcher, names: list[str], pool: ThreadPoolExecutor
) -> float:
    version = launcher.publish()

    def has_adopted(name: str) -> bool:
        return bool(launcher.status(name)["configuration"] >= version)

    return max(_measure_times_until(has_adopted, names, pool))


def _measure_death(
    launcher: Launcher, names: list[str], pool: ThreadPoolExecutor
) -> list[float]:
    victim, others = names[-1], names[:-1]
    launcher.signal_daemon(victim, signal.SIGKILL)

    def has_detected(name: str) -> bool:
        members = launcher.status(name)["members"]
        return not any(m["daemon"] == victim and m["reachable"] for m in members)

    return _measure_times_until(has_detected, others, pool)


def _measure_times_until(
    condition: Any, names: list[str], pool: ThreadPoolExecutor
) -> list[float]:
    """Polls a condition on each daemon and returns the times until it held.

    If the condition does not hold on all daemons after `GIVE_UP_S`, the times end with
    one `GIVE_UP_S`, however many daemons are left.
    """
    started_s = time.monotonic()
    times: dict[str, float] = {}
    while len(times) < len(names):
        waiting = [name for name in names if name not in times]
        for name, holds in zip(waiting, pool.map(condition, waiting), strict=True):
            if holds:
                times[name] = time.monotonic() - started_s
        if time.monotonic() - started_s > GIVE_UP_S:
            return [*times.values(), GIVE_UP_S]
        time.sleep(POLL_S)
    return list(times.values())


def _sum_metric(launcher: Launcher, names: list[str], metric: str) -> float:
    return sum(launcher.metric(name, metric) for name in names)


def _extrapolate(samples: list[Sample]) -> dict[str, Any]:
    """Extrapolates the results of the larger fleets to the target size.

    Fleets in which every daemon watches all others are left out. A daemon watches a
    constant number of members, and a change is sent on a logarithmic number of times,
    so the fit in the logarithm of the size decides. The fit linear in the size is
    printed too; with so few sizes it extrapolates the noise of the processor time,
    which `/proc` counts in steps of 0.05% of a core in this window.
    """
    large = [sample for sample in samples if sample.daemons > WATCH_ALL_MAX]
    if len(large) < 2:
        return {}
    cpu = _fit_at_target(large, [s.cpu_percent for s in large])
    volume = _fit_at_target(large, [s.bytes_per_s for s in large])
    change = _fit_at_target(large, [s.change_max_s for s in large])
    death = _fit_at_target(large, [s.death_max_s for s in large])
    node_cpu = DAEMONS_PER_NODE * cpu[0]
    node_bytes = DAEMONS_PER_NODE * volume[0]
    return {
        "daemons": TARGET_DAEMONS,
        "node_cpu_percent": round(node_cpu, 3),
        "node_bytes_per_s": round(node_bytes),
        "cpu_percent_log_linear": cpu,
        "bytes_per_s_log_linear": volume,
        "change_s_log_linear": change,
        "death_s_log_linear": death,
        "fits": node_cpu <= CPU_BUDGET_PERCENT
        and node_bytes <= BYTES_BUDGET
        and change[0] <= CHANGE_BUDGET_S,
    }


def _fit_at_target(samples: list[Sample], values: list[float]) -> tuple[float, float]:
    """Returns two extrapolations to the target size.

    The first is a fit in log2 of the size, the second a fit linear in the size.
    """
    sizes = [float(sample.daemons) for sample in samples]
    logs = [size.bit_length() - 1.0 for size in (s.daemons for s in samples)]
    by_log = statistics.linear_regression(logs, values)
    by_size = statistics.linear_regression(sizes, values)
    log_target = TARGET_DAEMONS.bit_length() - 0.5
    return (
        round(by_log.intercept + by_log.slope * log_target, 3),
        round(by_size.intercept + by_size.slope * TARGET_DAEMONS, 3),
    )


def _print_row(row: dict[str, Any], has_header: bool) -> None:
    if has_header:
        print("| " + " | ".join(row) + " |")
        print("|" + " --- |" * len(row))
    print("| " + " | ".join(str(value) for value in row.values()) + " |", flush=True)


if __name__ == "__main__":
    sys.exit(main())
