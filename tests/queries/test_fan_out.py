"""Tests of `lavendertide.queries.fan_out`."""

from dataclasses import replace

from lavendertide.ids import AttemptId, IndexVersion, QueryId, ShardNumber, TargetId
from lavendertide.messages import (
    Answered,
    DeclineReason,
    LossReason,
    Outcome,
    SubReply,
    SubRequest,
)
from lavendertide.options import (
    AnyReplica,
    BudgetedHedge,
    CoverageFirst,
    LatencyFirst,
    RetryOptions,
)
from lavendertide.queries.coverage import GapReason
from lavendertide.queries.hedging import WithheldCause
from lavendertide.queries.results_memory import ResultsMemory
from lavendertide.queries.waiting import HANDOVER_PAUSE_MAX_S
from lavendertide.runtime import clock
from tests.queries.fakes import (
    DEADLINE_S,
    INDEX,
    Reaction,
    Tier,
    answered,
    declines,
    index_of,
    loses,
    silent,
    tier,
    with_policies,
)
from tests.virtual_time import VirtualTimeTestCase

NEAR, FAR = TargetId("t0-0"), TargetId("t0-1")


def reasons(searched: Tier, deadline_s: float = 0.05) -> list[GapReason]:
    """Returns why the shards of a search were not covered."""
    return [gap.reason for gap in searched.search(deadline_s).gaps]


def answers_after(declined: int, reason: DeclineReason) -> Reaction:
    """Returns the reaction of targets that decline so often before they answer."""
    left = iter(range(declined))

    def react(request: SubRequest) -> SubReply | None:
        is_declined = next(left, None) is not None
        return (declines(reason) if is_declined else answered)(request)

    return react


class OneSnapshotTest(VirtualTimeTestCase):
    """An answer takes in nothing but its own replies of its own version."""

    def assert_refused(self, **wrong: object) -> None:
        """Asserts that a reply with wrong fields is not taken in."""

        def react(request: SubRequest) -> SubReply:
            reply = answered(request)
            assert isinstance(reply, Answered)
            return replace(reply, **wrong)  # type: ignore[arg-type]

        searched = tier(index_of(1))
        searched.dispatch.reactions = {NEAR: react}
        answer = searched.search()
        self.assertEqual(len(searched.dispatch.asked(FAR)), 1)
        self.assertEqual([row.key for row in answer.page.rows], ["1/0"])

    def test_a_reply_to_another_query_is_not_taken_in(self) -> None:
        self.assert_refused(query=QueryId("another"))

    def test_a_reply_of_another_version_is_not_taken_in(self) -> None:
        self.assert_refused(version=IndexVersion(2))

    def test_a_reply_for_another_shard_is_not_taken_in(self) -> None:
        self.assert_refused(shard=ShardNumber(3))

    def test_a_reply_to_an_unknown_attempt_is_passed_over(self) -> None:
        searched = tier(index_of(1, replicas=1))

        def react(request: SubRequest) -> SubReply:
            reply = answered(request)
            assert isinstance(reply, Answered)
            return replace(reply, attempt=AttemptId("another"))

        searched.dispatch.reactions = {NEAR: react}
        self.assertEqual(searched.search(0.05).covered, ())

    def test_a_late_reply_reaches_nobody(self) -> None:
        searched = tier(index_of(1, replicas=1))
        searched.dispatch.reactions = {NEAR: silent}
        searched.search(0.05)
        ((request, inbox),) = searched.dispatch.open.values()
        inbox.send(answered(request))
        searched.dispatch.reactions = {}
        answer = searched.search()
        self.assertEqual((answer.page.matches, answer.attempts), (1, 1))


