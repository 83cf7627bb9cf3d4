"""Tests of `lavendertide.queries.capacity`."""

import heapq
import random
import unittest
from dataclasses import dataclass, field
from typing import Final

from returns.result import Failure, Success

from lavendertide.errors import Fault, RefusalKind
from lavendertide.ids import IndexName, OwnerId
from lavendertide.messages import DeclineReason, LossReason
from lavendertide.overload.capacity import (
    LIMIT_MIN,
    LIMIT_RELEASE_S,
    OWN_LOAD_MIN_SEARCHES,
    UNLOADED_WINDOW_S,
    Feedback,
    HalfCovered,
    Inconclusive,
    Permit,
    Starved,
)
from lavendertide.queries.capacity import SearchCapacities, feedback_of
from tests.queries.fakes import Tier, declines, index_of, loses, silent, tier

INDEX: Final = IndexName("venue-desk")
OTHER_INDEX: Final = IndexName("promoter-view")
OWNER: Final = OwnerId("association")
OTHER_OWNER: Final = OwnerId("koinopraxia")
BUDGET_S: Final = 0.116
UNLOADED_S: Final = 0.010
CAPACITY_PER_S: Final = 100.0
SEED: Final = 1


@dataclass
class Counts:
    """Outcomes of the queries in a period of time."""

    refused: int = 0
    timely: int = 0
    late: int = 0

    @property
    def admitted(self) -> int:
        """Number of queries that were not refused."""
        return self.timely + self.late


@dataclass
class TargetQueueModel:
    """Models an index as a first-in, first-out queue with one server."""

    capacities: SearchCapacities
    per_s: float = CAPACITY_PER_S
    unloaded_s: float = UNLOADED_S
    now_s: float = 0.0
    free_at_s: float = 0.0
    generator: random.Random = field(default_factory=lambda: random.Random(SEED))
    ends: list[tuple[float, int, Permit, Feedback]] = field(default_factory=list)
    counts: Counts = field(default_factory=Counts)

    def run(self, rate_per_s: float, duration_s: float) -> Counts:
        """Runs Poisson arrivals at a rate; returns their outcomes."""
        self.counts = Counts()
        ends_at_s = self.now_s + duration_s
        while self.now_s < ends_at_s:
            self.now_s += self.generator.expovariate(rate_per_s)
            self._end_until(self.now_s)
            self._arrive()
        return self.counts

    def _arrive(self) -> None:
        match self.capacities.try_acquire(OWNER, INDEX, self.now_s):
            case Success(permit):
                self._serve(permit)
            case Failure(_):
                self.counts.refused += 1

    def _serve(self, permit: Permit) -> None:
        # A query that cannot meet its deadline leaves the queue without service.
        cannot_be_timely = self.free_at_s - self.now_s > BUDGET_S
        if not cannot_be_timely:
            self.free_at_s = max(self.free_at_s, self.now_s) + 1 / self.per_s
        latency_s = self.free_at_s - self.now_s + self.unloaded_s
        feedback: Feedback = (
            HalfCovered(latency_s) if latency_s <= BUDGET_S else Starved()
        )
        self.counts.timely += latency_s <= BUDGET_S
        self.counts.late += latency_s > BUDGET_S
        ended_at_s = self.now_s + min(latency_s, BUDGET_S)
        entry = (ended_at_s, len(self.ends), permit, feedback)
        heapq.heappush(self.ends, entry)

    def _end_until(self, now_s: float) -> None:
        while self.ends and self.ends[0][0] <= now_s:
            ended_at_s, _, permit, feedback = heapq.heappop(self.ends)
            permit.release(feedback, BUDGET_S, ended_at_s)


