"""Measures the cost of a query and a sub-request on the entry host and on holders.

`python -m bench.data_path_slopes` runs an entry daemon without targets of its own and
one holder of slots with growing numbers of shards, and fits a line: the slope is the
cost of a sub-request, the intercept that of a query. Then the same shards are divided
among more holders, so that each frame carries fewer sub-requests; that slope is the
cost of a frame. Memory is measured with queries in flight. `--rate` sets the
sub-requests per second, since a busy process spends less time per request on wake-ups.
"""

import argparse
import json
import statistics
import sys
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path

from bench.process_stats import ProcessStats, read_process_stats
from bench.query_run import START_DELAY_S, start_load
from bench.revision import revision
from bench.samples import LoadSpec
from bench.summary import read_samples, summarise
from standins.deployment import IndexSpec, OwnerSpec, PlanSpec
from standins.launcher import Launcher

SHARDS = (10, 50, 100)
SPREAD_SHARDS = 50
HOLDERS = (1, 8)
SUB_REQUESTS_PER_S = 1_000.0
DURATION_S = 6.0
SETTLE_S = 2.0
IDLE_S = 4.0
DEADLINE_MS = 1_000
SLOW_MS = 1_500.0
SLOW_DEADLINE_MS = 2_000
IN_FLIGHT = (0, 100, 200)
ENTRY = "entry-0"
HOLDER = "holder-0"


@dataclass(frozen=True)
class Point:
    """The costs at one number of shards and holders.

    Attributes:
        queries: Number of measured queries.
        entry_us: Processor time of the entry daemon for one query.
        holder_us: Processor time of all holders together for one query.
        p50_ms: Median latency of the queries.
        whole: Share of the queries whose response covers all shards.
    """

    shards: int
    holders: int
    queries: int
    entry_us: float
    holder_us: float
    p50_ms: float
    whole: float


@dataclass(frozen=True)
class MemoryPoint:
    """Resident memory of the entry daemon and the holder with queries in flight."""

    in_flight: int
    entry_mb: float
    holder_mb: float


@dataclass(frozen=True)
class Line:
    """A line that was fitted to measured points."""

    slope: float
    intercept: float


def owners_with(shards: int, holders: int = 1) -> tuple[OwnerSpec, OwnerSpec]:
    """Returns an owner with all targets and an owner with only the entry host."""
    holder = OwnerSpec(
        owner="holder",
        region="slopes",
        failure_domains=("slopes-b",),
        indexes=(IndexSpec("wide", shards, 1, 8, 60, 1.0),),
        plans=(
            PlanSpec("wide", "bench", 10_000.0, 10_000, 10_000, (("wide", _SEARCH),)),
        ),
        hosts=holders,
    )
    entry = OwnerSpec("entry", "slopes", ("slopes-a",), (), (), hosts=1)
    return holder, entry


_SEARCH = ("search",)


def measure(
    shards: int, holders: int, rate_per_s: float, seed: int, folder: Path
) -> Point:
    """Measures the costs with a number of shards at a constant rate of sub-requests."""
    owners = owners_with(shards, holders)
    launcher = Launcher(owners, seed=seed, target_processes=4)
    with launcher.running():
        time.sleep(SETTLE_S)
        spec = _load(launcher, rate_per_s / shards, DURATION_S, seed, folder)
        before = _stats(launcher)
        process = start_load(spec, folder)
        process.wait()
        after = _stats(launcher)
        elapsed_s = time.monotonic() - spec.starts_at_s + START_DELAY_S
        idle = _cpu_over(launcher, IDLE_S)
    summary = summarise(read_samples(Path(spec.output)))
    used_s = {
        name: after[name].cpu_s - before[name].cpu_s - idle[name] * elapsed_s
        for name in before
    }
    entry_s = used_s.pop(ENTRY)
    return Point(
        shards=shards,
        holders=holders,
        queries=summary.searches,
        entry_us=entry_s / summary.searches * 1e6,
        holder_us=sum(used_s.values()) / summary.searches * 1e6,
        p50_ms=summary.p50_ms,
        whole=summary.whole,
    )


