"""Measures the query path under faults and compares it with baseline policies.

`python -m bench.query_path` runs every policy through every scenario on separate
processes at the sizes of the current deployments. It prints a table and one line of
JSON. The bounds come from the stated performance target: p99 within 120 ms, also for
the neighbour of an overloaded plan; no slot or connection breach; no response that
mixes versions; refusals only under overload, and then early. `--quick` runs the
chosen policy only. Each scenario is also written as a run for `lavendertide report`.
"""

import argparse
import json
import sys
import tempfile
from dataclasses import asdict
from datetime import UTC, datetime
from pathlib import Path

from bench.query_run import (
    POLICIES,
    TAIL_MS,
    TAIL_SHARE,
    Measurement,
    fault_at_s,
    measure,
)
from bench.revision import revision
from bench.run_file import Variants, write_run
from bench.scenarios import (
    BurstAtStart,
    Calm,
    DistantDomains,
    KilledDaemon,
    KilledReplica,
    NeighbourOverload,
    Scenario,
    SlowTarget,
    VersionChange,
    describe_fault,
    name_of,
)
from lavendertide.reports.run import FaultRecord, RunHeader

P99_BOUND_MS = 120.0
COVERAGE_UNDER_OVERLOAD_MIN = 0.99
REFUSAL_BOUND_MS = 5.0
FULL_DURATION_S = 12.0
RUNS = Path("build/runs")
SCENARIOS: tuple[Scenario, ...] = (
    Calm(),
    SlowTarget("venue-desk", 80.0),
    KilledReplica("venue-desk"),
    KilledDaemon("association-1"),
    NeighbourOverload("employer", "voucher-finder", 400.0),
    VersionChange("venue-desk"),
    BurstAtStart(40),
    DistantDomains(0.005, 0.020, 0.001),
)


def find_missed_bounds(measurement: Measurement) -> list[str]:
    """Returns a line for each bound that a run of the chosen policy missed."""
    found = []
    if measurement.slot_breaches:
        found.append(f"{measurement.slot_breaches} slot breaches")
    if measurement.connection_breaches:
        found.append(f"{measurement.connection_breaches} connection breaches")
    for key, summary in measurement.callers.items():
        if summary.mixed:
            found.append(f"{key}: {summary.mixed} answers mix versions")
        if summary.p99_ms > P99_BOUND_MS:
            found.append(f"{key}: p99 is {summary.p99_ms:.0f} ms")
    return found + _find_missed_load_bounds(measurement)


def _find_missed_load_bounds(measurement: Measurement) -> list[str]:
    """Returns a line for each missed bound on refusals and on an overloaded plan."""
    found = []
    for key, summary in measurement.callers.items():
        if key != measurement.overloaded:
            if summary.refused:
                found.append(f"{key}: {summary.refusals} without overload")
            continue
        if summary.coverage < COVERAGE_UNDER_OVERLOAD_MIN:
            found.append(f"{key}: answers cover {summary.coverage:.3f}")
        if summary.refused_p50_ms > REFUSAL_BOUND_MS:
            found.append(f"{key}: refused after {summary.refused_p50_ms:.1f} ms")
    return found


def print_row(measurement: Measurement) -> None:
    """Prints a measurement as table rows, one for each plan."""
    for key, summary in measurement.callers.items():
        print(
            f"| {measurement.scenario} | {measurement.policy} | {key} "
            f"| {summary.searches} | {summary.p50_ms:.1f} | {summary.p99_ms:.1f} "
            f"| {summary.p999_ms:.1f} | {summary.coverage:.5f} | {summary.whole:.4f} "
            f"| {summary.refused} | {summary.refused_p50_ms:.1f} | {summary.broken} "
            f"| {summary.extra_load:.4f} "
            f"| {measurement.slot_breaches} | {measurement.connection_breaches} "
            f"| {measurement.cpu_us:.0f} |",
            flush=True,
        )


HEADER = (
    "| scenario | policy | plan | searches | p50 ms | p99 ms | p99.9 ms | coverage "
    "| whole | refused | refused p50 ms | broken | extra load | slot breaches "
    "| connection breaches | CPU us/sub-request |\n" + "|---" * 16 + "|"
)


def write_scenario(
    folder: Path, scenario: Scenario, variants: Variants, duration_s: float, seed: int
) -> Path:
    """Writes the results of all policies in one scenario and returns the file."""
    header = RunHeader(
        title=f"Query path: {name_of(scenario)}",
        commit=revision(),
        seed=seed,
        started_at=datetime.now(UTC).isoformat(timespec="seconds"),
        latency_bound_ms=P99_BOUND_MS,
        notes=(
            "Today's sizes on one machine; links without delay.",
            f"{TAIL_SHARE:.1%} of the sub-requests take {TAIL_MS:g} ms.",
        ),
    )
    fault, at_s = describe_fault(scenario), fault_at_s(duration_s)
    faults = [] if fault is None else [FaultRecord(name=fault, starts_at_s=at_s)]
    path = folder / f"{name_of(scenario)}.jsonl"
    write_run(path, header, variants, faults)
    return path


def main() -> int:
    """Runs the benchmark; the exit code is 1 if a bound was missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=FULL_DURATION_S)
    parser.add_argument("--scenario", help="run only this scenario")
    parser.add_argument("--runs", type=Path, default=RUNS, help="folder for the runs")
    options = parser.parse_args()
    policies = ["chosen"] if options.quick else list(POLICIES)
    print(f"commit {revision()}, seed {options.seed}, {options.duration_s:g} s each")
    print(HEADER)
    measurements: list[Measurement] = []
    written: list[Path] = []
    for scenario in SCENARIOS:
        if options.scenario and name_of(scenario) != options.scenario:
            continue
        variants: Variants = {}
        for policy in policies:
            with tempfile.TemporaryDirectory() as folder:
                measured, samples_by_key = measure(
                    policy, scenario, options.duration_s, options.seed, Path(folder)
                )
            measurements.append(measured)
            print_row(measured)
            variants |= {
                f"{policy}, {key}": samples for key, samples in samples_by_key.items()
            }
        path = write_scenario(
            options.runs, scenario, variants, options.duration_s, options.seed
        )
        written.append(path)
    missed_bounds = [
        f"{m.scenario}: {problem}"
        for m in measurements
        if m.policy == "chosen"
        for problem in find_missed_bounds(m)
    ]
    for path in written:
        print(f"lavendertide report {path} -o {path.with_suffix('.html')}")
    for line in missed_bounds:
        print(f"missed: {line}")
    print(json.dumps([asdict(measured) for measured in measurements]))
    return 1 if missed_bounds else 0


if __name__ == "__main__":
    sys.exit(main())
