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
NEIGHBOUR: Final = OwnerId("koinopraxia")
BUDGET_S: Final = 0.116
UNLOADED_S: Final = 0.010
CAPACITY_PER_S: Final = 100.0
SEED: Final = 1


@dataclass
class Counts:
    """What became of the queries of one stretch of time."""

    refused: int = 0
    timely: int = 0
    late: int = 0

    @property
    def admitted(self) -> int:
        """Queries that ran."""
        return self.timely + self.late


@dataclass
class Queue:
    """Targets that serve one query after another, each after the ones before it."""

    capacities: SearchCapacities
    per_s: float = CAPACITY_PER_S
    unloaded_s: float = UNLOADED_S
    now_s: float = 0.0
    free_at_s: float = 0.0
    generator: random.Random = field(default_factory=lambda: random.Random(SEED))
    ends: list[tuple[float, int, Permit, Feedback]] = field(default_factory=list)
    counts: Counts = field(default_factory=Counts)

    def run(self, rate_per_s: float, duration_s: float) -> Counts:
        """Lets queries arrive at a rate, at random moments."""
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
        # A query whose time is over frees its place for the ones behind it.
        is_hopeless = self.free_at_s - self.now_s > BUDGET_S
        if not is_hopeless:
            self.free_at_s = max(self.free_at_s, self.now_s) + 1 / self.per_s
        took_s = self.free_at_s - self.now_s + self.unloaded_s
        feedback: Feedback = HalfCovered(took_s) if took_s <= BUDGET_S else Starved()
        self.counts.timely += took_s <= BUDGET_S
        self.counts.late += took_s > BUDGET_S
        ended_at_s = self.now_s + min(took_s, BUDGET_S)
        entry = (ended_at_s, len(self.ends), permit, feedback)
        heapq.heappush(self.ends, entry)

    def _end_until(self, now_s: float) -> None:
        while self.ends and self.ends[0][0] <= now_s:
            ended_at_s, _, permit, feedback = heapq.heappop(self.ends)
            permit.release(feedback, BUDGET_S, ended_at_s)


@dataclass
class WaitingCallers:
    """Callers of two daemons that send again after each answer or refusal.

    All start at the same moment, so the queue is full before any search has ended.
    """

    seed: int
    callers: int = 80
    per_s: float = 45.0
    unloaded_s: float = 0.06
    budget_s: float = 1.0
    back_off_s: float = 0.1
    free_at_s: float = 0.0

    def late_share(self, from_s: float, until_s: float) -> float:
        """Returns the late share of the searches that end in a stretch of time."""
        generator = random.Random(self.seed)
        daemons = [SearchCapacities(random.Random(self.seed + n)) for n in range(2)]
        for daemon in daemons:
            self._note_one_without_load(daemon)
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
                    took_s, feedback = self._serve(now_s, generator)
                    heapq.heappush(ends, (now_s + took_s, caller, permit, feedback))
                case Failure(_):
                    heapq.heappush(sends, (now_s + self.back_off_s, caller))
        return sum(late) / len(late)

    def _note_one_without_load(self, daemon: SearchCapacities) -> None:
        permit = daemon.try_acquire(OWNER, INDEX, 0.0).unwrap()
        permit.release(HalfCovered(self.unloaded_s), self.budget_s, 0.0)

    def _serve(self, now_s: float, generator: random.Random) -> tuple[float, Feedback]:
        """Returns how long one search takes, and what it says of the load."""
        waits_s = max(0.0, self.free_at_s - now_s)
        if waits_s + self.unloaded_s > self.budget_s:
            return self.budget_s, Starved()
        self.free_at_s = now_s + waits_s + generator.expovariate(self.per_s)
        took_s = waits_s + self.unloaded_s
        return took_s, HalfCovered(took_s)


def capacities() -> SearchCapacities:
    """Returns capacities of a daemon that has just started."""
    return SearchCapacities(random.Random(SEED))