class RestartTest(VirtualTimeTestCase):
    """A query whose version is gone reads another one from the start."""

    def gone(self, version: int) -> "Tier":
        """Returns a tier whose shard 0 no longer serves a version."""

        def react(request: SubRequest) -> SubReply | None:
            if request.version == version:
                return declines(DeclineReason.VERSION_NOT_HELD)(request)
            return answered(request)

        searched = tier(index_of(3, versions=(1, 2)))
        searched.dispatch.reactions = {NEAR: react, FAR: react}
        return searched

    def test_the_older_version_is_read_whole(self) -> None:
        answer = self.gone(2).search()
        self.assertEqual(answer.version, 1)
        self.assertEqual(answer.covered, (0, 1, 2))
        versions = {row.key.split("/")[0] for row in answer.page.rows}
        self.assertEqual(versions, {"1"})
        self.assertEqual(answer.page.matches, 3)

    def test_a_version_published_meanwhile_is_read(self) -> None:
        searched = self.gone(1)
        searched.index = index_of(3, versions=(1,))
        searched.configuration.publish(index_of(5, versions=(2,)))
        answer = searched.search()
        self.assertEqual(answer.version, 2)
        self.assertEqual(answer.covered, (0, 1, 2, 3, 4))

    def test_without_another_version_the_gap_says_why(self) -> None:
        searched = self.gone(1)
        searched.index = index_of(3, versions=(1,))
        searched.configuration.publish(searched.index)
        answer = searched.search()
        self.assertEqual(answer.covered, (1, 2))
        self.assertEqual(
            [gap.reason for gap in answer.gaps], [GapReason.VERSION_NOT_HELD]
        )

    def test_a_shard_known_to_be_gone_is_not_asked(self) -> None:
        searched = self.gone(1)
        searched.index = index_of(3, versions=(1,))
        searched.configuration.publish(searched.index)
        searched.search()
        answer = searched.search()
        self.assertEqual((answer.covered, answer.attempts), ((1, 2), 2))
        self.assertEqual(
            [gap.reason for gap in answer.gaps], [GapReason.VERSION_NOT_HELD]
        )

    def test_restarts_are_bounded(self) -> None:
        versions = tuple(range(1, 10))
        searched = tier(index_of(1, versions=versions))
        react = declines(DeclineReason.VERSION_NOT_HELD)
        searched.dispatch.reactions = {NEAR: react, FAR: react}
        self.assertEqual(searched.search().attempts, 8)


class HedgeTest(VirtualTimeTestCase):
    """A straggler is asked of a second replica where that has room."""

    def test_a_straggler_is_hedged_and_its_loser_cancelled(self) -> None:
        searched = tier(index_of(2))
        searched.dispatch.reactions = {NEAR: silent}
        answer = searched.search()
        self.assertEqual((answer.covered, answer.attempts), ((0, 1), 3))
        (loser,) = searched.dispatch.asked(NEAR)
        self.assertEqual(searched.dispatch.cancelled, [loser.attempt])

    def test_a_replica_without_room_is_not_hedged_to(self) -> None:
        searched = tier(index_of(1))
        searched.dispatch.reactions = {NEAR: silent}
        full = searched.dispatch.asked
        searched.dependencies.reports.hear(FAR, 0, float("inf"))
        self.assertEqual(searched.search(0.1).covered, ())
        self.assertEqual(full(FAR), [])
        budget = searched.dependencies.hedge_budgets.budget_of(searched.index.owner)
        self.assertGreater(budget.withheld[WithheldCause.NO_ROOM], 0)

    def test_a_spent_budget_sends_no_hedge(self) -> None:
        searched = tier(index_of(1))
        searched.dispatch.reactions = {NEAR: silent}
        budget = searched.dependencies.hedge_budgets.budget_of(searched.index.owner)
        while budget.spend():
            pass
        self.assertEqual(searched.search(0.1).attempts, 1)
        self.assertGreater(budget.withheld[WithheldCause.NO_BUDGET], 0)

    def test_a_hedge_that_lost_leaves_its_room_to_the_next(self) -> None:
        searched = tier(index_of(1))
        searched.dispatch.reactions = {NEAR: silent, FAR: silent}
        for _ in range(3):
            self.assertEqual(searched.search(0.1).hedges, 1)

    def test_a_hedge_of_a_query_that_failed_leaves_its_room_to_the_next(self) -> None:
        def fails(request: SubRequest) -> SubReply | None:
            raise OSError(request.target)

        searched = tier(index_of(2))
        second = TargetId("t1-0"), TargetId("t1-1")
        searched.dispatch.reactions = {NEAR: silent, FAR: silent}
        searched.dispatch.reactions |= {second[0]: silent, second[1]: fails}
        with self.assertRaises(OSError):
            searched.search()
        for target in second:
            del searched.dispatch.reactions[target]
        self.assertEqual(len(searched.dispatch.asked(FAR)), 1)
        searched.search(0.5)
        self.assertEqual(len(searched.dispatch.asked(FAR)), 2)

    def test_a_straggler_is_hedged_soon_after_a_burst_of_slow_replies(self) -> None:
        searched = tier(index_of(1))
        searched.dispatch.reactions = {NEAR: silent}
        now_s = clock.monotonic_s()
        timing = searched.dependencies.timings.timing_of(INDEX, now_s - 4.0)
        for _ in range(200):
            timing.observe(2 * DEADLINE_S, now_s - 4.0)
        for number in range(300):
            timing.observe(0.01, now_s - 3.0 + number / 100)
        answer = searched.search()
        self.assertEqual((answer.covered, answer.hedges), ((0,), 1))

    def test_any_replica_asks_all_at_once(self) -> None:
        policies = with_policies(replicas=AnyReplica(at_once=2))
        answer = tier(index_of(3), policies).search()
        self.assertEqual((answer.attempts, answer.page.matches), (6, 3))


