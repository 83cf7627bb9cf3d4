"""Tests of `lavendertide.queries.fan_out`."""

from dataclasses import replace
from unittest import mock

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
from lavendertide.queries.snapshot import Holdings
from lavendertide.queries.target_reports import TargetReports
from lavendertide.queries.timing import IndexTiming
from lavendertide.queries.wait_policies import HANDOVER_PAUSE_MAX_S
from lavendertide.runtime import clock
from lavendertide.targets.observations import TargetObservations
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


def gap_reasons(fake_tier: Tier, deadline_s: float = 0.05) -> list[GapReason]:
    """Runs a search; returns the reasons of its gaps."""
    return [gap.reason for gap in fake_tier.search(deadline_s).gaps]


def answering_after(declined: int, reason: DeclineReason) -> Reaction:
    """Returns a reaction that declines a number of requests, then answers."""
    left = iter(range(declined))

    def react(request: SubRequest) -> SubReply | None:
        is_declined = next(left, None) is not None
        return (declines(reason) if is_declined else answered)(request)

    return react


class OneSnapshotTest(VirtualTimeTestCase):
    """Guards against responses that mix queries, versions or shards."""

    def assert_ignored(self, **wrong: object) -> None:
        """Asserts that a reply with wrong fields is ignored and the shard retried."""

        def react(request: SubRequest) -> SubReply:
            reply = answered(request)
            assert isinstance(reply, Answered)
            return replace(reply, **wrong)  # type: ignore[arg-type]

        fake_tier = tier(index_of(1))
        fake_tier.dispatch.reactions = {NEAR: react}
        response = fake_tier.search()
        self.assertEqual(len(fake_tier.dispatch.sent_to(FAR)), 1)
        self.assertEqual([row.key for row in response.page.rows], ["1/0"])

    def test_a_reply_to_another_query_is_ignored(self) -> None:
        self.assert_ignored(query=QueryId("another"))

    def test_a_reply_of_another_version_is_ignored(self) -> None:
        self.assert_ignored(version=IndexVersion(2))

    def test_a_reply_for_another_shard_is_ignored(self) -> None:
        self.assert_ignored(shard=ShardNumber(3))

    def test_a_reply_to_an_unknown_attempt_is_ignored(self) -> None:
        fake_tier = tier(index_of(1, replicas=1))

        def react(request: SubRequest) -> SubReply:
            reply = answered(request)
            assert isinstance(reply, Answered)
            return replace(reply, attempt=AttemptId("another"))

        fake_tier.dispatch.reactions = {NEAR: react}
        self.assertEqual(fake_tier.search(0.05).covered, ())

    def test_a_late_reply_does_not_enter_the_next_response(self) -> None:
        fake_tier = tier(index_of(1, replicas=1))
        fake_tier.dispatch.reactions = {NEAR: silent}
        fake_tier.search(0.05)
        ((request, inbox),) = fake_tier.dispatch.open.values()
        inbox.send(answered(request))
        fake_tier.dispatch.reactions = {}
        response = fake_tier.search()
        self.assertEqual((response.page.matches, response.attempts), (1, 1))


