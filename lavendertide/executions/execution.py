"""Execution of a ticket on the daemon that minted it.

A replica that certainly did not run the request is followed by the next one. Once a
byte may have reached a target, nothing is sent again.
"""

import random
from dataclasses import dataclass

from returns.result import Failure, Success

from lavendertide.configuration.catalog import Catalog, Index
from lavendertide.executions.ledger import Entry, Ledger
from lavendertide.ids import AttemptId, IndexName, OwnerId, QueryId, ShardNumber
from lavendertide.messages import (
    Answered,
    Declined,
    Lost,
    Operation,
    Outcome,
    SubReply,
    SubRequest,
)
from lavendertide.queries.deadline import Deadline
from lavendertide.queries.parts import FanOutParts
from lavendertide.queries.query import fingerprint_of
from lavendertide.queries.snapshot import Snapshot
from lavendertide.runtime import clock, tasks


@dataclass(frozen=True, slots=True)
class Execution:
    """A non-idempotent request for the one shard of an index."""

    ticket_name: str
    owner: OwnerId
    index: IndexName
    operation: Operation
    body: str
    deadline: Deadline


@dataclass(frozen=True, slots=True)
class ExecutionResult:
    """What is known of an execution."""

    outcome: Outcome
    detail: str


class Executor:
    """Executes the tickets of one ledger."""

    def __init__(self, ledger: Ledger, parts: FanOutParts) -> None:
        self._ledger = ledger
        self._parts = parts

    def execute(
        self, entry: Entry, execution: Execution, index: Index, catalog: Catalog
    ) -> ExecutionResult:
        """Executes a ticket, or waits for the execution that is under way."""
        if not self._ledger.begin(entry):
            now_s = clock.monotonic_s()
            entry.done.wait(execution.deadline.remaining_s(now_s))
            return ExecutionResult(entry.outcome, entry.detail)
        result = self._run(execution, index, catalog)
        self._ledger.finish(entry, result.outcome, result.detail)
        return result

    def _run(
        self, execution: Execution, index: Index, catalog: Catalog
    ) -> ExecutionResult:
        now_s = clock.monotonic_s()
        match self._parts.holdings.pin(index, now_s):
            case Success(snapshot):
                return self._run_on(execution, snapshot, catalog)
            case Failure(refusal):
                return ExecutionResult(Outcome.NOT_RUN, str(refusal))
        raise AssertionError("a result is a success or a failure")

    def _run_on(
        self, execution: Execution, snapshot: Snapshot, catalog: Catalog
    ) -> ExecutionResult:
        shard = ShardNumber(0)
        places = [catalog.targets[t] for t in snapshot.replicas_of(shard)]
        random.shuffle(places)
        detail = "no replica could be asked in time"
        for number, place in enumerate(places):
            now_s = clock.monotonic_s()
            if not execution.deadline.allows_attempt(now_s):
                break
            request = SubRequest(
                attempt=AttemptId(f"{execution.ticket_name}.{number}"),
                query=QueryId(execution.ticket_name),
                owner=execution.owner,
                index=execution.index,
                shard=shard,
                version=snapshot.version,
                target=place.target,
                operation=execution.operation,
                body=execution.body,
                remaining_ms=execution.deadline.remaining_ms(now_s),
                fingerprint=fingerprint_of(
                    execution.owner,
                    execution.index,
                    execution.operation,
                    execution.body,
                ),
            )
            match self._ask(request, execution.deadline):
                case Answered() as answer:
                    return ExecutionResult(Outcome.RAN, _document(answer))
                case Declined(reason=reason):
                    detail = reason.value
                case Lost(reason=loss):
                    return ExecutionResult(Outcome.UNKNOWN, loss.value)
                case None:
                    return ExecutionResult(Outcome.UNKNOWN, "no answer in time")
        return ExecutionResult(Outcome.NOT_RUN, detail)

    def _ask(self, request: SubRequest, deadline: Deadline) -> SubReply | None:
        inbox: tasks.Mailbox[SubReply] = tasks.Mailbox()
        self._parts.dispatch.send(request, inbox)
        reply = inbox.receive(deadline.remaining_s(clock.monotonic_s()))
        if reply is None:
            self._parts.dispatch.cancel([request.attempt])
        return reply


def _document(answer: Answered) -> str:
    return answer.rows[0].document if answer.rows else ""