@dataclass
class ClosedLoopCallers:
    """Models callers of two daemons that send again after each response or refusal.

    All start at nearly the same time, so the queue is full before any search ends.
    """

    seed: int
    callers: int = 80
    per_s: float = 45.0
    unloaded_s: float = 0.06
    budget_s: float = 1.0
    back_off_s: float = 0.1
    free_at_s: float = 0.0

    def late_share(self, from_s: float, until_s: float) -> float:
        """Returns the late share of the searches that end in a period of time."""
        generator = random.Random(self.seed)
        daemons = [SearchCapacities(random.Random(self.seed + n)) for n in range(2)]
        for daemon in daemons:
            self._record_search_without_load(daemon)
        sends = [(generator.uniform(0.0, 0.05), n) for n in range(self.callers)]
        heapq.heapify(sends)
        ends: list[tuple[float, int, Permit, Feedback]] = []
        late: list[bool] = []
        now_s = 0.0
        while now_s < until_s:
            if ends and (not sends or ends[0][0] <= sends[0][0]):
                now_s, caller, permit, feedback = heapq.heappop(ends)
                permit.release(feedback, self.budget_s, now_s)
                heapq.heappush(sends, (now_s, caller))
                if now_s >= from_s:
                    late.append(isinstance(feedback, Starved))
                continue
            now_s, caller = heapq.heappop(sends)
            match daemons[caller % 2].try_acquire(OWNER, INDEX, now_s):
                case Success(permit):
                    latency_s, feedback = self._serve(now_s, generator)
                    heapq.heappush(ends, (now_s + latency_s, caller, permit, feedback))
                case Failure(_):
                    heapq.heappush(sends, (now_s + self.back_off_s, caller))
        return sum(late) / len(late)

    def _record_search_without_load(self, daemon: SearchCapacities) -> None:
        permit = daemon.try_acquire(OWNER, INDEX, 0.0).unwrap()
        permit.release(HalfCovered(self.unloaded_s), self.budget_s, 0.0)

    def _serve(self, now_s: float, generator: random.Random) -> tuple[float, Feedback]:
        """Returns the latency of one search and its load feedback."""
        queueing_s = max(0.0, self.free_at_s - now_s)
        if queueing_s + self.unloaded_s > self.budget_s:
            return self.budget_s, Starved()
        self.free_at_s = now_s + queueing_s + generator.expovariate(self.per_s)
        latency_s = queueing_s + self.unloaded_s
        return latency_s, HalfCovered(latency_s)


def capacities() -> SearchCapacities:
    """Returns the capacities of a daemon that has just started."""
    return SearchCapacities(random.Random(SEED))


class OverloadTest(unittest.TestCase):
    """Guards against late searches under overload, and refusals without overload."""

    def setUp(self) -> None:
        self.queue = TargetQueueModel(capacities())

    def test_usual_load_is_never_refused(self) -> None:
        self.assertEqual(self.queue.run(CAPACITY_PER_S / 4, 60.0).refused, 0)

    def test_admitted_searches_under_ten_times_the_load_are_timely(self) -> None:
        self.queue.run(CAPACITY_PER_S / 4, 5.0)
        self.queue.run(10 * CAPACITY_PER_S, 1.0)
        counts = self.queue.run(10 * CAPACITY_PER_S, 10.0)
        self.assertLessEqual(counts.late, 0.01 * counts.admitted)

    def test_the_targets_stay_busy_under_ten_times_the_load(self) -> None:
        self.queue.run(10 * CAPACITY_PER_S, 1.0)
        for second in range(10):
            with self.subTest(second=second):
                counts = self.queue.run(10 * CAPACITY_PER_S, 1.0)
                self.assertGreater(counts.timely, 0.8 * CAPACITY_PER_S)

    def test_an_overload_from_the_start_is_refused_within_a_second(self) -> None:
        self.queue.run(10 * CAPACITY_PER_S, 1.0)
        counts = self.queue.run(10 * CAPACITY_PER_S, 1.0)
        self.assertLessEqual(counts.late, 0.02 * counts.admitted)

    def test_usual_load_after_an_overload_is_not_refused(self) -> None:
        self.queue.run(10 * CAPACITY_PER_S, 5.0)
        self.queue.run(CAPACITY_PER_S / 4, 2.0)
        self.assertEqual(self.queue.run(CAPACITY_PER_S / 4, 30.0).refused, 0)

    def test_recovered_capacity_is_used_within_two_seconds(self) -> None:
        self.queue.run(10 * CAPACITY_PER_S, 5.0)
        self.queue.per_s = 5 * CAPACITY_PER_S
        self.queue.run(10 * CAPACITY_PER_S, 2.0)
        counts = self.queue.run(10 * CAPACITY_PER_S, 2.0)
        self.assertGreater(counts.timely, 0.8 * 2.0 * 5 * CAPACITY_PER_S)

    def test_an_index_that_is_slow_without_load_is_not_refused(self) -> None:
        self.queue.unloaded_s = 0.07
        self.assertEqual(self.queue.run(CAPACITY_PER_S / 4, 60.0).refused, 0)

    def test_an_index_that_becomes_slow_is_not_refused_for_long(self) -> None:
        self.queue.run(CAPACITY_PER_S / 4, 60.0)
        self.queue.unloaded_s = 0.07
        self.queue.run(
            CAPACITY_PER_S / 4, 2 * UNLOADED_WINDOW_S + LIMIT_RELEASE_S + 3.0
        )
        self.assertEqual(self.queue.run(CAPACITY_PER_S / 4, 60.0).refused, 0)


