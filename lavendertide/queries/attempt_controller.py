"""Chooses and sends the attempts of one query.

An attempt is one sub-request for one shard to one replica. Every shard gets first
attempts; hedges, retries and attempts of later rounds follow where they are needed.
"""

import random
from typing import Final

from lavendertide.ids import AttemptId, ShardNumber
from lavendertide.messages import Operation, SubReply, SubRequest
from lavendertide.queries.attempts import Attempt, Attempts, ShardProgress
from lavendertide.queries.deadline import ATTEMPT_FLOOR_S
from lavendertide.queries.dependencies import FanOutDependencies
from lavendertide.queries.hedging import (
    WithheldCause,
    hedge_delay_s,
    hedge_earning,
)
from lavendertide.queries.pinning import PinnedSnapshot
from lavendertide.queries.query import Query
from lavendertide.queries.schedule import AttemptExpired, HedgeDue, RoundDue, Schedule
from lavendertide.queries.timing import LatencyEstimate
from lavendertide.queries.wait_policies import round_pause_s, select_wait_policy
from lavendertide.runtime.tasks import Mailbox
from lavendertide.targets.place import TargetPlace

REPLY_GRACE_S: Final = 0.005
ROUND_PAUSE_JITTER: Final = 0.5


class AttemptController:
    """Sends attempts to the replicas of one snapshot and ends them.

    Hedges and retries are limited by the budgets of the query's owner.
    """

    def __init__(
        self,
        dependencies: FanOutDependencies,
        query: Query,
        pinned: PinnedSnapshot,
        attempts: Attempts,
        estimate: LatencyEstimate | None,
        inbox: Mailbox[SubReply],
    ) -> None:
        self._dependencies = dependencies
        self._query = query
        self._pinned = pinned
        self._attempts = attempts
        self._inbox = inbox
        self._schedule = Schedule()
        self._progress: dict[ShardNumber, ShardProgress] = {}
        self._attempt_cap_s = estimate.cap_s if estimate else None
        self._wait_policy = select_wait_policy(dependencies.policies, pinned.index)
        self._hedge_budget = dependencies.hedge_budgets.budget_of(query.plan.owner)
        self._hedge_delay_s = hedge_delay_s(
            dependencies.policies.hedging, estimate, self._hedge_budget.has_surplus
        )
        self._retry_budget = dependencies.retry_budgets.budget_of(query.plan.owner)
        self._pending_rounds = 0
        self._is_stopped = False

    @property
    def can_progress(self) -> bool:
        """Whether an attempt is open or another round is scheduled."""
        return self._attempts.any_open or self._pending_rounds > 0

    @property
    def schedule(self) -> Schedule:
        """Events at which the query acts without a reply."""
        return self._schedule

    def send_first_attempts(self, now_s: float) -> list[ShardNumber]:
        """Sends the first attempts; returns the shards for which none could be sent."""
        self._earn_budgets()
        unsent = []
        for number in range(self._pinned.snapshot.shard_count):
            shard = ShardNumber(number)
            self._progress[shard] = ShardProgress(self._rank_replicas(shard, now_s))
            for _ in range(self._dependencies.replica_selector.attempts_per_shard):
                self._send_next(shard, now_s)
            if not self._progress[shard].open:
                unsent.append(shard)
        return unsent

    def retry_elsewhere(self, shard: ShardNumber, now_s: float) -> bool:
        """Sends an attempt to the next replica, within the retry budget.

        Returns:
            Whether the shard has an open attempt or had an untried replica left.
        """
        progress = self._progress[shard]
        if progress.open:
            return True
        if progress.next_candidate is None:
            return False
        if not self._is_stopped and self._retry_budget.try_spend():
            self._attempts.record_retry()
            self._send_next(shard, now_s)
        return True

    def record_handover(self, shard: ShardNumber) -> None:
        """Records that no daemon could use the slots of a shard's replica."""
        self._progress[shard].is_handed_over = True

    def schedule_round(self, shard: ShardNumber, now_s: float) -> None:
        """Schedules another round over all replicas of a shard.

        Does nothing if the wait policy allows no further round, or if the deadline
        leaves no time for an attempt after the pause.
        """
        progress = self._progress[shard]
        pause_s = round_pause_s(
            self._wait_policy, progress.rounds, progress.is_handed_over
        )
        if pause_s is None or self._is_stopped:
            return
        at_s = now_s + pause_s * random.uniform(1.0, 1.0 + ROUND_PAUSE_JITTER)
        if self._query.deadline.allows_attempt(at_s):
            self._pending_rounds += 1
            self._schedule.add(at_s, RoundDue(shard))

    def start_round(self, shard: ShardNumber, now_s: float) -> None:
        """Starts another round over a shard's replicas, within the retry budget."""
        self._pending_rounds -= 1
        if self._is_stopped or not self._retry_budget.try_spend():
            return
        self._attempts.record_retry()
        self._progress[shard].start_round(self._rank_replicas(shard, now_s))
        self._send_next(shard, now_s)

    def hedge(self, attempt: AttemptId, now_s: float) -> None:
        """Sends a hedge for an attempt that is late.

        The hedge is withheld, and tried again after another hedge delay, if the next
        replica has no free slot or the hedge budget is spent.
        """
        slow_attempt = self._attempts.find(attempt)
        if slow_attempt is None or self._is_stopped or self._hedge_delay_s is None:
            return
        place = self._progress[slow_attempt.shard].next_candidate
        if place is None:
            return
        if not self._dependencies.reports.may_hedge(place.target, now_s):
            self._hedge_budget.record_withheld(WithheldCause.NO_ROOM)
        elif not self._hedge_budget.try_spend():
            self._hedge_budget.record_withheld(WithheldCause.NO_BUDGET)
        else:
            self._send_next(slow_attempt.shard, now_s, is_hedge=True)
            return
        self._schedule.add(now_s + self._hedge_delay_s, HedgeDue(attempt))

    def close(self, attempt: AttemptId) -> Attempt | None:
        """Closes an attempt that got a reply; returns None if it was not open."""
        closed = self._attempts.close(attempt)
        if closed is not None:
            self._progress[closed.shard].open.remove(attempt)
            self._end_hedge(closed)
        return closed

    def expire_attempt(self, attempt: AttemptId) -> Attempt | None:
        """Cancels an attempt that ran out of time; returns None if it was not open."""
        expired = self._attempts.find(attempt)
        if expired is not None:
            self._progress[expired.shard].open.remove(attempt)
            self._cancel([attempt])
        return expired

    def cancel_shard(self, shard: ShardNumber) -> None:
        """Cancels the open attempts for a shard, once another attempt has answered."""
        progress = self._progress[shard]
        if progress.open:
            superseded, progress.open = progress.open, []
            self._cancel(superseded)

    def cancel_all(self) -> None:
        """Cancels all open attempts at the end of the query."""
        self._cancel([attempt.attempt for attempt in self._attempts.open])

    def stop(self) -> None:
        """Sends no further attempts; replies to open ones are still accepted."""
        self._is_stopped = True

    def _earn_budgets(self) -> None:
        policies = self._dependencies.policies
        count = self._pinned.snapshot.shard_count
        self._hedge_budget.earn(count, hedge_earning(policies.hedging))
        self._retry_budget.earn(count, policies.retries.extra_load)

    def _rank_replicas(self, shard: ShardNumber, now_s: float) -> list[TargetPlace]:
        snapshot = self._pinned.snapshot
        return self._dependencies.replica_selector.rank(
            snapshot.replicas_of(shard),
            snapshot.version,
            self._pinned.catalog.targets,
            now_s,
        )

    def _send_next(
        self, shard: ShardNumber, now_s: float, is_hedge: bool = False
    ) -> None:
        progress = self._progress[shard]
        place = progress.next_candidate
        if place is None:
            return
        progress.tried += 1
        # The last replica gets all of the remaining time.
        cap_s = self._attempt_cap_s if progress.next_candidate is not None else None
        attempt = self._send(shard, place, cap_s, now_s, is_hedge)
        if attempt is None:
            return
        if is_hedge:
            self._attempts.record_hedge()
            self._dependencies.reports.begin_hedge(place.target, now_s)
        progress.open.append(attempt.attempt)
        if progress.next_candidate is not None:
            self._schedule_followups(attempt, cap_s, now_s)

    def _schedule_followups(
        self, attempt: Attempt, cap_s: float | None, now_s: float
    ) -> None:
        if self._hedge_delay_s is not None:
            hedge_at_s = now_s + self._hedge_delay_s
            self._schedule.add(hedge_at_s, HedgeDue(attempt.attempt))
        if cap_s is not None:
            expiry_at_s = attempt.expires_at_s + REPLY_GRACE_S
            self._schedule.add(expiry_at_s, AttemptExpired(attempt.attempt))

    def _send(
        self,
        shard: ShardNumber,
        place: TargetPlace,
        cap_s: float | None,
        now_s: float,
        is_hedge: bool,
    ) -> Attempt | None:
        """Sends one sub-request; returns None if no reply could arrive in time."""
        left_s = self._query.deadline.remaining_s(now_s)
        if cap_s is not None:
            left_s = min(left_s, cap_s)
        run_s = left_s - 2 * self._dependencies.replica_selector.hop_s(place)
        if run_s < ATTEMPT_FLOOR_S:
            return None
        attempt = Attempt(
            self._attempts.next_id(), shard, place, now_s, now_s + left_s, is_hedge
        )
        self._attempts.add(attempt)
        request = self._sub_request(attempt, int(run_s * 1000))
        self._dependencies.dispatch.send(request, self._inbox)
        return attempt

    def _sub_request(self, attempt: Attempt, remaining_ms: int) -> SubRequest:
        query = self._query
        return SubRequest(
            attempt=attempt.attempt,
            query=query.query,
            owner=query.plan.owner,
            index=query.request.index,
            shard=attempt.shard,
            version=self._pinned.snapshot.version,
            target=attempt.place.target,
            operation=Operation.SEARCH,
            body=query.request.body,
            remaining_ms=remaining_ms,
            fingerprint=query.fingerprint,
            plan_class=query.plan.plan_class,
            page_size=query.request.page_size,
        )

    def _cancel(self, attempts: list[AttemptId]) -> None:
        for attempt in attempts:
            abandoned = self._attempts.abandon(attempt)
            if abandoned is not None:
                self._end_hedge(abandoned)
        if attempts:
            self._dependencies.dispatch.cancel(attempts)

    def _end_hedge(self, attempt: Attempt) -> None:
        if attempt.is_hedge:
            self._dependencies.reports.end_hedge(attempt.place.target)
