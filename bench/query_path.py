"""The query path under faults, against baselines, on separate processes.

`python -m bench.query_path` runs every policy through every scenario at today's sizes
and prints a table and one line of JSON. Bounds come from the stated target: p99 within
120 ms, no slot or connection breach, no answer that mixes versions, a neighbour's p99
unharmed, no refusal but under overload, and then early. `--quick` runs the chosen
policy only.
"""

import argparse
import json
import subprocess
import sys
import tempfile
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from bench.load import LoadSpec, Sample
from bench.process_stats import read_process_stats
from bench.revision import revision
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
    induce,
    name_of,
    set_out,
)
from bench.summary import Summary, read_samples, summarise
from standins.deployment import ASSOCIATION, KOINOPRAXIA, OwnerSpec
from standins.launcher import Launcher

P99_BOUND_MS = 120.0
COVERAGE_UNDER_OVERLOAD_MIN = 0.99
REFUSAL_BOUND_MS = 5.0
DEADLINE_MS = 120
FULL_DURATION_S = 12.0
START_DELAY_S = 1.5
TARGET_PROCESSES = 4
OWNERS = (ASSOCIATION, KOINOPRAXIA)
RATE_PER_S = 40.0
TAIL_SHARE = 0.005
TAIL_MS = 150.0

POLICIES: dict[str, dict[str, Any]] = {
    "chosen": {},
    "no hedging": {"policies": {"hedging": {"policy": "never"}}},
    "static share": {"policies": {"routing": {"policy": "static_share"}}},
    "any replica": {"policies": {"replicas": {"policy": "any"}}},
}
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


@dataclass(frozen=True)
class Measurement:
    """One policy in one scenario.

    Attributes:
        overloaded: The plan that sends too much, none in most scenarios.
        callers: What the callers of each plan saw.
        sub_requests: Sub-requests that the targets took.
        cpu_us: Processor time of all daemons for one sub-request.
    """

    policy: str
    scenario: str
    overloaded: str | None
    callers: dict[str, Summary]
    sub_requests: int
    slot_breaches: int
    connection_breaches: int
    cpu_us: float


def measure(
    policy: str, scenario: Scenario, duration_s: float, seed: int, folder: Path
) -> Measurement:
    """Runs one policy through one scenario."""
    launcher = Launcher(
        OWNERS,
        seed=seed,
        target_processes=TARGET_PROCESSES,
        overrides=POLICIES[policy],
        has_link_faults=isinstance(scenario, DistantDomains),
    )
    with launcher.running():
        _give_targets_a_tail(launcher)
        set_out(scenario, launcher)
        specs = _load_specs(scenario, launcher, duration_s, seed, folder)
        cpu_before_s = _daemons_cpu_s(launcher)
        processes = [start_load(spec, folder) for spec in specs]
        _sleep_until(specs[0].starts_at_s + duration_s / 3)
        induce(scenario, launcher)
        for process in processes:
            process.wait()
        cpu_s = _daemons_cpu_s(launcher) - cpu_before_s
        counts = launcher.target_counts().values()
    sub_requests = sum(count["requests"] for count in counts)
    return Measurement(
        policy=policy,
        scenario=name_of(scenario),
        overloaded=scenario.key if isinstance(scenario, NeighbourOverload) else None,
        callers={
            spec.key: summarise(_after_warm_up(read_samples(Path(spec.output))))
            for spec in specs
        },
        sub_requests=sub_requests,
        slot_breaches=sum(count["slot_breaches"] for count in counts),
        connection_breaches=sum(count["connection_breaches"] for count in counts),
        cpu_us=cpu_s / max(1, sub_requests) * 1e6,
    )


def _give_targets_a_tail(launcher: Launcher) -> None:
    for target in launcher.placed:
        launcher.change_target(target.target, tail_share=TAIL_SHARE, tail_ms=TAIL_MS)


def _load_specs(
    scenario: Scenario,
    launcher: Launcher,
    duration_s: float,
    seed: int,
    folder: Path,
) -> list[LoadSpec]:
    starts_at_s = time.monotonic() + START_DELAY_S
    rates = {"stall-clerk": RATE_PER_S, "employer": RATE_PER_S}
    if isinstance(scenario, NeighbourOverload):
        rates[scenario.key] = scenario.rate_per_s
    indexes = {"stall-clerk": "venue-desk", "employer": "voucher-finder"}
    owners: dict[str, OwnerSpec] = {"stall-clerk": OWNERS[0], "employer": OWNERS[1]}
    return [
        LoadSpec(
            hosts=tuple(_hosts_of(owners[key], scenario, launcher)),
            key=key,
            index=indexes[key],
            rate_per_s=rate,
            duration_s=duration_s,
            deadline_ms=DEADLINE_MS,
            seed=seed,
            starts_at_s=starts_at_s,
            output=str(folder / f"{key}.jsonl"),
            burst=scenario.searches if isinstance(scenario, BurstAtStart) else 0,
        )
        for key, rate in rates.items()
    ]


def _hosts_of(owner: OwnerSpec, scenario: Scenario, launcher: Launcher) -> list[str]:
    killed = scenario.daemon if isinstance(scenario, KilledDaemon) else None
    return [
        address
        for name, address in launcher.callers.items()
        if name.startswith(owner.owner) and name != killed
    ]


def start_load(spec: LoadSpec, folder: Path) -> subprocess.Popen[bytes]:
    """Starts a process of callers."""
    path = folder / f"{spec.key}.json"
    path.write_text(json.dumps(asdict(spec)))
    return subprocess.Popen([sys.executable, "-m", "bench.load", str(path)])


def _sleep_until(moment_s: float) -> None:
    time.sleep(max(0.0, moment_s - time.monotonic()))


def _daemons_cpu_s(launcher: Launcher) -> float:
    total_s = 0.0
    for name in launcher.callers:
        try:
            total_s += read_process_stats(launcher.pid_of(name)).cpu_s
        except (FileNotFoundError, IndexError):
            continue
    return total_s


def _after_warm_up(samples: list[Sample]) -> list[Sample]:
    return [sample for sample in samples if sample.at_s >= 1.0]


def problems_of(measurement: Measurement) -> list[str]:
    """Returns which bounds of the stated target a chosen-policy run has missed."""
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
    return found + _problems_of_load(measurement)


def _problems_of_load(measurement: Measurement) -> list[str]:
    """Returns which bounds on refusals a run has missed."""
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
    """Prints a measurement as rows of a table, one for each plan."""
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


def main() -> int:
    """Runs the benchmark; the exit code tells whether the bounds were kept."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration-s", type=float, default=FULL_DURATION_S)
    parser.add_argument("--scenario", help="only this one")
    options = parser.parse_args()
    policies = ["chosen"] if options.quick else list(POLICIES)
    print(f"commit {revision()}, seed {options.seed}, {options.duration_s:g} s each")
    print(HEADER)
    measurements = []
    for scenario in SCENARIOS:
        if options.scenario and name_of(scenario) != options.scenario:
            continue
        for policy in policies:
            with tempfile.TemporaryDirectory() as folder:
                measured = measure(
                    policy, scenario, options.duration_s, options.seed, Path(folder)
                )
            measurements.append(measured)
            print_row(measured)
    missed = [
        f"{m.scenario}: {problem}"
        for m in measurements
        if m.policy == "chosen"
        for problem in problems_of(m)
    ]
    for line in missed:
        print(f"missed: {line}")
    print(json.dumps([asdict(measured) for measured in measurements]))
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
