"""The task of one query: ask every shard, take the replies in, merge, answer.

It runs in the task of the caller's connection and is written straight down: send,
wait for the next reply or the next moment to act, take it in, go on. Whom to ask is
decided in `asking`, how long to wait for the last shards in `waiting`, and which
version to read in `pinning`.
"""

from typing import Final

from returns.result import Failure, Result, Success

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
from lavendertide.queries.asking import Asker
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
from lavendertide.queries.pinning import Pinned, find_successor, pin
from lavendertide.queries.query import Query, SearchResponse
from lavendertide.queries.results_memory import QueryMemory
from lavendertide.queries.schedule import AttemptOver, HedgeDue, RoundDue
from lavendertide.queries.waiting import leaves_at_s, wait_policy
from lavendertide.runtime import clock, tasks

RESTARTS_MAX: Final = 3
REPLIES_PER_TURN_MAX: Final = 128


def run_query(
    parts: FanOutDependencies, query: Query, index: Index, catalog: Catalog
) -> Result[SearchResponse, Refusal]:
    """Asks all shards of one version and merges what came in time.

    If nobody serves the pinned version any more, the query starts again with another
    one, and nothing of the earlier one is used.
    """
    pinned = pin(parts, index, catalog, clock.monotonic_s())
    if isinstance(pinned, Failure):
        return pinned
    attempts = Attempts(query.query)
    memory = parts.memory.open()
    try:
        fan_out = FanOut(parts, query, pinned.unwrap(), attempts, memory)
        fan_out.run()
        while fan_out.successor is not None:
            memory.release()
            attempts.note_restart()
            fan_out = FanOut(parts, query, fan_out.successor, attempts, memory)
            fan_out.run()
        return Success(fan_out.answer())
    finally:
        memory.release()


