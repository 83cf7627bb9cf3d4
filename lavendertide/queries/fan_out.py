"""Fans a query out to all shards and merges their results.

A query runs in the task of the caller's connection, in one loop: wait for the next
reply or the next scheduled event, handle it, and check whether the query is finished.
`attempt_controller` chooses the replicas, `wait_policies` decides how long to wait for
the last shards, and `pinning` chooses the index version.
"""

from typing import Final

from returns.result import Failure, Result, Success

from lavendertide.bookkeeping import Isolated
from lavendertide.configuration.catalog import Catalog, Index
from lavendertide.errors import Fault, Refusal
from lavendertide.ids import ShardNumber
from lavendertide.messages import (
    Answered,
    Declined,
    DeclineReason,
    LossReason,
    Lost,
    Outcome,
    SubReply,
)
from lavendertide.queries.attempt_controller import AttemptController
from lavendertide.queries.attempts import Attempt, Attempts
from lavendertide.queries.coverage import (
    Coverage,
    GapReason,
    gap_of_decline,
    gap_of_loss,
)
from lavendertide.queries.deadline import ATTEMPT_FLOOR_S
from lavendertide.queries.dependencies import FanOutDependencies
from lavendertide.queries.hedging import straggler_quantile
from lavendertide.queries.merging import merge
from lavendertide.queries.pinning import PinnedSnapshot, find_successor, pin
from lavendertide.queries.query import Query, SearchResponse
from lavendertide.queries.results_memory import QueryMemory
from lavendertide.queries.schedule import AttemptExpired, HedgeDue, RoundDue
from lavendertide.queries.wait_policies import response_due_s, select_wait_policy
from lavendertide.runtime import clock, tasks

RESTARTS_MAX: Final = 3
REPLIES_PER_TURN_MAX: Final = 128
# Losses that count toward the ejection of a target.
LOSSES_OF_TARGET: Final = frozenset(
    {LossReason.TIMED_OUT, LossReason.TARGET_CLOSED, LossReason.MALFORMED_REPLY}
)


def run_query(
    dependencies: FanOutDependencies, query: Query, index: Index, catalog: Catalog
) -> Result[SearchResponse, Refusal]:
    """Queries all shards of one version and merges the results that arrived in time.

    If no replica of some shard serves the pinned version any more, the query starts
    over with another version. Results of the earlier version are discarded, so that a
    response never mixes versions.
    """
    pinned = pin(dependencies, index, catalog, clock.monotonic_s())
    if isinstance(pinned, Failure):
        return pinned
    attempts = Attempts(query.query)
    memory = dependencies.memory.open()
    try:
        fan_out = FanOut(dependencies, query, pinned.unwrap(), attempts, memory)
        fan_out.run()
        while fan_out.successor is not None:
            memory.release()
            attempts.record_restart()
            fan_out = FanOut(dependencies, query, fan_out.successor, attempts, memory)
            fan_out.run()
        return Success(fan_out.build_response())
    finally:
        memory.release()