class RetryTest(VirtualTimeTestCase):
    """A failed attempt goes to the next replica, within a budget."""

    def test_a_declined_shard_is_asked_elsewhere(self) -> None:
        searched = tier(index_of(1))
        searched.dispatch.reactions = {NEAR: declines(DeclineReason.SHED)}
        self.assertEqual(searched.search().covered, (0,))

    def test_an_avoided_replica_is_asked_last(self) -> None:
        searched = tier(index_of(1))
        searched.dispatch.reactions = {NEAR: declines(DeclineReason.UNREACHABLE)}
        searched.search()
        self.assertEqual(searched.search().attempts, 1)

    def test_a_spent_budget_leaves_an_honest_gap(self) -> None:
        policies = with_policies(retries=RetryOptions(extra_load=0.0))
        searched = tier(index_of(1), policies)
        searched.dispatch.reactions = {NEAR: declines(DeclineReason.SHED)}
        budget = searched.dependencies.retry_budgets.budget_of(searched.index.owner)
        while budget.spend():
            pass
        self.assertEqual(reasons(searched), [GapReason.REFUSED_BY_TARGETS])
        self.assertEqual(len(searched.dispatch.sent), 1)

    def test_coverage_first_asks_the_replicas_again(self) -> None:
        sheds_twice = answers_after(2, DeclineReason.SHED)
        policies = with_policies(coverage_first=CoverageFirst(pause_ms=1.0))
        searched = tier(index_of(1, preference="coverage"), policies)
        searched.dispatch.reactions = {NEAR: sheds_twice, FAR: sheds_twice}
        self.assertEqual(searched.search().covered, (0,))
        self.assertEqual(len(searched.dispatch.sent), 3)

    def test_slots_between_two_holders_are_waited_for(self) -> None:
        for preference in ("latency", "coverage"):
            with self.subTest(preference):
                searched = tier(index_of(1, preference=preference))
                is_handed_over = answers_after(7, DeclineReason.NO_LEASE)
                searched.dispatch.reactions = dict.fromkeys((NEAR, FAR), is_handed_over)
                self.assertEqual(searched.search().covered, (0,))

    def test_one_replica_between_two_holders_is_waited_for(self) -> None:
        searched = tier(index_of(1))
        searched.dispatch.reactions = {
            NEAR: answers_after(1, DeclineReason.NO_LEASE),
            FAR: loses(LossReason.TIMED_OUT),
        }
        self.assertEqual(searched.search().covered, (0,))

    def test_slots_that_pass_slowly_are_waited_for_until_the_deadline(self) -> None:
        """The pattern: a host is replaced while all are short of processor time."""
        for preference in ("latency", "coverage"):
            with self.subTest(preference):
                searched = tier(index_of(1, preference=preference))
                is_handed_over = answers_after(14, DeclineReason.NO_LEASE)
                searched.dispatch.reactions = dict.fromkeys((NEAR, FAR), is_handed_over)
                self.assertEqual(searched.search().covered, (0,))

    def test_slots_that_nobody_holds_are_asked_for_at_a_bounded_rate(self) -> None:
        nobody = declines(DeclineReason.NO_LEASE)
        searched = tier(index_of(1))
        searched.dispatch.reactions = {NEAR: nobody, FAR: nobody}
        began_s = clock.monotonic_s()
        self.assertEqual(reasons(searched, 1.0), [GapReason.NO_REPLICA])
        self.assertLess(clock.monotonic_s() - began_s, 1.1)
        # Four pauses up to the longest, then one each.
        rounds_max = 1 + 4 + 1.0 / HANDOVER_PAUSE_MAX_S
        self.assertLessEqual(len(searched.dispatch.sent), 2 * rounds_max)