class FanOut:
    """One query over one snapshot."""

    def __init__(
        self,
        parts: FanOutDependencies,
        query: Query,
        pinned: Pinned,
        attempts: Attempts,
        memory: QueryMemory,
    ) -> None:
        self._parts = parts
        self._query = query
        self._pinned = pinned
        self._attempts = attempts
        self._memory = memory
        self._started_at_s = clock.monotonic_s()
        self._timing = parts.timings.timing_of(pinned.index.index, self._started_at_s)
        quantile = straggler_quantile(parts.policies.hedging)
        self._estimate = self._timing.estimate(quantile, self._started_at_s)
        self._inbox: tasks.Mailbox[SubReply] = tasks.Mailbox()
        self._asker = Asker(parts, query, pinned, attempts, self._estimate, self._inbox)
        self._policy = wait_policy(parts.policies, pinned.index)
        self._coverage = Coverage(pinned.snapshot.shard_count)
        self._half_covered_s: float | None = None
        self._is_condemned = False
        self._successor: Pinned | None = None

    @property
    def successor(self) -> Pinned | None:
        """What to read instead, once nobody serves this version any more."""
        return self._successor

    def run(self) -> None:
        """Runs until whole, out of time, out of replicas or out of its version.

        Whatever ends it, no attempt stays open, since an open hedge takes up the room
        of its target for the hedges of other queries.
        """
        try:
            self._run()
        finally:
            self._asker.cancel_all()

    def answer(self) -> SearchResponse:
        """Returns what was covered, and says of every other shard why not."""
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
        for shard in self._asker.ask_every_shard(now_s):
            self._coverage.explain(shard, self._why_unasked(shard, now_s), Fault.TARGET)
        while not self._is_over(now_s):
            first = self._inbox.receive(self._wait_s(now_s))
            now_s = clock.monotonic_s()
            if first is not None:
                for reply in self._inbox.receive_ready(first, REPLIES_PER_TURN_MAX):
                    self._take(reply, now_s)
            self._act_on_moments(now_s)
        self._end(now_s)

    def _outcome(self) -> Outcome:
        if self._coverage.covered_count:
            return Outcome.RAN
        return Outcome.UNKNOWN if self._attempts.may_have_run else Outcome.NOT_RUN

    def _why_unasked(self, shard: ShardNumber, now_s: float) -> GapReason:
        snapshot = self._pinned.snapshot
        replicas = snapshot.replicas_of(shard)
        if not replicas:
            return GapReason.NO_REPLICA
        if self._parts.holdings.may_any_hold(replicas, snapshot.version, now_s):
            return GapReason.NO_ANSWER_IN_TIME
        return GapReason.VERSION_NOT_HELD

    def _is_over(self, now_s: float) -> bool:
        if self._coverage.is_whole or self._is_condemned:
            return True
        if self._successor is not None or not self._asker.is_waiting:
            return True
        return now_s >= self._leaves_at_s()

    def _wait_s(self, now_s: float) -> float:
        until_s = self._leaves_at_s()
        next_at_s = self._asker.schedule.next_at_s
        if next_at_s is not None:
            until_s = min(until_s, next_at_s)
        return max(0.0, until_s - now_s)

    def _leaves_at_s(self) -> float:
        return leaves_at_s(
            self._policy,
            self._query.deadline,
            self._started_at_s,
            self._coverage.covered_count,
            self._pinned.snapshot.shard_count,
        )

    def _take(self, reply: SubReply, now_s: float) -> None:
        attempt = self._asker.close(reply.attempt)
        if attempt is None:
            return
        target, index = attempt.place.target, attempt.place.index
        match reply:
            case Answered() if self._belongs(reply, attempt):
                self._timing.observe(now_s - attempt.sent_at_s, now_s)
                self._parts.reports.hear(target, reply.spare_slots, now_s)
                self._parts.reports.observations.note_answer(target, index, now_s)
                self._cover(reply, now_s)
            case Answered():
                self._take_loss(attempt, LossReason.MISMATCHED_REPLY, now_s)
            case Declined(reason=reason, spare_slots=spare_slots):
                self._parts.reports.hear_decline(target, reason, spare_slots, now_s)
                if reason is DeclineReason.DRAINING:
                    self._parts.reports.observations.note_leaving(target, index, now_s)
                self._take_decline(attempt, reason, now_s)
            case Lost(reason=loss):
                if loss in (LossReason.TIMED_OUT, LossReason.TARGET_CLOSED):
                    self._parts.reports.observations.note_loss(target, index, now_s)
                self._take_loss(attempt, loss, now_s)

    def _belongs(self, reply: Answered, attempt: Attempt) -> bool:
        return (
            reply.query == self._query.query
            and reply.shard == attempt.shard
            and reply.version == self._pinned.snapshot.version
        )

    def _cover(self, reply: Answered, now_s: float) -> None:
        self._asker.cancel_shard(reply.shard)
        if self._memory.hold(reply):
            self._coverage.cover(reply)
            self._note_half_covered(now_s)
        else:
            too_large = GapReason.RESULT_TOO_LARGE
            self._coverage.explain(reply.shard, too_large, Fault.CALLER)

    def _note_half_covered(self, now_s: float) -> None:
        is_half = 2 * self._coverage.covered_count >= self._pinned.snapshot.shard_count
        if is_half and self._half_covered_s is None:
            self._half_covered_s = now_s - self._started_at_s

    def _take_decline(
        self, attempt: Attempt, reason: DeclineReason, now_s: float
    ) -> None:
        match reason:
            case DeclineReason.POISONED:
                self._condemn()
                return
            case DeclineReason.VERSION_NOT_HELD:
                version = self._pinned.snapshot.version
                self._parts.holdings.record_denial(attempt.place.target, version, now_s)
            case DeclineReason.QUEUED_TOO_LONG:
                self._timing.observe(now_s - attempt.sent_at_s, now_s)
            case DeclineReason.NO_LEASE | DeclineReason.STALE_VIEW:
                self._asker.note_handover(attempt.shard)
            case _:
                pass
        self._try_elsewhere(attempt, *gap_of_decline(reason), now_s)

    def _take_loss(self, attempt: Attempt, loss: LossReason, now_s: float) -> None:
        self._attempts.note_lost()
        match loss:
            case LossReason.TARGET_CLOSED:
                # The request may be what ended the target: nobody else shall run it.
                self._asker.stop()
            case LossReason.TIMED_OUT:
                self._timing.observe(now_s - attempt.sent_at_s, now_s)
            case _:
                pass
        self._try_elsewhere(attempt, *gap_of_loss(loss), now_s)

    def _condemn(self) -> None:
        self._is_condemned = True
        for gap in self._coverage.gaps:
            self._coverage.explain(gap.shard, GapReason.POISONED, Fault.CALLER)

    def _try_elsewhere(
        self, attempt: Attempt, reason: GapReason, fault: Fault, now_s: float
    ) -> None:
        shard = attempt.shard
        self._coverage.explain(shard, reason, fault)
        if self._asker.ask_elsewhere(shard, now_s):
            return
        if reason is not GapReason.VERSION_NOT_HELD:
            self._asker.plan_round(shard, now_s)
        elif self._has_time_to_restart(now_s):
            self._successor = find_successor(self._parts, self._pinned, shard, now_s)

    def _has_time_to_restart(self, now_s: float) -> bool:
        usual_s = self._estimate.straggler_s if self._estimate else ATTEMPT_FLOOR_S
        left_s = self._query.deadline.remaining_s(now_s)
        return left_s > usual_s and self._attempts.restarts < RESTARTS_MAX

    def _act_on_moments(self, now_s: float) -> None:
        while (moment := self._asker.schedule.pop_due(now_s)) is not None:
            match moment:
                case HedgeDue(attempt=attempt):
                    self._asker.hedge(attempt, now_s)
                case RoundDue(shard=shard):
                    self._asker.begin_round(shard, now_s)
                case AttemptOver(attempt=attempt):
                    given_up = self._asker.give_up(attempt)
                    if given_up is not None:
                        self._take_loss(given_up, LossReason.TIMED_OUT, now_s)

    def _end(self, now_s: float) -> None:
        for attempt in self._attempts.open:
            self._observe_unanswered(now_s - attempt.sent_at_s, now_s)
        gaps = self._coverage.gaps
        if self._coverage.covered_count > len(gaps) and not any(
            gap.reason is GapReason.VERSION_NOT_HELD for gap in gaps
        ):
            index, snapshot = self._pinned.index.index, self._pinned.snapshot
            self._parts.holdings.note_served(index, snapshot.version)

    def _observe_unanswered(self, latency_s: float, now_s: float) -> None:
        # One that was ended before it was late says nothing about the tail.
        if self._estimate is not None and latency_s >= self._estimate.straggler_s:
            self._timing.observe(latency_s, now_s)