class FanOut:
    """Runs one query over one snapshot."""

    def __init__(
        self,
        dependencies: FanOutDependencies,
        query: Query,
        pinned: PinnedSnapshot,
        attempts: Attempts,
        memory: QueryMemory,
    ) -> None:
        self._dependencies = dependencies
        self._query = query
        self._pinned = pinned
        self._attempts = attempts
        self._memory = memory
        self._started_at_s = clock.monotonic_s()
        self._timing = dependencies.timings.timing_of(
            pinned.index.index, self._started_at_s
        )
        quantile = straggler_quantile(dependencies.policies.hedging)
        self._estimate = self._timing.estimate(quantile, self._started_at_s)
        self._inbox: tasks.Mailbox[SubReply] = tasks.Mailbox()
        self._controller = AttemptController(
            dependencies, query, pinned, attempts, self._estimate, self._inbox
        )
        self._policy = select_wait_policy(dependencies.policies, pinned.index)
        self._coverage = Coverage(pinned.snapshot.shard_count)
        self._half_covered_s: float | None = None
        self._is_quarantined = False
        self._successor: PinnedSnapshot | None = None

    @property
    def successor(self) -> PinnedSnapshot | None:
        """The snapshot to read instead, if this version is no longer served."""
        return self._successor

    def run(self) -> None:
        """Runs until all shards are covered or nothing more can be expected.

        The run also ends when time or replicas run out, when the request is
        quarantined, or when the version is no longer served. All open attempts are
        cancelled in each case, also after an exception, since an open hedge counts
        against the free slots that its target offers to hedges of other queries.
        """
        try:
            self._run()
        finally:
            self._controller.cancel_all()

    def build_response(self) -> SearchResponse:
        """Returns the merged page, with a reason for every uncovered shard."""
        return SearchResponse(
            query=self._query.query,
            outcome=self._outcome(),
            version=self._pinned.snapshot.version,
            page=merge(self._coverage.answers, self._query.request.page_size),
            covered=tuple(self._coverage.covered),
            gaps=tuple(self._coverage.gaps),
            attempts=self._attempts.sent,
            hedges=self._attempts.hedges,
            retries=self._attempts.retries,
            deadline_ms=self._query.deadline_ms,
            half_covered_s=self._half_covered_s,
        )

    def _run(self) -> None:
        now_s = self._started_at_s
        for shard in self._controller.send_first_attempts(now_s):
            self._coverage.set_gap_reason(
                shard, self._reason_without_attempt(shard, now_s), Fault.TARGET
            )
        while not self._is_finished(now_s):
            first = self._inbox.receive(self._wait_s(now_s))
            now_s = clock.monotonic_s()
            if first is not None:
                for reply in self._inbox.receive_ready(first, REPLIES_PER_TURN_MAX):
                    self._handle_reply(reply, now_s)
            self._handle_due_events(now_s)
        with Isolated("observation", self._query.query):
            self._finish(now_s)

    def _outcome(self) -> Outcome:
        if self._coverage.covered_count:
            return Outcome.RAN
        return Outcome.UNKNOWN if self._attempts.may_have_run else Outcome.NOT_RUN

    def _reason_without_attempt(self, shard: ShardNumber, now_s: float) -> GapReason:
        snapshot = self._pinned.snapshot
        replicas = snapshot.replicas_of(shard)
        if not replicas:
            return GapReason.NO_REPLICA
        if self._dependencies.holdings.may_any_hold(replicas, snapshot.version, now_s):
            return GapReason.NO_ANSWER_IN_TIME
        return GapReason.VERSION_NOT_HELD

    def _is_finished(self, now_s: float) -> bool:
        if self._coverage.is_complete or self._is_quarantined:
            return True
        if self._successor is not None or not self._controller.can_progress:
            return True
        return now_s >= self._response_due_s()

    def _wait_s(self, now_s: float) -> float:
        until_s = self._response_due_s()
        next_at_s = self._controller.schedule.next_at_s
        if next_at_s is not None:
            until_s = min(until_s, next_at_s)
        return max(0.0, until_s - now_s)

    def _response_due_s(self) -> float:
        return response_due_s(
            self._policy,
            self._query.deadline,
            self._started_at_s,
            self._coverage.covered_count,
            self._pinned.snapshot.shard_count,
        )

    def _handle_reply(self, reply: SubReply, now_s: float) -> None:
        attempt = self._controller.close(reply.attempt)
        if attempt is None:
            return
        with Isolated("observation", self._query.query):
            self._observe(reply, attempt, now_s)
        match reply:
            case Answered() if self._matches_attempt(reply, attempt):
                self._record_answer(reply, now_s)
            case Answered():
                self._handle_loss(attempt, LossReason.MISMATCHED_REPLY, now_s)
            case Declined(reason=reason):
                self._handle_decline(attempt, reason, now_s)
            case Lost(reason=loss):
                self._handle_loss(attempt, loss, now_s)

    def _observe(self, reply: SubReply, attempt: Attempt, now_s: float) -> None:
        """Records what a reply says about its target."""
        target, index = attempt.place.target, attempt.place.index
        reports = self._dependencies.reports
        match reply:
            case Answered(spare_slots=spare_slots):
                if not self._matches_attempt(reply, attempt):
                    return
                self._timing.observe(now_s - attempt.sent_at_s, now_s)
                reports.record_spare_slots(target, spare_slots, now_s)
                reports.observations.record_answer(target, index, now_s)
            case Declined(reason=reason, spare_slots=spare_slots):
                reports.record_decline(target, reason, spare_slots, now_s)
                if reason is DeclineReason.DRAINING:
                    reports.observations.record_leaving(target, index, now_s)
            case Lost(reason=reason) if reason in LOSSES_OF_TARGET:
                reports.observations.record_loss(target, index, now_s)

    def _matches_attempt(self, reply: Answered, attempt: Attempt) -> bool:
        return (
            reply.query == self._query.query
            and reply.shard == attempt.shard
            and reply.version == self._pinned.snapshot.version
        )

    def _record_answer(self, reply: Answered, now_s: float) -> None:
        self._controller.cancel_shard(reply.shard)
        if self._memory.try_hold(reply):
            self._coverage.cover(reply)
            self._record_half_covered(now_s)
        else:
            too_large = GapReason.RESULT_TOO_LARGE
            self._coverage.set_gap_reason(reply.shard, too_large, Fault.CALLER)

    def _record_half_covered(self, now_s: float) -> None:
        is_half = 2 * self._coverage.covered_count >= self._pinned.snapshot.shard_count
        if is_half and self._half_covered_s is None:
            self._half_covered_s = now_s - self._started_at_s

    def _handle_decline(
        self, attempt: Attempt, reason: DeclineReason, now_s: float
    ) -> None:
        match reason:
            case DeclineReason.POISONED:
                self._mark_quarantined()
                return
            case DeclineReason.VERSION_NOT_HELD:
                version = self._pinned.snapshot.version
                self._dependencies.holdings.record_denial(
                    attempt.place.target, version, now_s
                )
            case DeclineReason.QUEUED_TOO_LONG:
                self._observe_lateness(attempt, now_s)
            case DeclineReason.NO_LEASE | DeclineReason.STALE_VIEW:
                self._controller.record_handover(attempt.shard)
            case _:
                pass
        self._retry_elsewhere(attempt, *gap_of_decline(reason), now_s)

    def _handle_loss(self, attempt: Attempt, loss: LossReason, now_s: float) -> None:
        self._attempts.record_lost()
        match loss:
            case LossReason.TARGET_CLOSED:
                # The request may have crashed the target: send it to no other one.
                self._controller.stop()
            case LossReason.TIMED_OUT:
                self._observe_lateness(attempt, now_s)
            case _:
                pass
        self._retry_elsewhere(attempt, *gap_of_loss(loss), now_s)

    def _mark_quarantined(self) -> None:
        self._is_quarantined = True
        for gap in self._coverage.gaps:
            self._coverage.set_gap_reason(gap.shard, GapReason.POISONED, Fault.CALLER)

    def _retry_elsewhere(
        self, attempt: Attempt, reason: GapReason, fault: Fault, now_s: float
    ) -> None:
        shard = attempt.shard
        self._coverage.set_gap_reason(shard, reason, fault)
        if self._controller.retry_elsewhere(shard, now_s):
            return
        if reason is not GapReason.VERSION_NOT_HELD:
            self._controller.schedule_round(shard, now_s)
        elif self._has_time_to_restart(now_s):
            self._successor = find_successor(
                self._dependencies, self._pinned, shard, now_s
            )

    def _has_time_to_restart(self, now_s: float) -> bool:
        expected_s = self._estimate.straggler_s if self._estimate else ATTEMPT_FLOOR_S
        left_s = self._query.deadline.remaining_s(now_s)
        return left_s > expected_s and self._attempts.restarts < RESTARTS_MAX

    def _handle_due_events(self, now_s: float) -> None:
        while (event := self._controller.schedule.pop_due(now_s)) is not None:
            match event:
                case HedgeDue(attempt=attempt):
                    self._controller.hedge(attempt, now_s)
                case RoundDue(shard=shard):
                    self._controller.start_round(shard, now_s)
                case AttemptExpired(attempt=attempt):
                    expired = self._controller.expire_attempt(attempt)
                    if expired is not None:
                        self._handle_loss(expired, LossReason.TIMED_OUT, now_s)

    def _finish(self, now_s: float) -> None:
        for attempt in self._attempts.open:
            self._observe_unanswered(now_s - attempt.sent_at_s, now_s)
        gaps = self._coverage.gaps
        if self._coverage.covered_count > len(gaps) and not any(
            gap.reason is GapReason.VERSION_NOT_HELD for gap in gaps
        ):
            index, snapshot = self._pinned.index.index, self._pinned.snapshot
            self._dependencies.holdings.record_served(index, snapshot.version)

    def _observe_lateness(self, attempt: Attempt, now_s: float) -> None:
        with Isolated("observation", self._query.query):
            self._timing.observe(now_s - attempt.sent_at_s, now_s)

    def _observe_unanswered(self, latency_s: float, now_s: float) -> None:
        # An attempt cancelled before it was late says nothing about the tail.
        if self._estimate is not None and latency_s >= self._estimate.straggler_s:
            self._timing.observe(latency_s, now_s)
