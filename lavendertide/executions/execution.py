"""Execution of a ticket on the daemon that minted it.

A replica that certainly did not run the request is followed by the next one. Once a
byte may have reached a target, nothing is sent again.
"""

import random
from dataclasses import dataclass
from typing import Final

from returns.result import Failure, Success

from lavendertide.configuration.catalog import Catalog, Index, Plan
from lavendertide.executions.ledger import Ledger, LedgerEntry
from lavendertide.ids import AttemptId, QueryId, ShardNumber, TicketId
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
from lavendertide.queries.deadline import ATTEMPT_FLOOR_S, Deadline
from lavendertide.queries.dependencies import FanOutDependencies
from lavendertide.queries.query import fingerprint_of
from lavendertide.queries.snapshot import Snapshot
from lavendertide.runtime import clock, tasks
from lavendertide.targets.place import TargetPlace

THE_SHARD: Final = ShardNumber(0)
ROWS: Final = 1


@dataclass(frozen=True, slots=True)
class Execution:
    """A non-idempotent request for the one shard of an index."""

    ticket: TicketId
    plan: Plan
    index: Index
    operation: Operation
    body: str
    deadline: Deadline


@dataclass(frozen=True, slots=True)
class ExecutionResult:
    """What is known of an execution."""

    outcome: Outcome
    detail: str


@dataclass(frozen=True, slots=True)
class _Try:
    """What became of one pass over the replicas of a version.

    Attributes:
        is_version_gone: Whether another version is worth trying.
    """

    result: ExecutionResult
    is_version_gone: bool = False


class Executor:
    """Executes the tickets of one ledger."""

    def __init__(self, ledger: Ledger, parts: FanOutDependencies) -> None:
        self._ledger = ledger
        self._parts = parts

    def execute(
        self, entry: LedgerEntry, execution: Execution, catalog: Catalog
    ) -> ExecutionResult:
        """Executes a ticket, or waits for the execution that is under way."""
        if not self._ledger.begin(entry):
            if entry.done is not None:
                now_s = clock.monotonic_s()
                entry.done.wait(execution.deadline.remaining_s(now_s))
            return ExecutionResult(entry.outcome, entry.detail)
        result = ExecutionResult(Outcome.UNKNOWN, "the execution was broken off")
        try:
            result = self._run(execution, catalog)
        finally:
            self._ledger.finish(entry, result.outcome, result.detail)
        return result

    def _run(self, execution: Execution, catalog: Catalog) -> ExecutionResult:
        result = ExecutionResult(Outcome.NOT_RUN, "no version of the index was asked")
        for _ in execution.index.versions:
            now_s = clock.monotonic_s()
            match self._parts.holdings.pin(execution.index, now_s):
                case Success(snapshot):
                    tried = self._run_on(execution, snapshot, catalog)
                case Failure(refusal):
                    return ExecutionResult(Outcome.NOT_RUN, str(refusal))
            result = tried.result
            if not tried.is_version_gone:
                break
        return result

    def _run_on(
        self, execution: Execution, snapshot: Snapshot, catalog: Catalog
    ) -> _Try:
        """Asks the replicas one after another until one may have run it."""
        if snapshot.shard_count != 1:
            problem = f"the index has {snapshot.shard_count} shards, not one"
            return _Try(ExecutionResult(Outcome.NOT_RUN, problem))
        reasons: list[DeclineReason] = []
        for place in self._replicas(snapshot, catalog):
            now_s = clock.monotonic_s()
            run_ms = self._run_ms(execution, place, now_s)
            if run_ms is None:
                break
            number = len(reasons) + 1
            request = _sub_request(execution, snapshot, place, number, run_ms)
            match self._ask(request, execution.deadline):
                case Answered() as answer:
                    return _Try(ExecutionResult(Outcome.RAN, _document(answer)))
                case Declined(reason=reason):
                    reasons.append(reason)
                    self._learn(place, snapshot, reason, now_s)
                case Lost(reason=loss):
                    return _Try(ExecutionResult(Outcome.UNKNOWN, loss.value))
                case None:
                    return _Try(ExecutionResult(Outcome.UNKNOWN, "no answer in time"))
            if reason is DeclineReason.POISONED:
                break
        return _Try(_not_run(reasons), _all_lack_version(reasons))

    def _replicas(self, snapshot: Snapshot, catalog: Catalog) -> list[TargetPlace]:
        now_s = clock.monotonic_s()
        replicas = snapshot.replicas_of(THE_SHARD)
        version = snapshot.version
        choice = self._parts.replica_selector
        return choice.rank(replicas, version, catalog.targets, now_s)

    def _run_ms(
        self, execution: Execution, place: TargetPlace, now_s: float
    ) -> int | None:
        """Returns how long the target may take, none if that is too little."""
        hops_s = 2 * self._parts.replica_selector.hop_s(place)
        run_s = execution.deadline.remaining_s(now_s) - hops_s
        return int(run_s * 1000) if run_s >= ATTEMPT_FLOOR_S else None

    def _learn(
        self,
        place: TargetPlace,
        snapshot: Snapshot,
        reason: DeclineReason,
        now_s: float,
    ) -> None:
        if reason is DeclineReason.VERSION_NOT_HELD:
            self._parts.holdings.record_denial(place.target, snapshot.version, now_s)

    def _ask(self, request: SubRequest, deadline: Deadline) -> SubReply | None:
        inbox: tasks.Mailbox[SubReply] = tasks.Mailbox()
        self._parts.dispatch.send(request, inbox)
        reply = inbox.receive(deadline.remaining_s(clock.monotonic_s()))
        if reply is None:
            self._parts.dispatch.cancel([request.attempt])
        return reply


def _sub_request(
    execution: Execution,
    snapshot: Snapshot,
    place: TargetPlace,
    number: int,
    remaining_ms: int,
) -> SubRequest:
    index, plan = execution.index.index, execution.plan
    # A ticket that did not run can be used again, and old replies may still come.
    unique = f"{random.getrandbits(32):08x}"
    return SubRequest(
        attempt=AttemptId(f"{execution.ticket}.{unique}.{number}"),
        query=QueryId(execution.ticket),
        owner=plan.owner,
        index=index,
        shard=THE_SHARD,
        version=snapshot.version,
        target=place.target,
        operation=execution.operation,
        body=execution.body,
        remaining_ms=remaining_ms,
        fingerprint=fingerprint_of(
            plan.owner, index, execution.operation, execution.body
        ),
        plan_class=plan.plan_class,
        page_size=ROWS,
    )


def _not_run(reasons: list[DeclineReason]) -> ExecutionResult:
    if not reasons:
        return ExecutionResult(Outcome.NOT_RUN, "too little of the deadline was left")
    said = ", ".join(sorted({reason.value for reason in reasons}))
    return ExecutionResult(Outcome.NOT_RUN, f"declined by every replica asked: {said}")


def _all_lack_version(reasons: list[DeclineReason]) -> bool:
    return bool(reasons) and set(reasons) == {DeclineReason.VERSION_NOT_HELD}


def _document(answer: Answered) -> str:
    return answer.rows[0].document if answer.rows else ""
