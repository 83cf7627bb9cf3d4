"""Compares query policies on simulated targets in one process.

`python -m bench.query_policies` runs the real task of each query on targets with slots
and a queue, whose service times are drawn from a seed. It compares caps on the time of
an attempt, waiting times for the last shards, and hedging with and without regard to
spare slots. There is no network, so the results compare policies and do not predict the
latency of the tier.
"""

import lavendertide.runtime.patching  # noqa: F401, I001  (has to come first)

import argparse
import random
import statistics
import sys
from collections import deque
from dataclasses import dataclass, field, replace

from bench.revision import revision
from lavendertide.ids import AttemptId, IndexName, TargetId
from lavendertide.messages import Declined, DeclineReason, SubReply, SubRequest
from lavendertide.options import (
    BudgetedHedge,
    CoverageFirst,
    LatencyFirst,
    NeverHedge,
    PolicyOptions,
)
from lavendertide.queries.query import SearchResponse
from lavendertide.queries.target_reports import TargetReports
from lavendertide.queries.timing import LatencyEstimate, IndexTiming, Timings
from lavendertide.runtime import clock, tasks
from tests.queries.fakes import Tier, answered, index_of, tier, with_policies

SHARDS = 20
SLOTS = 2
DEADLINE_S = 0.12
QUERIES = 400
WARM_UP_QUERIES = 40


@dataclass(frozen=True)
class ServiceTimes:
    """Distribution of the service times of simulated targets.

    Attributes:
        median_s: Median time of a request.
        stuck_share: Share of the requests that take `stuck_s` instead.
        stuck_s: Time of a stuck request.
    """

    median_s: float = 0.006
    stuck_share: float = 0.01
    stuck_s: float = 0.3


@dataclass
class _Job:
    request: SubRequest
    inbox: tasks.Mailbox[SubReply]
    ends_at_s: float
    cancelled: tasks.Signal = field(default_factory=tasks.Signal)


class SimulatedTarget:
    """A target with `SLOTS` slots and an unbounded queue.

    Attributes:
        busy_s: Time that its slots were in use, added up.
    """

    def __init__(self, service_times: ServiceTimes, generator: random.Random) -> None:
        self._service_times = service_times
        self._random = generator
        self._queue: deque[_Job] = deque()
        self._running = 0
        self.busy_s = 0.0

    def enqueue(self, job: _Job) -> None:
        """Queues a request and runs it once a slot is free."""
        self._queue.append(job)
        if self._running < SLOTS:
            self._running += 1
            tasks.spawn(self._run_queue)

    def _run_queue(self) -> None:
        while self._queue:
            self._run(self._queue.popleft())
        self._running -= 1

    def _run(self, job: _Job) -> None:
        now_s = clock.monotonic_s()
        if job.cancelled.is_set or now_s >= job.ends_at_s:
            reason = DeclineReason.QUEUED_TOO_LONG
            job.inbox.send(Declined(job.request.attempt, reason))
            return
        took_s = min(self._draw_duration_s(), job.ends_at_s - now_s)
        job.cancelled.wait(took_s)
        self.busy_s += clock.monotonic_s() - now_s
        spare = 0 if self._queue else SLOTS - self._running + 1
        if clock.monotonic_s() < job.ends_at_s and not job.cancelled.is_set:
            job.inbox.send(answered(job.request, spare))

    def _draw_duration_s(self) -> float:
        if self._random.random() < self._service_times.stuck_share:
            return self._service_times.stuck_s
        return self._service_times.median_s * self._random.lognormvariate(0.0, 0.3)


class SimulatedTargets:
    """Dispatches sub-requests to simulated targets, which it creates on first use."""

    def __init__(self, service_times: ServiceTimes, seed: int) -> None:
        self._service_times = service_times
        self._random = random.Random(seed)
        self._targets: dict[TargetId, SimulatedTarget] = {}
        self._jobs: dict[AttemptId, _Job] = {}

    def send(self, request: SubRequest, inbox: tasks.Mailbox[SubReply]) -> None:
        """Sends a sub-request.

        The inbox gets at most one reply. A request that is cancelled or reaches its
        deadline while it runs gets none.
        """
        target = self._targets.get(request.target)
        if target is None:
            target = SimulatedTarget(self._service_times, self._random)
            self._targets[request.target] = target
        ends_at_s = clock.monotonic_s() + request.remaining_ms / 1000
        job = _Job(request, inbox, ends_at_s)
        self._jobs[request.attempt] = job
        target.enqueue(job)

    def cancel(self, attempts: list[AttemptId]) -> None:
        """Cancels attempts whose replies are no longer needed."""
        for attempt in attempts:
            self._jobs.pop(attempt).cancelled.set()


class FlatTiming(IndexTiming):
    """Estimates latencies as usual, but gives every attempt the same cap."""

    def __init__(self, cap_s: float, now_s: float) -> None:
        super().__init__(now_s)
        self._cap_s = cap_s

    def estimate(self, quantile: float, now_s: float) -> LatencyEstimate | None:
        """Returns the usual estimate with the flat cap, if there is an estimate."""
        estimate = super().estimate(quantile, now_s)
        return replace(estimate, cap_s=self._cap_s) if estimate else None


class FlatTimings(Timings):
    """Gives every index a `FlatTiming` with the same cap."""

    def __init__(self, cap_s: float) -> None:
        super().__init__()
        self._cap_s = cap_s

    def timing_of(self, index: IndexName, now_s: float) -> IndexTiming:
        """Returns the timing of an index, which is created on first use."""
        if index not in self._by_index:
            self._by_index[index] = FlatTiming(self._cap_s, now_s)
        return self._by_index[index]


