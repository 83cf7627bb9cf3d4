"""The task of one query: ask every shard, hedge stragglers, merge, answer.

It runs in the task of the caller's connection and is written straight down: send,
wait for the next reply or the next moment to act, take the reply in, go on.
"""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from returns.result import Failure, Result, Success

from lavendertide.configuration.catalog import Catalog, Index, TargetPlace
from lavendertide.errors import Fault, Refusal
from lavendertide.ids import AttemptId, OwnerId, ShardNumber
from lavendertide.messages import (
    Answered,
    Declined,
    DeclineReason,
    Lost,
    Operation,
    Outcome,
    SubReply,
    SubRequest,
)
from lavendertide.options import HedgePolicy
from lavendertide.queries.coverage import (
    Coverage,
    GapReason,
    gap_of_decline,
    gap_of_loss,
)
from lavendertide.queries.hedging import HedgeBudget, hedge_at_s
from lavendertide.queries.merging import merge
from lavendertide.queries.query import Answer, Query
from lavendertide.queries.replicas import ReplicaChoice
from lavendertide.queries.snapshot import Holdings, Snapshot
from lavendertide.runtime import clock, tasks


class Dispatch(Protocol):
    """Carries sub-requests to whichever daemon holds their target's slots."""

    def send(self, request: SubRequest, inbox: tasks.Mailbox[SubReply]) -> None:
        """Sends a sub-request; exactly one reply comes to the inbox."""

    def cancel(self, attempts: list[AttemptId]) -> None:
        """Says that nobody waits for these attempts any more."""


class HedgeBudgets:
    """The hedge budgets of all owners on this daemon."""

    def __init__(self) -> None:
        self._by_owner: dict[OwnerId, HedgeBudget] = {}

    def of(self, owner: OwnerId) -> HedgeBudget:
        """Returns the budget of one owner."""
        return self._by_owner.setdefault(owner, HedgeBudget())


@dataclass(frozen=True, slots=True)
class FanOutParts:
    """What the queries of one daemon share."""

    dispatch: Dispatch
    replica_choice: ReplicaChoice
    holdings: Holdings
    hedge_policy: HedgePolicy
    hedge_budgets: HedgeBudgets


def run_query(
    parts: FanOutParts, query: Query, index: Index, catalog: Catalog
) -> Result[Answer, Refusal]:
    """Asks all shards of one version and merges what came in time."""
    match parts.holdings.pin(index, clock.monotonic_s()):
        case Success(snapshot):
            return Success(_FanOut(parts, query, snapshot, catalog).to_answer())
        case Failure(refusal):
            return Failure(refusal)
    raise AssertionError("a result is a success or a failure")


@dataclass(slots=True)
class _Attempt:
    """An attempt that has not been answered yet."""

    attempt: AttemptId
    shard: ShardNumber
    place: TargetPlace


