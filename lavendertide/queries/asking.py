"""Whom a query asks next: first attempts, hedges, retries and later rounds."""

import random
from typing import Final

from lavendertide.ids import AttemptId, ShardNumber
from lavendertide.messages import Operation, SubReply, SubRequest
from lavendertide.queries.attempts import Attempt, Attempts, ShardTries
from lavendertide.queries.deadline import ATTEMPT_FLOOR_S
from lavendertide.queries.dependencies import FanOutDependencies
from lavendertide.queries.hedging import (
    WithheldCause,
    hedge_delay_s,
    hedge_earning,
)
from lavendertide.queries.pinning import Pinned
from lavendertide.queries.query import Query
from lavendertide.queries.schedule import AttemptOver, HedgeDue, RoundDue, Schedule
from lavendertide.queries.timing import LatencyEstimate
from lavendertide.queries.waiting import next_round_s, wait_policy
from lavendertide.runtime.tasks import Mailbox
from lavendertide.targets.place import TargetPlace

REPLY_GRACE_S: Final = 0.005
ROUND_PAUSE_JITTER: Final = 0.5


class Asker:
    """Asks the replicas of one snapshot on behalf of one query."""

    def __init__(
        self,
        parts: FanOutDependencies,
        query: Query,
        pinned: Pinned,
        attempts: Attempts,
        estimate: LatencyEstimate | None,
        inbox: Mailbox[SubReply],
    ) -> None:
        self._parts = parts
        self._query = query
        self._pinned = pinned
        self._attempts = attempts
        self._inbox = inbox
        self._schedule = Schedule()
        self._tries: dict[ShardNumber, ShardTries] = {}
        self._cap_s = estimate.cap_s if estimate else None
        self._rounds = wait_policy(parts.policies, pinned.index)
        self._hedges = parts.hedge_budgets.budget_of(query.plan.owner)
        self._hedge_delay_s = hedge_delay_s(
            parts.policies.hedging, estimate, self._hedges.has_surplus
        )
        self._retries = parts.retry_budgets.budget_of(query.plan.owner)
        self._rounds_due = 0
        self._is_stopped = False

    @property
    def is_waiting(self) -> bool:
        """Whether a reply or another round can still come."""
        return self._attempts.any_open or self._rounds_due > 0

    @property
    def schedule(self) -> Schedule:
        """When to act without a reply."""
        return self._schedule

    def ask_every_shard(self, now_s: float) -> list[ShardNumber]:
        """Sends the first attempts; returns the shards that nobody could be asked."""
        self._earn()
        nobody = []
        for number in range(self._pinned.snapshot.shard_count):
            shard = ShardNumber(number)
            self._tries[shard] = ShardTries(self._replicas(shard, now_s))
            for _ in range(self._parts.replica_selector.at_once):
                self._ask_next(shard, now_s)
            if not self._tries[shard].open:
                nobody.append(shard)
        return nobody

    def ask_elsewhere(self, shard: ShardNumber, now_s: float) -> bool:
        """Asks the next replica after a failed attempt, within the retry budget.

        Returns:
            Whether the shard had a replica that was not asked, or still waits for one.
        """
        tries = self._tries[shard]
        if tries.open:
            return True
        if tries.next_place is None:
            return False
        if not self._is_stopped and self._retries.spend():
            self._attempts.note_retry()
            self._ask_next(shard, now_s)
        return True

    def note_handover(self, shard: ShardNumber) -> None:
        """Notes that no daemon could use the slots of a shard's replica just now."""
        self._tries[shard].is_handed_over = True

    def plan_round(self, shard: ShardNumber, now_s: float) -> None:
        """Plans to ask all replicas of a shard again, if that has a prospect."""
        tries = self._tries[shard]
        pause_s = next_round_s(self._rounds, tries.rounds, tries.is_handed_over)
        if pause_s is None or self._is_stopped:
            return
        at_s = now_s + pause_s * random.uniform(1.0, 1.0 + ROUND_PAUSE_JITTER)
        if self._query.deadline.allows_attempt(at_s):
            self._rounds_due += 1
            self._schedule.add(at_s, RoundDue(shard))

    def begin_round(self, shard: ShardNumber, now_s: float) -> None:
        """Asks the replicas of a shard again, within the retry budget."""
        self._rounds_due -= 1
        if self._is_stopped or not self._retries.spend():
            return
        self._attempts.note_retry()
        self._tries[shard].begin_round(self._replicas(shard, now_s))
        self._ask_next(shard, now_s)

    def hedge(self, attempt: AttemptId, now_s: float) -> None:
        """Asks a second replica if it has room and the budget allows it."""
        straggler = self._attempts.find(attempt)
        if straggler is None or self._is_stopped or self._hedge_delay_s is None:
            return
        place = self._tries[straggler.shard].next_place
        if place is None:
            return
        if not self._parts.reports.may_hedge(place.target, now_s):
            self._hedges.record_withheld(WithheldCause.NO_ROOM)
        elif not self._hedges.spend():
            self._hedges.record_withheld(WithheldCause.NO_BUDGET)
        else:
            self._ask_next(straggler.shard, now_s, is_hedge=True)
            return
        self._schedule.add(now_s + self._hedge_delay_s, HedgeDue(attempt))

    def close(self, attempt: AttemptId) -> Attempt | None:
        """Ends an attempt that was replied to; none if nobody waits for it."""
        closed = self._attempts.close(attempt)
        if closed is not None:
            self._tries[closed.shard].open.remove(attempt)
            self._end_hedge(closed)
        return closed

    def give_up(self, attempt: AttemptId) -> Attempt | None:
        """Ends an attempt that has had its time; none if it has ended already."""
        given_up = self._attempts.find(attempt)
        if given_up is not None:
            self._tries[given_up.shard].open.remove(attempt)
            self._cancel([attempt])
        return given_up

    def cancel_shard(self, shard: ShardNumber) -> None:
        """Ends the attempts at a shard that another has answered."""
        tries = self._tries[shard]
        if tries.open:
            losers, tries.open = tries.open, []
            self._cancel(losers)

    def cancel_all(self) -> None:
        """Ends all attempts, since the answer leaves."""
        self._cancel([attempt.attempt for attempt in self._attempts.open])

    def stop(self) -> None:
        """Asks nobody any more; what is open may still be replied to."""
        self._is_stopped = True

    def _earn(self) -> None:
        policies = self._parts.policies
        count = self._pinned.snapshot.shard_count
        self._hedges.earn(count, hedge_earning(policies.hedging))
        self._retries.earn(count, policies.retries.extra_load)

    def _replicas(self, shard: ShardNumber, now_s: float) -> list[TargetPlace]:
        snapshot = self._pinned.snapshot
        return self._parts.replica_selector.rank(
            snapshot.replicas_of(shard),
            snapshot.version,
            self._pinned.catalog.targets,
            now_s,
        )

    def _ask_next(
        self, shard: ShardNumber, now_s: float, is_hedge: bool = False
    ) -> None:
        tries = self._tries[shard]
        place = tries.next_place
        if place is None:
            return
        tries.asked += 1
        # The last replica has all the time that is left.
        cap_s = self._cap_s if tries.next_place is not None else None
        attempt = self._send(shard, place, cap_s, now_s, is_hedge)
        if attempt is None:
            return
        if is_hedge:
            self._attempts.note_hedge()
            self._parts.reports.begin_hedge(place.target, now_s)
        tries.open.append(attempt.attempt)
        if tries.next_place is not None:
            self._plan_second(attempt, cap_s, now_s)

    def _plan_second(self, attempt: Attempt, cap_s: float | None, now_s: float) -> None:
        if self._hedge_delay_s is not None:
            hedge_at_s = now_s + self._hedge_delay_s
            self._schedule.add(hedge_at_s, HedgeDue(attempt.attempt))
        if cap_s is not None:
            over_at_s = attempt.gives_up_at_s + REPLY_GRACE_S
            self._schedule.add(over_at_s, AttemptOver(attempt.attempt))

    def _send(
        self,
        shard: ShardNumber,
        place: TargetPlace,
        cap_s: float | None,
        now_s: float,
        is_hedge: bool,
    ) -> Attempt | None:
        """Sends one sub-request; none if its answer could not come in time."""
        left_s = self._query.deadline.remaining_s(now_s)
        if cap_s is not None:
            left_s = min(left_s, cap_s)
        run_s = left_s - 2 * self._parts.replica_selector.hop_s(place)
        if run_s < ATTEMPT_FLOOR_S:
            return None
        attempt = Attempt(
            self._attempts.next_id(), shard, place, now_s, now_s + left_s, is_hedge
        )
        self._attempts.add(attempt)
        request = self._sub_request(attempt, int(run_s * 1000))
        self._parts.dispatch.send(request, self._inbox)
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
            self._parts.dispatch.cancel(attempts)

    def _end_hedge(self, attempt: Attempt) -> None:
        if attempt.is_hedge:
            self._parts.reports.end_hedge(attempt.place.target)
