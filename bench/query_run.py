"""Runs one query policy through one scenario on separate processes."""

import json
import subprocess
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from bench.process_stats import read_process_stats
from bench.run_file import Variants
from bench.samples import LoadSpec, Sample
from bench.scenarios import (
    BurstAtStart,
    DistantDomains,
    KilledDaemon,
    NeighbourOverload,
    Scenario,
    inject_fault,
    name_of,
    prepare,
)
from bench.summary import Summary, read_samples, summarise
from standins.deployment import ASSOCIATION, KOINOPRAXIA, OwnerSpec
from standins.launcher import Launcher

DEADLINE_MS = 120
# Time after which the allocators of plans know the daemons that use each plan.
START_DELAY_S = 6.5
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


@dataclass(frozen=True)
class Measurement:
    """The results of one policy in one scenario.

    Attributes:
        overloaded: The plan whose callers exceed its rate, or None.
        callers: Summary of the responses to the callers of each plan.
        sub_requests: Sub-requests that the targets received.
        slot_breaches: Requests that targets started above their slots.
        connection_breaches: Connections that were opened above a target's limit.
        cpu_us: Processor time of all daemons together for one sub-request.
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
) -> tuple[Measurement, Variants]:
    """Runs one policy through one scenario.

    Args:
        policy: Name of the policy in `POLICIES`.
        scenario: The fault or load.
        duration_s: Time in which searches arrive.
        seed: Seed of the arrivals and of the targets' response times.
        folder: Folder for specifications and samples.

    Returns:
        The measurement, and the samples of the callers of each plan.
    """
    launcher = Launcher(
        OWNERS,
        seed=seed,
        target_processes=TARGET_PROCESSES,
        overrides=POLICIES[policy],
        has_link_faults=isinstance(scenario, DistantDomains),
    )
    with launcher.running():
        _set_target_tails(launcher)
        prepare(scenario, launcher)
        specs = _load_specs(scenario, launcher, duration_s, seed, folder)
        cpu_before_s = _daemons_cpu_s(launcher)
        processes = [start_load(spec, folder) for spec in specs]
        _sleep_until(specs[0].starts_at_s + fault_at_s(duration_s))
        inject_fault(scenario, launcher)
        for process in processes:
            process.wait()
        cpu_s = _daemons_cpu_s(launcher) - cpu_before_s
        counts = launcher.target_counts().values()
    sub_requests = sum(count["requests"] for count in counts)
    samples_by_key = {
        spec.key: _after_warm_up(read_samples(Path(spec.output))) for spec in specs
    }
    measurement = Measurement(
        policy=policy,
        scenario=name_of(scenario),
        overloaded=scenario.key if isinstance(scenario, NeighbourOverload) else None,
        callers={key: summarise(samples) for key, samples in samples_by_key.items()},
        sub_requests=sub_requests,
        slot_breaches=sum(count["slot_breaches"] for count in counts),
        connection_breaches=sum(count["connection_breaches"] for count in counts),
        cpu_us=cpu_s / max(1, sub_requests) * 1e6,
    )
    return measurement, samples_by_key


def fault_at_s(duration_s: float) -> float:
    """Returns the time of the fault, which leaves the first third of the run calm."""
    return duration_s / 3


def _set_target_tails(launcher: Launcher) -> None:
    for target in launcher.placed_targets:
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
    """Starts a process of `bench.load` with a specification."""
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