class WaitTest(VirtualTimeTestCase):
    """Who prefers latency does not wait for the last few shards."""

    def covered_and_cancelled(self, preference: str) -> tuple[int, int]:
        """Returns how many shards were covered and how many attempts given up."""
        policies = with_policies(
            latency_first=LatencyFirst(deadline_share=0.1, coverage_min=0.75)
        )
        searched = tier(index_of(4, replicas=1, preference=preference), policies)
        searched.dispatch.reactions = {NEAR: silent}
        return len(searched.search(0.5).covered), len(searched.dispatch.cancelled)

    def test_both_say_the_same_of_a_shard_that_never_answers(self) -> None:
        for preference in ("latency", "coverage"):
            with self.subTest(preference):
                self.assertEqual(self.covered_and_cancelled(preference), (3, 1))

    def test_too_little_coverage_is_waited_for(self) -> None:
        policies = with_policies(
            latency_first=LatencyFirst(deadline_share=0.001, coverage_min=1.0)
        )
        searched = tier(index_of(1), policies)
        searched.dispatch.reactions = {NEAR: silent}
        self.assertEqual(searched.search().covered, (0,))


class PoisonTest(VirtualTimeTestCase):
    """A request that may have ended a target is sent to nobody else."""

    def test_a_closed_target_ends_retries(self) -> None:
        searched = tier(index_of(1, replicas=4, preference="coverage"))
        searched.dispatch.reactions = {NEAR: loses(LossReason.TARGET_CLOSED)}
        searched.dispatch.reactions[TargetId("t0-2")] = searched.dispatch.reactions[
            NEAR
        ]
        self.assertEqual(reasons(searched), [GapReason.TARGET_FAILED])
        self.assertEqual(len(searched.dispatch.sent), 1)

    def test_a_closed_target_ends_hedges_of_other_shards(self) -> None:
        searched = tier(index_of(2))
        closed = loses(LossReason.TARGET_CLOSED)
        searched.dispatch.reactions = {NEAR: closed, TargetId("t1-0"): silent}
        searched.search(0.1)
        self.assertEqual(len(searched.dispatch.sent), 2)

    def test_another_query_goes_on_retrying(self) -> None:
        searched = tier(index_of(1))
        searched.dispatch.reactions = {NEAR: loses(LossReason.TARGET_CLOSED)}
        searched.search(0.1)
        searched.dispatch.reactions = {NEAR: declines(DeclineReason.SHED)}
        self.assertEqual(searched.search().covered, (0,))

    def test_a_condemned_request_ends_at_once(self) -> None:
        # A hedge that is due before the refusal has come is not what this is about.
        never_due = BudgetedHedge(delay_cold_ms=2_000 * DEADLINE_S)
        searched = tier(index_of(3), with_policies(hedging=never_due))
        searched.dispatch.reactions = {
            NEAR: silent,
            TargetId("t1-0"): declines(DeclineReason.POISONED),
        }
        answer = searched.search()
        self.assertEqual({gap.reason for gap in answer.gaps}, {GapReason.POISONED})
        self.assertLess(len(searched.dispatch.sent), 4)


