"""Plays a day of callers and faults on a model fleet, and counts what came of it."""

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final

from lavendertide.forwarding.messages import Gathered, Passed, Refused, Response
from lavendertide.ids import ServiceName
from lavendertide.runtime import clock, tasks
from standins.model_fleet import (
    ALLOWANCE,
    OBJECTIVE_S,
    WAIT_MAX_S,
    ModelFleet,
    Size,
)
from standins.model_targets import Fault, ModelTarget
from standins.virtual_time import run_on_virtual_clock

DAY_S: Final = 20.0
PATHS: Final = ("/x/", "/look-up/", "/order/")
# Searches, look-ups and orders among a hundred requests.
SHARES: Final = (60, 30, 10)
PER_S: Final = 40.0
# Of the time that an answer takes beyond its limit; a wake-up, on a virtual clock.
LATE_SLACK_S: Final = 0.001


@dataclass(frozen=True, slots=True)
class FaultWindow:
    """A fault of some targets for a while.

    Attributes:
        share: Part of all targets.
    """

    fault: Fault
    at_s: float
    lasts_s: float
    share: float


def draw_fault_windows(seed: int) -> list[FaultWindow]:
    """Draws up to four troubles that may overlap."""
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
    """What came of one day.

    Attributes:
        in_time: Searches and look-ups answered within their objective.
        outcomes: How many requests had which answer.
        requests_by_kind: How many requests of each kind came.
        served_by_kind: How many of them had an answer of use.
        complete_searches: Searches with all shards.
        peak_retry_share: Most repeats for one service in the day, over what
            is allowed for it.
        violations: A line for each broken promise.
    """

    requests: int = 0
    in_time: int = 0
    complete_searches: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    requests_by_kind: Counter[str] = field(default_factory=Counter)
    served_by_kind: Counter[str] = field(default_factory=Counter)
    peak_retry_share: float = 0.0
    violations: list[str] = field(default_factory=list)

    @property
    def in_time_share(self) -> float:
        """Part of all requests that was answered within its objective."""
        return self.in_time / max(1, self.requests)


class ModelDay:
    """One day; all its tasks run on the virtual clock."""

    def __init__(
        self, seed: int, size: Size, planned: Sequence[FaultWindow], per_s: float
    ) -> None:
        self._generator = random.Random(seed)
        self._fleet = ModelFleet(size, self._generator)
        self._planned = planned
        self._per_s = per_s
        self._result = DayResult()
        self._open = 0

    def simulate(self) -> DayResult:
        """Lets requests arrive until the day is over and all are answered."""
        for trouble in self._planned:
            tasks.spawn(self._bring_about, trouble)
        ends_at_s = clock.monotonic_s() + DAY_S
        while clock.monotonic_s() < ends_at_s:
            tasks.sleep(self._generator.expovariate(self._per_s))
            self._result.requests += 1
            self._open += 1
            tasks.spawn(self._ask, f"r{self._result.requests}")
        while self._open:
            tasks.sleep(WAIT_MAX_S)
        self._check_runs()
        return self._result

    def _bring_about(self, trouble: FaultWindow) -> None:
        tasks.sleep(trouble.at_s)
        targets = list(self._fleet.targets.values())
        count = max(1, round(trouble.share * len(targets)))
        chosen: list[ModelTarget] = self._generator.sample(targets, count)
        for each in chosen:
            each.fault = trouble.fault
        tasks.sleep(trouble.lasts_s)
        for each in chosen:
            each.fault = Fault.NONE

    def _ask(self, name: str) -> None:
        path = self._generator.choices(PATHS, SHARES)[0] + name
        host = self._generator.choice(self._fleet.hosts)
        began_s = clock.monotonic_s()
        answer = host.forward(name, path, WAIT_MAX_S)
        took_s = clock.monotonic_s() - began_s
        self._open -= 1
        self._note(name, path, answer, took_s)

    def _note(self, name: str, path: str, answer: Response, took_s: float) -> None:
        result = self._result
        result.outcomes[type(answer).__name__.lower()] += 1
        is_served = isinstance(answer, Gathered | Passed)
        kind = path.removesuffix(name)
        result.requests_by_kind[kind] += 1
        result.served_by_kind[kind] += is_served
        result.in_time += is_served and took_s <= OBJECTIVE_S
        result.complete_searches += isinstance(answer, Gathered) and answer.missing == 0
        if took_s > WAIT_MAX_S + LATE_SLACK_S:
            result.violations.append(f"late: {name} took {took_s:.3f} s")
        runs = sum(
            t.executed_requests.count(name) for t in self._fleet.targets.values()
        )
        if isinstance(answer, Refused) and runs:
            result.violations.append(
                f"not run: {name} was refused and ran {runs} times"
            )
        if path.startswith("/order/") and runs > 1:
            result.violations.append(f"once: {name} ran {runs} times")

    def _check_runs(self) -> None:
        """Compares what each service was sent with what the budget allows."""
        requests: dict[ServiceName, set[str]] = {}
        sent: Counter[ServiceName] = Counter()
        for model in self._fleet.targets.values():
            service = model.record.service
            requests.setdefault(service, set()).update(model.executed_requests)
            sent[service] += len(model.executed_requests)
        windows = DAY_S / ALLOWANCE.window_s + 1
        for service, names in requests.items():
            extra = sent[service] - len(names)
            allowed = ALLOWANCE.ratio * len(names) + windows * ALLOWANCE.fixed
            self._result.peak_retry_share = max(
                self._result.peak_retry_share, extra / allowed
            )
        if self._result.peak_retry_share > 1.0:
            self._result.violations.append("budget: more repeats than allowed")


def simulate_day(
    seed: int,
    size: Size | None = None,
    planned: Sequence[FaultWindow] | None = None,
    per_s: float = PER_S,
) -> DayResult:
    """Plays the day of a seed on a virtual clock.

    Args:
        seed: Of arrivals, work and, unless they are given, troubles.
        size: Of the fleet.
        planned: What goes wrong.
        per_s: Requests a second of all callers.
    """
    chosen = draw_fault_windows(seed) if planned is None else planned

    def run() -> DayResult:
        random.seed(seed)
        return ModelDay(seed, size or Size(), chosen, per_s).simulate()

    return run_on_virtual_clock(run)