class UncheckedReports(TargetReports):
    """Allows every hedge, even if the target has no spare slots."""

    def may_hedge(self, target: TargetId, now_s: float) -> bool:
        """Returns True for every target."""
        return True


@dataclass(frozen=True)
class Case:
    """One variant of the policies under one load.

    Attributes:
        name: The name in the table.
        rate_per_s: Queries per second.
        cap_s: Flat cap of each attempt; caps are learned if absent.
        are_hedges_unchecked: Whether hedges also go to targets without spare slots.
        is_after_burst: Whether the queries of the warm-up all arrive at once.
    """

    name: str
    policies: PolicyOptions
    service_times: ServiceTimes = ServiceTimes()
    rate_per_s: float = 60.0
    cap_s: float | None = None
    are_hedges_unchecked: bool = False
    preference: str = "latency"
    deadline_s: float = DEADLINE_S
    is_after_burst: bool = False


def run_case(case: Case, seed: int) -> str:
    """Runs a case and returns its row of the table."""
    latencies_ms: list[float] = []
    responses: list[SearchResponse] = []
    tier_under_test = _tier(case, seed)

    def search() -> None:
        started_s = clock.monotonic_s()
        response = tier_under_test.search(case.deadline_s)
        latencies_ms.append(1000 * (clock.monotonic_s() - started_s))
        responses.append(response)

    generator = random.Random(seed)
    for number in range(QUERIES + WARM_UP_QUERIES):
        tasks.spawn(search)
        if number >= WARM_UP_QUERIES or not case.is_after_burst:
            tasks.sleep(generator.expovariate(case.rate_per_s))
    while len(responses) < QUERIES + WARM_UP_QUERIES:
        tasks.sleep(0.01)
    return _row(case, latencies_ms[WARM_UP_QUERIES:], responses[WARM_UP_QUERIES:])


def _tier(case: Case, seed: int) -> Tier:
    tier_under_test = tier(index_of(SHARDS, preference=case.preference), case.policies)
    dependencies = replace(
        tier_under_test.dependencies,
        dispatch=SimulatedTargets(case.service_times, seed),
    )
    if case.cap_s is not None:
        dependencies = replace(dependencies, timings=FlatTimings(case.cap_s))
    if case.are_hedges_unchecked:
        dependencies = replace(dependencies, reports=UncheckedReports())
    return replace(tier_under_test, dependencies=dependencies)


def _row(case: Case, latencies_ms: list[float], responses: list[SearchResponse]) -> str:
    cuts = statistics.quantiles(latencies_ms, n=1000)
    covered = sum(len(response.covered) for response in responses)
    attempts = sum(response.attempts for response in responses)
    whole = sum(not response.gaps for response in responses)
    shards = SHARDS * len(responses)
    return (
        f"| {case.name} | {cuts[499]:.1f} | {cuts[989]:.1f} "
        f"| {covered / shards:.4f} | {whole / len(responses):.4f} "
        f"| {attempts / shards - 1:.4f} |"
    )


HEADER = "| case | p50 ms | p99 ms | shards covered | whole answers | extra load |"


def _cap_cases() -> list[Case]:
    slow = ServiceTimes(median_s=0.030)
    never = with_policies(hedging=NeverHedge())
    return [
        Case("slow index, flat cap 20 ms", never, slow, 25.0, cap_s=0.020),
        Case("slow index, flat cap 60 ms", never, slow, 25.0, cap_s=0.060),
        Case("slow index, learned cap", never, slow, 25.0),
        Case("slow index, no cap", never, slow, 25.0, cap_s=10.0),
    ]


def _hedge_cases() -> list[Case]:
    never, budgeted = (
        with_policies(hedging=NeverHedge()),
        with_policies(hedging=BudgetedHedge()),
    )
    cases = []
    for load, rate_per_s in (("calm", 60.0), ("saturated", 400.0)):
        cases += [
            Case(f"{load}, never", never, rate_per_s=rate_per_s),
            Case(f"{load}, spare slots", budgeted, rate_per_s=rate_per_s),
            Case(
                f"{load}, heedless",
                budgeted,
                rate_per_s=rate_per_s,
                are_hedges_unchecked=True,
            ),
        ]
    cases.append(Case("after a burst, spare slots", budgeted, is_after_burst=True))
    return cases


def _wait_cases() -> list[Case]:
    cases = []
    for share in (0.25, 0.5, 0.75, 1.0):
        policies = with_policies(latency_first=LatencyFirst(deadline_share=share))
        cases.append(Case(f"latency first, share {share:g}", policies))
    for rounds in (1, 3):
        policies = with_policies(coverage_first=CoverageFirst(rounds=rounds))
        name = f"coverage first, rounds {rounds}"
        cases.append(Case(name, policies, preference="coverage"))
    return cases


def main() -> int:
    """Prints one table each for caps, hedging and waiting."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--case", default="", help="run only cases with this in the name"
    )
    options = parser.parse_args()
    seed = options.seed
    print(f"commit {revision()}, seed {seed}, {QUERIES} queries of {SHARDS} shards")
    for cases in (_cap_cases(), _hedge_cases(), _wait_cases()):
        print(f"\n{HEADER}")
        print("|---" * 6 + "|")
        for case in cases:
            if options.case in case.name:
                print(run_case(case, seed), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