class RestartTest(VirtualTimeTestCase):
    """A query whose version is no longer served starts over with another one."""

    def tier_without_version(self, version: int) -> "Tier":
        """Returns a tier whose shard 0 no longer serves a version."""

        def react(request: SubRequest) -> SubReply | None:
            if request.version == version:
                return declines(DeclineReason.VERSION_NOT_HELD)(request)
            return answered(request)

        fake_tier = tier(index_of(3, versions=(1, 2)))
        fake_tier.dispatch.reactions = {NEAR: react, FAR: react}
        return fake_tier

    def test_the_older_version_is_read_for_all_shards(self) -> None:
        response = self.tier_without_version(2).search()
        self.assertEqual(response.version, 1)
        self.assertEqual(response.covered, (0, 1, 2))
        versions = {row.key.split("/")[0] for row in response.page.rows}
        self.assertEqual(versions, {"1"})
        self.assertEqual(response.page.matches, 3)

    def test_a_version_published_during_the_query_is_read(self) -> None:
        fake_tier = self.tier_without_version(1)
        fake_tier.index = index_of(3, versions=(1,))
        fake_tier.configuration.publish(index_of(5, versions=(2,)))
        response = fake_tier.search()
        self.assertEqual(response.version, 2)
        self.assertEqual(response.covered, (0, 1, 2, 3, 4))

    def test_without_another_version_the_gap_has_a_reason(self) -> None:
        fake_tier = self.tier_without_version(1)
        fake_tier.index = index_of(3, versions=(1,))
        fake_tier.configuration.publish(fake_tier.index)
        response = fake_tier.search()
        self.assertEqual(response.covered, (1, 2))
        self.assertEqual(
            [gap.reason for gap in response.gaps], [GapReason.VERSION_NOT_HELD]
        )

    def test_no_attempt_is_sent_for_a_shard_known_to_be_gone(self) -> None:
        fake_tier = self.tier_without_version(1)
        fake_tier.index = index_of(3, versions=(1,))
        fake_tier.configuration.publish(fake_tier.index)
        fake_tier.search()
        response = fake_tier.search()
        self.assertEqual((response.covered, response.attempts), ((1, 2), 2))
        self.assertEqual(
            [gap.reason for gap in response.gaps], [GapReason.VERSION_NOT_HELD]
        )

    def test_number_of_restarts_is_bounded(self) -> None:
        versions = tuple(range(1, 10))
        fake_tier = tier(index_of(1, versions=versions))
        react = declines(DeclineReason.VERSION_NOT_HELD)
        fake_tier.dispatch.reactions = {NEAR: react, FAR: react}
        self.assertEqual(fake_tier.search().attempts, 8)


class HedgeTest(VirtualTimeTestCase):
    """A late attempt is hedged, within the budget and the replica's free slots."""

    def test_a_late_attempt_is_hedged_and_cancelled(self) -> None:
        fake_tier = tier(index_of(2))
        fake_tier.dispatch.reactions = {NEAR: silent}
        response = fake_tier.search()
        self.assertEqual((response.covered, response.attempts), ((0, 1), 3))
        (late_request,) = fake_tier.dispatch.sent_to(NEAR)
        self.assertEqual(fake_tier.dispatch.cancelled, [late_request.attempt])

    def test_no_hedge_is_sent_to_a_replica_without_free_slots(self) -> None:
        fake_tier = tier(index_of(1))
        fake_tier.dispatch.reactions = {NEAR: silent}
        sub_requests_to = fake_tier.dispatch.sent_to
        fake_tier.dependencies.reports.record_spare_slots(FAR, 0, float("inf"))
        self.assertEqual(fake_tier.search(0.1).covered, ())
        self.assertEqual(sub_requests_to(FAR), [])
        budget = fake_tier.dependencies.hedge_budgets.budget_of(fake_tier.index.owner)
        self.assertGreater(budget.withheld[WithheldCause.NO_ROOM], 0)

    def test_a_spent_hedge_budget_sends_no_hedge(self) -> None:
        fake_tier = tier(index_of(1))
        fake_tier.dispatch.reactions = {NEAR: silent}
        budget = fake_tier.dependencies.hedge_budgets.budget_of(fake_tier.index.owner)
        while budget.try_spend():
            pass
        self.assertEqual(fake_tier.search(0.1).attempts, 1)
        self.assertGreater(budget.withheld[WithheldCause.NO_BUDGET], 0)

    def test_an_unanswered_hedge_frees_its_slot_for_the_next(self) -> None:
        fake_tier = tier(index_of(1))
        fake_tier.dispatch.reactions = {NEAR: silent, FAR: silent}
        for _ in range(3):
            self.assertEqual(fake_tier.search(0.1).hedges, 1)

    def test_a_hedge_of_a_failed_query_frees_its_slot_for_the_next(self) -> None:
        def fails(request: SubRequest) -> SubReply | None:
            raise OSError(request.target)

        fake_tier = tier(index_of(2))
        second = TargetId("t1-0"), TargetId("t1-1")
        fake_tier.dispatch.reactions = {NEAR: silent, FAR: silent}
        fake_tier.dispatch.reactions |= {second[0]: silent, second[1]: fails}
        with self.assertRaises(OSError):
            fake_tier.search()
        for target in second:
            del fake_tier.dispatch.reactions[target]
        self.assertEqual(len(fake_tier.dispatch.sent_to(FAR)), 1)
        fake_tier.search(0.5)
        self.assertEqual(len(fake_tier.dispatch.sent_to(FAR)), 2)

    def test_a_straggler_is_hedged_soon_after_a_burst_of_slow_replies(self) -> None:
        fake_tier = tier(index_of(1))
        fake_tier.dispatch.reactions = {NEAR: silent}
        now_s = clock.monotonic_s()
        timing = fake_tier.dependencies.timings.timing_of(INDEX, now_s - 4.0)
        for _ in range(200):
            timing.observe(2 * DEADLINE_S, now_s - 4.0)
        for number in range(300):
            timing.observe(0.01, now_s - 3.0 + number / 100)
        response = fake_tier.search()
        self.assertEqual((response.covered, response.hedges), ((0,), 1))

    def test_any_replica_policy_sends_attempts_in_parallel(self) -> None:
        policies = with_policies(replicas=AnyReplica(at_once=2))
        response = tier(index_of(3), policies).search()
        self.assertEqual((response.attempts, response.page.matches), (6, 3))