class BurstTest(unittest.TestCase):
    """Guards against late searches after a burst, which one cut of the limit bounds.

    80 callers start at once on daemons that have no limit yet. The searches of the
    burst may be late, but those admitted after the burst's deadline may not.
    """

    def test_searches_admitted_after_the_burst_are_timely(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                callers = ClosedLoopCallers(seed)
                self.assertLessEqual(callers.late_share(1.5, 3.0), 0.1)


class IsolationTest(unittest.TestCase):
    """Guards against refusals of other owners and indexes during one's overload."""

    def setUp(self) -> None:
        queue = TargetQueueModel(capacities())
        queue.run(10 * CAPACITY_PER_S, 5.0)
        self.now_s, self.capacities = queue.now_s, queue.capacities

    def count_admitted(self, owner: OwnerId, index: IndexName) -> int:
        """Returns how many of 100 simultaneous queries are admitted."""
        results = [
            self.capacities.try_acquire(owner, index, self.now_s) for _ in range(100)
        ]
        return sum(isinstance(e, Success) for e in results)

    def test_the_overloaded_owner_is_bounded(self) -> None:
        self.assertLess(self.count_admitted(OWNER, INDEX), 20)

    def test_another_owner_is_not_bounded(self) -> None:
        self.assertEqual(self.count_admitted(OTHER_OWNER, INDEX), 100)

    def test_another_index_is_not_bounded(self) -> None:
        self.assertEqual(self.count_admitted(OWNER, OTHER_INDEX), 100)

    def test_the_refusal_names_kind_fault_and_remedy(self) -> None:
        self.count_admitted(OWNER, INDEX)
        refusal = self.capacities.try_acquire(OWNER, INDEX, self.now_s).failure()
        self.assertIs(refusal.kind, RefusalKind.OVER_CAPACITY)
        self.assertIs(refusal.fault, Fault.TARGET)
        self.assertIn("later", refusal.remedy)


class EvidenceTest(unittest.TestCase):
    """Only sustained starvation of concurrent searches counts as overload."""

    def setUp(self) -> None:
        self.capacities = capacities()
        self.now_s = 0.0

    def search(
        self,
        feedback: Feedback,
        budget_s: float = BUDGET_S,
        at_once: int = OWN_LOAD_MIN_SEARCHES,
    ) -> bool:
        """Runs queries concurrently; returns whether the first was admitted."""
        results = [
            self.capacities.try_acquire(OWNER, INDEX, self.now_s)
            for _ in range(at_once)
        ]
        self.now_s += UNLOADED_S
        for each in results:
            match each:
                case Success(permit):
                    permit.release(feedback, budget_s, self.now_s)
        return isinstance(results[0], Success)

    def is_limited(self) -> bool:
        """Returns whether any of 100 simultaneous queries is refused."""
        results = [
            self.capacities.try_acquire(OWNER, INDEX, self.now_s) for _ in range(100)
        ]
        for permit in results:
            permit.map(self._leave)
        return any(isinstance(permit, Failure) for permit in results)

    def _leave(self, permit: Permit) -> None:
        permit.release(Inconclusive(), BUDGET_S, self.now_s)

    def test_sustained_starvation_sets_a_limit(self) -> None:
        self.search(HalfCovered(UNLOADED_S))
        for _ in range(100):
            self.search(Starved())
        self.assertTrue(self.is_limited())

    def test_starvation_from_the_start_sets_a_limit(self) -> None:
        for _ in range(100):
            self.search(Starved())
        self.assertTrue(self.is_limited())

    def test_starved_searches_without_concurrency_set_no_limit(self) -> None:
        self.search(HalfCovered(UNLOADED_S), at_once=1)
        for _ in range(1_000):
            self.assertTrue(self.search(Starved(), at_once=1))
        self.assertFalse(self.is_limited())

    def test_one_pause_of_the_process_sets_no_limit(self) -> None:
        for _ in range(100):
            self.search(HalfCovered(UNLOADED_S))
        for _ in range(4):
            self.search(Starved())
        for _ in range(100):
            self.search(HalfCovered(UNLOADED_S))
        self.assertFalse(self.is_limited())

    def test_a_minority_of_starved_queries_sets_no_limit(self) -> None:
        for _ in range(100):
            self.search(HalfCovered(UNLOADED_S))
            self.search(HalfCovered(UNLOADED_S))
            self.search(Starved())
        self.assertFalse(self.is_limited())

    def test_inconclusive_searches_set_no_limit(self) -> None:
        for _ in range(100):
            self.search(Inconclusive())
        self.assertFalse(self.is_limited())

    def test_deadlines_too_short_for_any_answer_set_no_limit(self) -> None:
        self.search(HalfCovered(UNLOADED_S))
        for _ in range(100):
            self.search(Starved(), budget_s=1.5 * UNLOADED_S)
        self.assertFalse(self.is_limited())

    def test_the_lowest_limit_admits_some_searches(self) -> None:
        self.search(HalfCovered(UNLOADED_S))
        for _ in range(1_000):
            self.search(Starved())
        results = [self.search(Starved()) for _ in range(1_000)]
        self.assertAlmostEqual(sum(results) / 1_000, LIMIT_MIN, delta=0.1)

    def test_a_few_quick_searches_raise_the_lowest_limit(self) -> None:
        self.search(HalfCovered(UNLOADED_S))
        for _ in range(1_000):
            self.search(Starved())
        for _ in range(100):
            self.search(HalfCovered(UNLOADED_S))
        self.assertTrue(all(self.search(HalfCovered(UNLOADED_S)) for _ in range(50)))


class FeedbackTest(unittest.TestCase):
    """A response yields the time to half coverage, starvation, or nothing."""

    def search_feedback(
        self, reactions: dict[int, object], shards: int = 4
    ) -> Feedback:
        """Returns the feedback of a search with scripted reactions of its shards."""
        found: Tier = tier(index_of(shards))
        found.dispatch.reactions = {
            target: reaction  # type: ignore[misc]
            for shard, reaction in reactions.items()
            for target in found.index.versions[max(found.index.versions)][shard]
        }
        return feedback_of(found.search(0.05))

    def test_one_slow_target_does_not_starve_a_search(self) -> None:
        match self.search_feedback({0: silent}):
            case HalfCovered(latency_s):
                self.assertLess(latency_s, 0.05)
            case feedback:
                self.fail(f"{feedback}")

    def test_unanswered_shards_starve_a_search(self) -> None:
        self.assertEqual(
            self.search_feedback(dict.fromkeys(range(3), silent)), Starved()
        )

    def test_full_queues_starve_a_search(self) -> None:
        full = declines(DeclineReason.QUEUE_FULL)
        self.assertEqual(self.search_feedback(dict.fromkeys(range(3), full)), Starved())

    def test_lost_targets_are_inconclusive(self) -> None:
        lost = loses(LossReason.PEER_LOST)
        self.assertEqual(
            self.search_feedback(dict.fromkeys(range(3), lost)), Inconclusive()
        )

    def test_a_version_that_is_not_held_is_inconclusive(self) -> None:
        not_held = declines(DeclineReason.VERSION_NOT_HELD)
        self.assertEqual(
            self.search_feedback(dict.fromkeys(range(4), not_held)), Inconclusive()
        )