class OverloadTest(unittest.TestCase):
    """Queries above what the targets can answer are refused, and only those."""

    def setUp(self) -> None:
        self.queue = Queue(capacities())

    def test_usual_load_is_never_refused(self) -> None:
        self.assertEqual(self.queue.run(CAPACITY_PER_S / 4, 60.0).refused, 0)

    def test_what_is_admitted_under_ten_times_the_load_is_timely(self) -> None:
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

    def test_capacity_that_comes_back_is_used_within_two_seconds(self) -> None:
        self.queue.run(10 * CAPACITY_PER_S, 5.0)
        self.queue.per_s = 5 * CAPACITY_PER_S
        self.queue.run(10 * CAPACITY_PER_S, 2.0)
        counts = self.queue.run(10 * CAPACITY_PER_S, 2.0)
        self.assertGreater(counts.timely, 0.8 * 2.0 * 5 * CAPACITY_PER_S)

    def test_an_index_that_is_slow_without_load_is_not_refused(self) -> None:
        self.queue.unloaded_s = 0.07
        self.assertEqual(self.queue.run(CAPACITY_PER_S / 4, 60.0).refused, 0)

    def test_an_index_that_becomes_slow_is_learned_anew(self) -> None:
        self.queue.run(CAPACITY_PER_S / 4, 60.0)
        self.queue.unloaded_s = 0.07
        self.queue.run(
            CAPACITY_PER_S / 4, 2 * UNLOADED_WINDOW_S + LIMIT_RELEASE_S + 3.0
        )
        self.assertEqual(self.queue.run(CAPACITY_PER_S / 4, 60.0).refused, 0)