class OutcomeTest(VirtualTimeTestCase):
    """The outcome claims no more than is certain."""

    def outcome(self, **reactions: object) -> Outcome:
        """Returns the outcome of a search over two replicas."""
        searched = tier(index_of(1))
        searched.dispatch.reactions = {
            NEAR: reactions["near"],  # type: ignore[dict-item]
            FAR: reactions["far"],  # type: ignore[dict-item]
        }
        return searched.search(0.1).outcome

    def test_declined_by_all_has_not_run(self) -> None:
        shed = declines(DeclineReason.SHED)
        self.assertIs(self.outcome(near=shed, far=shed), Outcome.NOT_RUN)

    def test_one_lost_attempt_makes_it_unknown(self) -> None:
        shed = declines(DeclineReason.SHED)
        lost = loses(LossReason.PEER_LOST)
        self.assertIs(self.outcome(near=lost, far=shed), Outcome.UNKNOWN)

    def test_one_open_attempt_makes_it_unknown(self) -> None:
        shed = declines(DeclineReason.SHED)
        self.assertIs(self.outcome(near=silent, far=shed), Outcome.UNKNOWN)

    def test_one_covered_shard_has_run(self) -> None:
        self.assertIs(self.outcome(near=answered, far=silent), Outcome.RAN)


class MemoryTest(VirtualTimeTestCase):
    """Results that do not fit are gaps, and everything is given back."""

    def test_what_does_not_fit_is_a_gap(self) -> None:
        memory = ResultsMemory(1_000_000, 400)
        searched = tier(index_of(4), memory=memory)
        answer = searched.search()
        self.assertEqual(len(answer.covered), 2)
        self.assertEqual(
            {gap.reason for gap in answer.gaps}, {GapReason.RESULT_TOO_LARGE}
        )
        self.assertEqual(memory.held_bytes, 0)

    def test_a_target_is_asked_for_no_more_rows_than_the_page(self) -> None:
        searched = tier(index_of(2))
        searched.search(page_size=7)
        self.assertEqual([sent.page_size for sent in searched.dispatch.sent], [7, 7])

    def test_a_full_process_gives_back_too(self) -> None:
        memory = ResultsMemory(400, 100_000)
        answer = tier(index_of(4), memory=memory).search()
        self.assertEqual(len(answer.covered), 2)
        self.assertEqual(memory.held_bytes, 0)


class DeadlineTest(VirtualTimeTestCase):
    """Each attempt has no more time than the query."""

    def test_an_attempt_is_clamped_to_what_is_left(self) -> None:
        searched = tier(index_of(1))
        searched.search(0.2)
        (request,) = searched.dispatch.sent
        self.assertLessEqual(request.remaining_ms, 198)

    def test_a_distant_replica_has_less_time(self) -> None:
        searched = tier(index_of(1))
        searched.dispatch.reactions = {NEAR: declines(DeclineReason.SHED)}
        searched.search(0.2)
        near, far = searched.dispatch.sent
        self.assertLessEqual(far.remaining_ms, near.remaining_ms - 8)

    def test_no_attempt_starts_below_the_floor(self) -> None:
        searched = tier(index_of(3))
        answer = searched.search(0.003)
        self.assertEqual((answer.attempts, len(answer.gaps)), (0, 3))
        self.assertIs(answer.outcome, Outcome.NOT_RUN)
