"""Simulates a day of requests and faults on a model fleet and summarises the results.

The simulation runs the real forwarding code on a virtual clock. It also checks the
guarantees of forwarding: no response after the deadline, no refused request that a
target ran, no order that ran twice, no more repeats than the retry budget allows, and
nothing to a target that is leaving or wants a pause.
"""

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from lavendertide.forwarding.messages import Gathered, Passed, Refused, Response
from lavendertide.ids import ServiceName
from lavendertide.runtime import clock, tasks
from standins.model_fleet import (
    NO_CONDITIONS,
    OBJECTIVE_S,
    RETRY_ALLOWANCE,
    WAIT_MAX_S,
    Conditions,
    ModelFleet,
    Size,
)
from standins.model_targets import Fault, ModelTarget
from standins.virtual_time import run_on_virtual_clock

DAY_S: Final = 20.0
PATH_PREFIXES: Final = ("/x/", "/look-up/", "/order/")
# Percentages of searches, look-ups and orders.
PATH_WEIGHTS: Final = (60, 30, 10)
REQUESTS_PER_S: Final = 40.0
# Tolerance on the wait limit of a request, for one timer of the virtual clock.
LATE_SLACK_S: Final = 0.001


@dataclass(frozen=True, slots=True)
class FaultWindow:
    """A fault that affects some targets for a period of the day.

    Attributes:
        at_s: Start of the period, from the start of the day.
        lasts_s: Length of the period.
        share: Share of all targets that are affected.
    """

    fault: Fault
    at_s: float
    lasts_s: float
    share: float


@dataclass(frozen=True, slots=True)
class WorkChange:
    """A period in which work takes longer at some targets.

    Attributes:
        factor: How many times as long it takes.
        at_s: Start of the period, from the start of the day.
        lasts_s: Length of the period.
        share: Share of all targets that are affected.
        spared: Targets of each service that are never affected.
    """

    factor: float
    at_s: float
    lasts_s: float
    share: float
    spared: int = 0


@dataclass(frozen=True, slots=True)
class DemandPhase:
    """A period of higher demand.

    Attributes:
        factor: The requests of a second relative to the usual number.
        at_s: Start of the period, from the start of the day.
        lasts_s: Length of the period.
        domain: Number of the failure domain whose hosts receive more; all if absent.
    """

    factor: float
    at_s: float
    lasts_s: float
    domain: int | None = None


def draw_fault_windows(seed: int) -> list[FaultWindow]:
    """Draws up to four faults, whose periods may overlap."""
    generator = random.Random(seed)
    kinds = (Fault.SLOW, Fault.RESETS, Fault.GONE)
    return [
        FaultWindow(
            generator.choice(kinds),
            generator.uniform(2.0, DAY_S - 6.0),
            generator.uniform(1.0, 5.0),
            generator.uniform(0.02, 0.35),
        )
        for _ in range(generator.randint(0, 4))
    ]


@dataclass
class DayResult:
    """The results of one simulated day.

    Attributes:
        requests: Requests that arrived.
        in_time: Requests that were served within their objective.
        complete_searches: Searches whose response covers all shards.
        outcomes: Number of requests by the type of their response.
        requests_by_kind: Requests that arrived, by their path prefix.
        served_by_kind: Requests whose response was passed on or gathered, by path
            prefix.
        missing_shards: Shards that the responses to searches leave out.
        peak_load_ratio: The highest ratio, over all services, of the requests that the
            busiest target ran to the mean of the service's targets.
        peak_retry_share: The highest ratio, over all services, of the repeats sent in
            the day to the repeats that the retry budget allows.
        violations: One line for each violated guarantee.
    """

    requests: int = 0
    in_time: int = 0
    complete_searches: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    requests_by_kind: Counter[str] = field(default_factory=Counter)
    served_by_kind: Counter[str] = field(default_factory=Counter)
    missing_shards: int = 0
    peak_load_ratio: float = 0.0
    peak_retry_share: float = 0.0
    violations: list[str] = field(default_factory=list)

    @property
    def in_time_share(self) -> float:
        """Share of all requests that were served within their objective."""
        return self.in_time / max(1, self.requests)