class RetryTest(VirtualTimeTestCase):
    """A failed attempt is retried at the next replica, within a budget."""

    def test_a_declined_shard_is_retried_at_another_replica(self) -> None:
        fake_tier = tier(index_of(1))
        fake_tier.dispatch.reactions = {NEAR: declines(DeclineReason.SHED)}
        self.assertEqual(fake_tier.search().covered, (0,))

    def test_an_avoided_replica_is_tried_last(self) -> None:
        fake_tier = tier(index_of(1))
        fake_tier.dispatch.reactions = {NEAR: declines(DeclineReason.UNREACHABLE)}
        fake_tier.search()
        self.assertEqual(fake_tier.search().attempts, 1)

    def test_a_spent_retry_budget_leaves_a_gap_with_the_last_reason(self) -> None:
        policies = with_policies(retries=RetryOptions(extra_load=0.0))
        fake_tier = tier(index_of(1), policies)
        fake_tier.dispatch.reactions = {NEAR: declines(DeclineReason.SHED)}
        budget = fake_tier.dependencies.retry_budgets.budget_of(fake_tier.index.owner)
        while budget.try_spend():
            pass
        self.assertEqual(gap_reasons(fake_tier), [GapReason.REFUSED_BY_TARGETS])
        self.assertEqual(len(fake_tier.dispatch.sent), 1)

    def test_coverage_first_starts_another_round(self) -> None:
        sheds_twice = answering_after(2, DeclineReason.SHED)
        policies = with_policies(coverage_first=CoverageFirst(pause_ms=1.0))
        fake_tier = tier(index_of(1, preference="coverage"), policies)
        fake_tier.dispatch.reactions = {NEAR: sheds_twice, FAR: sheds_twice}
        self.assertEqual(fake_tier.search().covered, (0,))
        self.assertEqual(len(fake_tier.dispatch.sent), 3)

    def test_slots_being_handed_over_are_waited_for(self) -> None:
        for preference in ("latency", "coverage"):
            with self.subTest(preference):
                fake_tier = tier(index_of(1, preference=preference))
                declines_then_answers = answering_after(7, DeclineReason.NO_LEASE)
                fake_tier.dispatch.reactions = dict.fromkeys(
                    (NEAR, FAR), declines_then_answers
                )
                self.assertEqual(fake_tier.search().covered, (0,))

    def test_one_replica_being_handed_over_is_waited_for(self) -> None:
        fake_tier = tier(index_of(1))
        fake_tier.dispatch.reactions = {
            NEAR: answering_after(1, DeclineReason.NO_LEASE),
            FAR: loses(LossReason.TIMED_OUT),
        }
        self.assertEqual(fake_tier.search().covered, (0,))

    def test_a_slow_handover_is_waited_for_until_the_deadline(self) -> None:
        """A handover is slow if a host is replaced while all are short of CPU time."""
        for preference in ("latency", "coverage"):
            with self.subTest(preference):
                fake_tier = tier(index_of(1, preference=preference))
                declines_then_answers = answering_after(14, DeclineReason.NO_LEASE)
                fake_tier.dispatch.reactions = dict.fromkeys(
                    (NEAR, FAR), declines_then_answers
                )
                self.assertEqual(fake_tier.search().covered, (0,))

    def test_slots_without_a_holder_are_retried_at_a_bounded_rate(self) -> None:
        no_lease = declines(DeclineReason.NO_LEASE)
        fake_tier = tier(index_of(1))
        fake_tier.dispatch.reactions = {NEAR: no_lease, FAR: no_lease}
        started_at_s = clock.monotonic_s()
        self.assertEqual(gap_reasons(fake_tier, 1.0), [GapReason.NO_REPLICA])
        self.assertLess(clock.monotonic_s() - started_at_s, 1.1)
        # Four pauses until the maximum, then one round per maximum pause.
        rounds_max = 1 + 4 + 1.0 / HANDOVER_PAUSE_MAX_S
        self.assertLessEqual(len(fake_tier.dispatch.sent), 2 * rounds_max)