class BurstTest(unittest.TestCase):
    """A burst of callers who wait for their answers is bounded by one cut.

    The pattern: 80 callers come at once to daemons that know no limit. The searches
    of the burst may be late; the ones that are let in after its deadline may not.
    """

    def test_what_is_let_in_after_the_burst_is_timely(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                callers = WaitingCallers(seed)
                self.assertLessEqual(callers.late_share(1.5, 3.0), 0.1)


class IsolationTest(unittest.TestCase):
    """One owner's overload of one index refuses nobody and nothing else."""

    def setUp(self) -> None:
        queue = Queue(capacities())
        queue.run(10 * CAPACITY_PER_S, 5.0)
        self.now_s, self.capacities = queue.now_s, queue.capacities

    def entered(self, owner: OwnerId, index: IndexName) -> int:
        """Returns how many of a hundred queries are let in at once."""
        entered = [
            self.capacities.try_acquire(owner, index, self.now_s) for _ in range(100)
        ]
        return sum(isinstance(e, Success) for e in entered)

    def test_the_overloaded_owner_is_bounded(self) -> None:
        self.assertLess(self.entered(OWNER, INDEX), 20)

    def test_the_neighbour_is_not(self) -> None:
        self.assertEqual(self.entered(NEIGHBOUR, INDEX), 100)

    def test_another_index_is_not(self) -> None:
        self.assertEqual(self.entered(OWNER, OTHER_INDEX), 100)

    def test_the_refusal_names_kind_fault_and_remedy(self) -> None:
        self.entered(OWNER, INDEX)
        refusal = self.capacities.try_acquire(OWNER, INDEX, self.now_s).failure()
        self.assertIs(refusal.kind, RefusalKind.OVER_CAPACITY)
        self.assertIs(refusal.fault, Fault.TARGET)
        self.assertIn("later", refusal.remedy)


class EvidenceTest(unittest.TestCase):
    """Only lasting trouble with half of the shards is an overload."""

    def setUp(self) -> None:
        self.capacities = capacities()
        self.now_s = 0.0

    def search(
        self,
        feedback: Feedback,
        budget_s: float = BUDGET_S,
        at_once: int = OWN_LOAD_MIN_SEARCHES,
    ) -> bool:
        """Lets queries in and out together; returns whether the first was let in."""
        entered = [
            self.capacities.try_acquire(OWNER, INDEX, self.now_s)
            for _ in range(at_once)
        ]
        self.now_s += UNLOADED_S
        for each in entered:
            match each:
                case Success(permit):
                    permit.release(feedback, budget_s, self.now_s)
        return isinstance(entered[0], Success)

    def is_limited(self) -> bool:
        """Returns whether any of a hundred queries at once is refused."""
        entered = [
            self.capacities.try_acquire(OWNER, INDEX, self.now_s) for _ in range(100)
        ]
        for permit in entered:
            permit.map(self._leave)
        return any(isinstance(permit, Failure) for permit in entered)

    def _leave(self, permit: Permit) -> None:
        permit.release(Inconclusive(), BUDGET_S, self.now_s)

    def test_queries_that_stay_starved_limit(self) -> None:
        self.search(HalfCovered(UNLOADED_S))
        for _ in range(100):
            self.search(Starved())
        self.assertTrue(self.is_limited())

    def test_searches_that_were_starved_from_the_start_limit(self) -> None:
        for _ in range(100):
            self.search(Starved())
        self.assertTrue(self.is_limited())

    def test_searches_that_are_alone_on_the_host_do_not(self) -> None:
        self.search(HalfCovered(UNLOADED_S), at_once=1)
        for _ in range(1_000):
            self.assertTrue(self.search(Starved(), at_once=1))
        self.assertFalse(self.is_limited())

    def test_one_pause_of_the_process_does_not(self) -> None:
        for _ in range(100):
            self.search(HalfCovered(UNLOADED_S))
        for _ in range(4):
            self.search(Starved())
        for _ in range(100):
            self.search(HalfCovered(UNLOADED_S))
        self.assertFalse(self.is_limited())

    def test_a_minority_of_starved_queries_does_not(self) -> None:
        for _ in range(100):
            self.search(HalfCovered(UNLOADED_S))
            self.search(HalfCovered(UNLOADED_S))
            self.search(Starved())
        self.assertFalse(self.is_limited())

    def test_failures_of_another_kind_do_not(self) -> None:
        for _ in range(100):
            self.search(Inconclusive())
        self.assertFalse(self.is_limited())

    def test_deadlines_that_no_answer_could_meet_do_not(self) -> None:
        self.search(HalfCovered(UNLOADED_S))
        for _ in range(100):
            self.search(Starved(), budget_s=1.5 * UNLOADED_S)
        self.assertFalse(self.is_limited())

    def test_the_lowest_limit_lets_some_in(self) -> None:
        self.search(HalfCovered(UNLOADED_S))
        for _ in range(1_000):
            self.search(Starved())
        entered = [self.search(Starved()) for _ in range(1_000)]
        self.assertAlmostEqual(sum(entered) / 1_000, LIMIT_MIN, delta=0.1)

    def test_a_few_quick_searches_raise_the_lowest_limit(self) -> None:
        self.search(HalfCovered(UNLOADED_S))
        for _ in range(1_000):
            self.search(Starved())
        for _ in range(100):
            self.search(HalfCovered(UNLOADED_S))
        self.assertTrue(all(self.search(HalfCovered(UNLOADED_S)) for _ in range(50)))


class FeedbackTest(unittest.TestCase):
    """An answer tells how fast its first half of shards came, or why it did not."""

    def searched(self, reactions: dict[int, object], shards: int = 4) -> Feedback:
        """Returns the feedback of a search whose shards react in some way."""
        found: Tier = tier(index_of(shards))
        found.dispatch.reactions = {
            target: reaction  # type: ignore[misc]
            for shard, reaction in reactions.items()
            for target in found.index.versions[max(found.index.versions)][shard]
        }
        return feedback_of(found.search(0.05))

    def test_one_slow_target_does_not_count(self) -> None:
        match self.searched({0: silent}):
            case HalfCovered(took_s):
                self.assertLess(took_s, 0.05)
            case feedback:
                self.fail(f"{feedback}")

    def test_shards_that_do_not_answer_starve_it(self) -> None:
        self.assertEqual(self.searched(dict.fromkeys(range(3), silent)), Starved())

    def test_shards_without_room_starve_it(self) -> None:
        full = declines(DeclineReason.QUEUE_FULL)
        self.assertEqual(self.searched(dict.fromkeys(range(3), full)), Starved())

    def test_lost_targets_say_nothing(self) -> None:
        lost = loses(LossReason.PEER_LOST)
        self.assertEqual(self.searched(dict.fromkeys(range(3), lost)), Inconclusive())

    def test_a_version_that_is_not_held_says_nothing(self) -> None:
        gone = declines(DeclineReason.VERSION_NOT_HELD)
        self.assertEqual(self.searched(dict.fromkeys(range(4), gone)), Inconclusive())