class ModelDay:
    """Simulates one day; all its tasks run on the virtual clock."""

    # Percentages of the kinds of requests in `PATH_PREFIXES`.
    path_weights: tuple[int, int, int] = PATH_WEIGHTS

    def __init__(
        self,
        seed: int,
        size: Size,
        planned: Sequence[FaultWindow],
        per_s: float,
        conditions: Conditions = NO_CONDITIONS,
        changes: Sequence[WorkChange] = (),
        demand: Sequence[DemandPhase] = (),
    ) -> None:
        self._changes = changes
        self._demand = demand
        self._began_s = clock.monotonic_s()
        self._generator = random.Random(seed)
        self._fleet = ModelFleet(size, self._generator, conditions)
        self._planned = planned
        self._per_s = per_s
        self._result = DayResult()
        self._in_flight = 0

    def simulate(self) -> DayResult:
        """Sends requests until the day is over, and waits for all responses."""
        for change in self._changes:
            tasks.spawn(self._apply_change, change)
        for window in self._planned:
            tasks.spawn(self._apply_fault, window)
        ends_at_s = clock.monotonic_s() + DAY_S
        while clock.monotonic_s() < ends_at_s:
            weights = self._host_weights()
            per_s = self._per_s * sum(weights) / len(weights)
            tasks.sleep(self._generator.expovariate(per_s))
            self._result.requests += 1
            self._in_flight += 1
            tasks.spawn(self._send_request, f"r{self._result.requests}", weights)
        while self._in_flight:
            tasks.sleep(WAIT_MAX_S)
        self._check_retry_budget()
        self._compare_targets()
        for model in self._fleet.targets.values():
            found = model.ended_violations + model.notices.violations
            self._result.violations += [f"{model.record.target}: {f}" for f in found]
        return self._result

    def _apply_fault(self, window: FaultWindow) -> None:
        tasks.sleep(window.at_s)
        targets = list(self._fleet.targets.values())
        count = max(1, round(window.share * len(targets)))
        chosen: list[ModelTarget] = self._generator.sample(targets, count)
        for each in chosen:
            each.fault = window.fault
        tasks.sleep(window.lasts_s)
        for each in chosen:
            if window.fault is Fault.LEAVING:
                each.restart()
                self._fleet.publish(each.record)
            each.fault = Fault.NONE

    def _apply_change(self, change: WorkChange) -> None:
        tasks.sleep(change.at_s)
        targets = list(self._fleet.targets.values())
        count = max(1, round(change.share * len(targets)))
        if change.spared:
            by_service: dict[ServiceName, list[ModelTarget]] = {}
            for model in targets:
                by_service.setdefault(model.record.service, []).append(model)
            for group in by_service.values():
                for spared in self._generator.sample(group, change.spared):
                    targets.remove(spared)
        chosen: list[ModelTarget] = self._generator.sample(targets, count)
        for each in chosen:
            each.work_factor *= change.factor
        tasks.sleep(change.lasts_s)
        for each in chosen:
            each.work_factor /= change.factor

    def _host_weights(self) -> list[float]:
        """Returns the present demand at each named host, relative to the usual one."""
        since_s = clock.monotonic_s() - self._began_s
        hosts = self._fleet.named_hosts
        weights = [1.0] * len(hosts)
        for phase in self._demand:
            if phase.at_s <= since_s < phase.at_s + phase.lasts_s:
                for number, host in enumerate(hosts):
                    if phase.domain in (None, host.domain):
                        weights[number] *= phase.factor
        return weights

    def _send_request(self, name: str, weights: list[float]) -> None:
        path = self._generator.choices(PATH_PREFIXES, self.path_weights)[0] + name
        hosts = self._fleet.named_hosts
        if self._demand:
            host = self._generator.choices(hosts, weights)[0]
        else:
            host = self._generator.choice(hosts)
        started_s = clock.monotonic_s()
        response = host.forward(name, path, WAIT_MAX_S)
        took_s = clock.monotonic_s() - started_s
        self._in_flight -= 1
        self._record_response(name, path, response, took_s)

    def _record_response(
        self, name: str, path: str, response: Response, took_s: float
    ) -> None:
        result = self._result
        result.outcomes[type(response).__name__.lower()] += 1
        is_served = isinstance(response, Gathered | Passed)
        kind = path.removesuffix(name)
        result.requests_by_kind[kind] += 1
        result.served_by_kind[kind] += is_served
        result.in_time += is_served and took_s <= OBJECTIVE_S
        result.complete_searches += (
            isinstance(response, Gathered) and response.missing == 0
        )
        if isinstance(response, Gathered):
            result.missing_shards += response.missing
        if took_s > WAIT_MAX_S + LATE_SLACK_S:
            result.violations.append(f"late: {name} took {took_s:.3f} s")
        runs = 0
        if isinstance(response, Refused) or path.startswith("/order/"):
            targets = self._fleet.targets.values()
            runs = sum(each.executed_requests.count(name) for each in targets)
        if isinstance(response, Refused) and runs:
            result.violations.append(
                f"not run: {name} was refused and ran {runs} times"
            )
        if path.startswith("/order/") and runs > 1:
            result.violations.append(f"once: {name} ran {runs} times")

    def _compare_targets(self) -> None:
        """Compares the busiest target of each service with the mean of its targets."""
        runs: dict[ServiceName, list[int]] = {}
        for model in self._fleet.targets.values():
            counts = runs.setdefault(model.record.service, [])
            counts.append(len(model.executed_requests))
        for counts in runs.values():
            ratio = max(counts) * len(counts) / max(1, sum(counts))
            self._result.peak_load_ratio = max(self._result.peak_load_ratio, ratio)

    def _check_retry_budget(self) -> None:
        """Compares the repeats sent to each service with what the budget allows."""
        requests: dict[ServiceName, set[str]] = {}
        sent: Counter[ServiceName] = Counter()
        for model in self._fleet.targets.values():
            service = model.record.service
            requests.setdefault(service, set()).update(model.executed_requests)
            sent[service] += len(model.executed_requests)
        windows = DAY_S / RETRY_ALLOWANCE.window_s + 1
        for service, names in requests.items():
            extra = sent[service] - len(names)
            allowed = (
                RETRY_ALLOWANCE.ratio * len(names) + windows * RETRY_ALLOWANCE.fixed
            )
            self._result.peak_retry_share = max(
                self._result.peak_retry_share, extra / allowed
            )
        if self._result.peak_retry_share > 1.0:
            self._result.violations.append("budget: more repeats than allowed")


def simulate_day(
    seed: int,
    size: Size | None = None,
    planned: Sequence[FaultWindow] | None = None,
    per_s: float = REQUESTS_PER_S,
    conditions: Conditions = NO_CONDITIONS,
    changes: Sequence[WorkChange] = (),
    demand: Sequence[DemandPhase] = (),
) -> DayResult:
    """Simulates the day of a seed on a virtual clock.

    Args:
        seed: Seed of the arrivals, the service times and, unless `planned` is given,
            the faults.
        size: Size of the fleet.
        planned: Faults of the day; they are drawn from the seed if absent.
        per_s: Requests per second of all callers together.
        conditions: How targets differ and what hosts learn of it.
        changes: Periods in which work takes longer.
        demand: Periods of higher demand.
    """
    chosen = draw_fault_windows(seed) if planned is None else planned

    def run() -> DayResult:
        random.seed(seed)
        return ModelDay(
            seed, size or Size(), chosen, per_s, conditions, changes, demand
        ).simulate()

    return run_on_virtual_clock(run)