class WaitTest(VirtualTimeTestCase):
    """A wait policy decides how long a search waits for its last shards."""

    def covered_and_cancelled(self, preference: str) -> tuple[int, int]:
        """Returns the numbers of covered shards and cancelled attempts."""
        policies = with_policies(
            latency_first=LatencyFirst(deadline_share=0.1, coverage_min=0.75)
        )
        fake_tier = tier(index_of(4, replicas=1, preference=preference), policies)
        fake_tier.dispatch.reactions = {NEAR: silent}
        return len(fake_tier.search(0.5).covered), len(fake_tier.dispatch.cancelled)

    def test_both_policies_leave_a_gap_for_a_shard_that_never_answers(self) -> None:
        for preference in ("latency", "coverage"):
            with self.subTest(preference):
                self.assertEqual(self.covered_and_cancelled(preference), (3, 1))

    def test_a_search_below_the_minimum_coverage_waits(self) -> None:
        policies = with_policies(
            latency_first=LatencyFirst(deadline_share=0.001, coverage_min=1.0)
        )
        fake_tier = tier(index_of(1), policies)
        fake_tier.dispatch.reactions = {NEAR: silent}
        self.assertEqual(fake_tier.search().covered, (0,))


class PoisonTest(VirtualTimeTestCase):
    """Guards against sending a request that may have crashed a target to another."""

    def test_a_crashed_target_ends_retries(self) -> None:
        fake_tier = tier(index_of(1, replicas=4, preference="coverage"))
        fake_tier.dispatch.reactions = {NEAR: loses(LossReason.TARGET_CLOSED)}
        fake_tier.dispatch.reactions[TargetId("t0-2")] = fake_tier.dispatch.reactions[
            NEAR
        ]
        self.assertEqual(gap_reasons(fake_tier), [GapReason.TARGET_FAILED])
        self.assertEqual(len(fake_tier.dispatch.sent), 1)

    def test_a_malformed_reply_is_no_crash(self) -> None:
        """The target that sent it lives, so another one may run the request."""
        fake_tier = tier(index_of(1))
        fake_tier.dispatch.reactions = {NEAR: loses(LossReason.MALFORMED_REPLY)}
        self.assertEqual(fake_tier.search().covered, (0,))

    def test_a_crashed_target_ends_hedges_of_other_shards(self) -> None:
        fake_tier = tier(index_of(2))
        closed = loses(LossReason.TARGET_CLOSED)
        fake_tier.dispatch.reactions = {NEAR: closed, TargetId("t1-0"): silent}
        fake_tier.search(0.1)
        self.assertEqual(len(fake_tier.dispatch.sent), 2)

    def test_another_query_may_still_retry(self) -> None:
        fake_tier = tier(index_of(1))
        fake_tier.dispatch.reactions = {NEAR: loses(LossReason.TARGET_CLOSED)}
        fake_tier.search(0.1)
        fake_tier.dispatch.reactions = {NEAR: declines(DeclineReason.SHED)}
        self.assertEqual(fake_tier.search().covered, (0,))

    def test_a_quarantined_request_ends_at_once(self) -> None:
        # Rules out a hedge that is due before the refusal arrives.
        never_due = BudgetedHedge(delay_cold_ms=2_000 * DEADLINE_S)
        fake_tier = tier(index_of(3), with_policies(hedging=never_due))
        fake_tier.dispatch.reactions = {
            NEAR: silent,
            TargetId("t1-0"): declines(DeclineReason.POISONED),
        }
        response = fake_tier.search()
        self.assertEqual({gap.reason for gap in response.gaps}, {GapReason.POISONED})
        self.assertLess(len(fake_tier.dispatch.sent), 4)