class _FanOut:
    """One query over one snapshot."""

    def __init__(
        self, parts: FanOutParts, query: Query, snapshot: Snapshot, catalog: Catalog
    ) -> None:
        self._parts = parts
        self._query = query
        self._snapshot = snapshot
        self._catalog = catalog
        self._coverage = Coverage(snapshot.shard_count)
        self._inbox: tasks.Mailbox[SubReply] = tasks.Mailbox()
        self._open: dict[AttemptId, _Attempt] = {}
        self._replicas: dict[ShardNumber, Iterator[TargetPlace]] = {}
        self._numbers = itertools.count(1)
        self._sent = 0

    def to_answer(self) -> Answer:
        """Runs the query until it is whole, out of time or out of replicas."""
        started_at_s = clock.monotonic_s()
        self._ask_every_shard(started_at_s)
        hedge_s = hedge_at_s(self._parts.hedge_policy, started_at_s)
        while self._open and not self._coverage.is_whole:
            now_s = clock.monotonic_s()
            if self._query.deadline.remaining_s(now_s) <= 0:
                break
            reply = self._inbox.receive(self._wait_s(hedge_s, now_s))
            now_s = clock.monotonic_s()
            if reply is not None:
                self._take(reply, now_s)
            if hedge_s is not None and now_s >= hedge_s:
                self._hedge_stragglers(now_s)
                hedge_s = None
        self._parts.dispatch.cancel(list(self._open))
        return self._answer()

    def _ask_every_shard(self, now_s: float) -> None:
        budget = self._parts.hedge_budgets.of(self._query.plan.owner)
        budget.earn(self._parts.hedge_policy, self._snapshot.shard_count)
        for number in range(self._snapshot.shard_count):
            shard = ShardNumber(number)
            self._replicas[shard] = self._parts.replica_choice.order(
                self._snapshot.replicas_of(shard),
                self._snapshot.version,
                self._catalog.targets,
                now_s,
            )
            if not self._ask_next_replica(shard, now_s):
                self._coverage.explain(shard, GapReason.NO_REPLICA, Fault.TARGET)

    def _ask_next_replica(self, shard: ShardNumber, now_s: float) -> bool:
        if not self._query.deadline.allows_attempt(now_s):
            return False
        place = next(self._replicas[shard], None)
        if place is None:
            return False
        attempt = AttemptId(f"{self._query.query}.{next(self._numbers)}")
        self._open[attempt] = _Attempt(attempt, shard, place)
        self._sent += 1
        request = self._sub_request(attempt, shard, place, now_s)
        self._parts.dispatch.send(request, self._inbox)
        return True

    def _sub_request(
        self, attempt: AttemptId, shard: ShardNumber, place: TargetPlace, now_s: float
    ) -> SubRequest:
        return SubRequest(
            attempt=attempt,
            query=self._query.query,
            owner=self._query.plan.owner,
            index=self._query.question.index,
            shard=shard,
            version=self._snapshot.version,
            target=place.target,
            operation=Operation.SEARCH,
            body=self._query.question.body,
            remaining_ms=self._query.deadline.remaining_ms(now_s),
            fingerprint=self._query.fingerprint,
        )

    def _wait_s(self, hedge_s: float | None, now_s: float) -> float:
        left_s = self._query.deadline.remaining_s(now_s)
        if hedge_s is None:
            return left_s
        return min(left_s, max(0.0, hedge_s - now_s))

    def _take(self, reply: SubReply, now_s: float) -> None:
        attempt = self._open.pop(reply.attempt, None)
        if attempt is None:
            return
        match reply:
            case Answered() if self._belongs(reply, attempt):
                self._coverage.cover(reply)
            case Answered():
                self._try_elsewhere(attempt, GapReason.TARGET_FAILED, Fault.TARGET)
            case Declined(reason=reason):
                if reason is DeclineReason.VERSION_NOT_HELD:
                    self._parts.holdings.deny(
                        attempt.place.target, self._snapshot.version, now_s
                    )
                self._try_elsewhere(attempt, *gap_of_decline(reason))
            case Lost(reason=loss):
                self._try_elsewhere(attempt, *gap_of_loss(loss))

    def _belongs(self, reply: Answered, attempt: _Attempt) -> bool:
        return (
            reply.query == self._query.query
            and reply.shard == attempt.shard
            and reply.version == self._snapshot.version
        )

    def _try_elsewhere(
        self, attempt: _Attempt, reason: GapReason, fault: Fault
    ) -> None:
        self._coverage.explain(attempt.shard, reason, fault)
        if any(other.shard == attempt.shard for other in self._open.values()):
            return
        self._ask_next_replica(attempt.shard, clock.monotonic_s())

    def _hedge_stragglers(self, now_s: float) -> None:
        budget = self._parts.hedge_budgets.of(self._query.plan.owner)
        for attempt in list(self._open.values()):
            if not budget.spend():
                return
            self._ask_next_replica(attempt.shard, now_s)

    def _answer(self) -> Answer:
        return Answer(
            query=self._query.query,
            outcome=Outcome.RAN if self._coverage.covered else Outcome.UNKNOWN,
            version=self._snapshot.version,
            page=merge(self._coverage.answers, self._query.question.page_size),
            covered=tuple(self._coverage.covered),
            gaps=tuple(self._coverage.gaps),
            attempts=self._sent,
        )