def measure_memory(in_flight: int, seed: int, folder: Path) -> MemoryPoint:
    """Measures memory while queries over 100 shards wait for slow targets."""
    launcher = Launcher(owners_with(SHARDS[-1]), seed=seed, target_processes=4)
    with launcher.running():
        for target in launcher.placed_targets:
            launcher.change_target(target.target, median_ms=SLOW_MS)
        if in_flight:
            spec = _load(launcher, in_flight * 4.0, 0.25, seed, folder)
            process = start_load(spec, folder)
            time.sleep(START_DELAY_S + 0.25 + SLOW_MS / 2000)
            stats = _stats(launcher)
            process.wait()
        else:
            stats = _stats(launcher)
    return MemoryPoint(in_flight, stats[ENTRY].rss_mb, stats[HOLDER].rss_mb)


def _load(
    launcher: Launcher, rate_per_s: float, duration_s: float, seed: int, folder: Path
) -> LoadSpec:
    return LoadSpec(
        hosts=(launcher.callers[ENTRY],),
        key="wide",
        index="wide",
        rate_per_s=rate_per_s,
        duration_s=duration_s,
        deadline_ms=DEADLINE_MS if duration_s > 1 else SLOW_DEADLINE_MS,
        seed=seed,
        starts_at_s=time.monotonic() + START_DELAY_S,
        output=str(folder / "wide.jsonl"),
    )


def _stats(launcher: Launcher) -> dict[str, ProcessStats]:
    return {
        name: read_process_stats(launcher.pid_of(name)) for name in launcher.callers
    }


def _cpu_over(launcher: Launcher, span_s: float) -> dict[str, float]:
    before = _stats(launcher)
    time.sleep(span_s)
    after = _stats(launcher)
    return {name: (after[name].cpu_s - before[name].cpu_s) / span_s for name in before}


def fit(points: list[tuple[float, float]]) -> Line:
    """Fits a line to points by least squares."""
    xs, ys = zip(*points, strict=True)
    line = statistics.linear_regression(xs, ys)
    return Line(line.slope, line.intercept)


HEADER = (
    "| shards | holders | queries | entry us/query | holders us/query "
    "| p50 ms | whole |"
)


def main() -> int:
    """Measures and prints the points and the fitted lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=SUB_REQUESTS_PER_S)
    options = parser.parse_args()
    seed, rate_per_s = options.seed, options.rate
    print(f"commit {revision()}, seed {seed}, {rate_per_s:g} sub-requests/s")
    with tempfile.TemporaryDirectory() as folder:
        points = [
            measure(shards, 1, rate_per_s, seed, Path(folder)) for shards in SHARDS
        ]
        by_holders = [
            measure(SPREAD_SHARDS, n, rate_per_s, seed, Path(folder)) for n in HOLDERS
        ]
        memory = [measure_memory(count, seed, Path(folder)) for count in IN_FLIGHT]
    print(HEADER)
    print("|---" * 7 + "|")
    for p in points + by_holders:
        print(
            f"| {p.shards} | {p.holders} | {p.queries} "
            f"| {p.entry_us:.0f} | {p.holder_us:.0f} "
            f"| {p.p50_ms:.1f} | {p.whole:.4f} |"
        )
    print("| queries in flight | entry MB | holder MB |")
    print("|---" * 3 + "|")
    for m in memory:
        print(f"| {m.in_flight} | {m.entry_mb:.1f} | {m.holder_mb:.1f} |")
    lines = {
        "entry_us": fit([(p.shards, p.entry_us) for p in points]),
        "holder_us": fit([(p.shards, p.holder_us) for p in points]),
        "entry_frame_us": fit([(p.holders, p.entry_us) for p in by_holders]),
        "holder_frame_us": fit([(p.holders, p.holder_us) for p in by_holders]),
        "entry_mb": fit([(m.in_flight, m.entry_mb) for m in memory]),
        "holder_mb": fit([(m.in_flight, m.holder_mb) for m in memory]),
    }
    for name, line in lines.items():
        print(f"{name}: {line.intercept:.2f} + {line.slope:.3f} x")
    print(
        json.dumps(
            {
                "points": [asdict(point) for point in points + by_holders],
                "memory": [asdict(point) for point in memory],
                "lines": {name: asdict(line) for name, line in lines.items()},
            }
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