class OutcomeTest(VirtualTimeTestCase):
    """Guards against outcomes that claim more than is certain."""

    def outcome(self, **reactions: object) -> Outcome:
        """Returns the outcome of a search over two replicas."""
        fake_tier = tier(index_of(1))
        fake_tier.dispatch.reactions = {
            NEAR: reactions["near"],  # type: ignore[dict-item]
            FAR: reactions["far"],  # type: ignore[dict-item]
        }
        return fake_tier.search(0.1).outcome

    def test_a_search_declined_by_all_has_not_run(self) -> None:
        shed = declines(DeclineReason.SHED)
        self.assertIs(self.outcome(near=shed, far=shed), Outcome.NOT_RUN)

    def test_one_lost_attempt_makes_the_outcome_unknown(self) -> None:
        shed = declines(DeclineReason.SHED)
        lost = loses(LossReason.PEER_LOST)
        self.assertIs(self.outcome(near=lost, far=shed), Outcome.UNKNOWN)

    def test_one_open_attempt_makes_the_outcome_unknown(self) -> None:
        shed = declines(DeclineReason.SHED)
        self.assertIs(self.outcome(near=silent, far=shed), Outcome.UNKNOWN)

    def test_a_search_with_one_covered_shard_has_run(self) -> None:
        self.assertIs(self.outcome(near=answered, far=silent), Outcome.RAN)


class MemoryTest(VirtualTimeTestCase):
    """Results that do not fit become gaps, and all memory is released."""

    def test_a_result_that_does_not_fit_is_a_gap(self) -> None:
        memory = ResultsMemory(1_000_000, 400)
        fake_tier = tier(index_of(4), memory=memory)
        response = fake_tier.search()
        self.assertEqual(len(response.covered), 2)
        self.assertEqual(
            {gap.reason for gap in response.gaps}, {GapReason.RESULT_TOO_LARGE}
        )
        self.assertEqual(memory.held_bytes, 0)

    def test_sub_requests_ask_for_no_more_rows_than_the_page(self) -> None:
        fake_tier = tier(index_of(2))
        fake_tier.search(page_size=7)
        self.assertEqual([sent.page_size for sent in fake_tier.dispatch.sent], [7, 7])

    def test_memory_is_released_when_the_process_is_full(self) -> None:
        memory = ResultsMemory(400, 100_000)
        response = tier(index_of(4), memory=memory).search()
        self.assertEqual(len(response.covered), 2)
        self.assertEqual(memory.held_bytes, 0)


class DeadlineTest(VirtualTimeTestCase):
    """The time limit of each attempt is clamped to the query's deadline."""

    def test_an_attempt_is_clamped_to_the_remaining_time(self) -> None:
        fake_tier = tier(index_of(1))
        fake_tier.search(0.2)
        (request,) = fake_tier.dispatch.sent
        self.assertLessEqual(request.remaining_ms, 198)

    def test_a_distant_replica_has_less_time(self) -> None:
        fake_tier = tier(index_of(1))
        fake_tier.dispatch.reactions = {NEAR: declines(DeclineReason.SHED)}
        fake_tier.search(0.2)
        near, far = fake_tier.dispatch.sent
        self.assertLessEqual(far.remaining_ms, near.remaining_ms - 8)

    def test_no_attempt_starts_below_the_floor(self) -> None:
        fake_tier = tier(index_of(3))
        response = fake_tier.search(0.003)
        self.assertEqual((response.attempts, len(response.gaps)), (0, 3))
        self.assertIs(response.outcome, Outcome.NOT_RUN)


class FailingObservationTest(VirtualTimeTestCase):
    """A record of a target that fails leaves the search as it is.

    Guards against searches that ended by an exception although their targets replied.
    """

    def setUp(self) -> None:
        self.tier = tier(index_of(2))

    def test_the_answers_are_used(self) -> None:
        for owner, name in (
            (TargetObservations, "record_answer"),
            (IndexTiming, "observe"),
            (Holdings, "record_served"),
        ):
            with (
                self.subTest(name),
                mock.patch.object(owner, name, side_effect=KeyError),
            ):
                self.assertEqual(self.tier.search().covered, (0, 1))

    def test_a_declined_shard_is_retried(self) -> None:
        for shard in range(2):
            declined = declines(DeclineReason.SHED)
            self.tier.dispatch.reactions[TargetId(f"t{shard}-0")] = declined
        with mock.patch.object(TargetReports, "record_decline", side_effect=KeyError):
            self.assertEqual(self.tier.search().covered, (0, 1))
