"""Executes a ticket on the daemon that issued it.

If a replica certainly did not run the request, the next replica is tried. Once a byte
may have reached a target that did not decline the request, nothing is sent again.
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

ONLY_SHARD: Final = ShardNumber(0)
PAGE_SIZE: Final = 1


@dataclass(frozen=True, slots=True)
class Execution:
    """A non-idempotent request for the only shard of an index."""

    ticket: TicketId
    plan: Plan
    index: Index
    operation: Operation
    body: str
    deadline: Deadline


@dataclass(frozen=True, slots=True)
class ExecutionResult:
    """The known outcome of an execution."""

    outcome: Outcome
    detail: str


@dataclass(frozen=True, slots=True)
class _VersionAttempt:
    """The result of one pass over the replicas of an index version.

    Attributes:
        is_version_gone: Whether all replicas tried lack the version, so that another
            version is worth trying.
    """

    result: ExecutionResult
    is_version_gone: bool = False


class Executor:
    """Executes the tickets of one ledger on the targets of an index."""

    def __init__(self, ledger: Ledger, dependencies: FanOutDependencies) -> None:
        self._ledger = ledger
        self._dependencies = dependencies

    def execute(
        self, entry: LedgerEntry, execution: Execution, catalog: Catalog
    ) -> ExecutionResult:
        """Executes a ticket, or waits for the execution that is in progress."""
        if not self._ledger.begin(entry):
            if entry.done is not None:
                now_s = clock.monotonic_s()
                entry.done.wait(execution.deadline.remaining_s(now_s))
            return ExecutionResult(entry.outcome, entry.detail)
        result = ExecutionResult(Outcome.UNKNOWN, "the execution was aborted")
        try:
            result = self._run_on_versions(execution, catalog)
        finally:
            self._ledger.finish(entry, result.outcome, result.detail)
        return result

    def _run_on_versions(
        self, execution: Execution, catalog: Catalog
    ) -> ExecutionResult:
        """Tries other versions of the index while all replicas lack the pinned one."""
        result = ExecutionResult(Outcome.NOT_RUN, "the index has no version to run on")
        for _ in execution.index.versions:
            now_s = clock.monotonic_s()
            match self._dependencies.holdings.pin(execution.index, now_s):
                case Success(snapshot):
                    attempt = self._run_on_version(execution, snapshot, catalog)
                case Failure(refusal):
                    return ExecutionResult(Outcome.NOT_RUN, str(refusal))
            result = attempt.result
            if not attempt.is_version_gone:
                break
        return result

    def _run_on_version(
        self, execution: Execution, snapshot: Snapshot, catalog: Catalog
    ) -> _VersionAttempt:
        """Tries the replicas in turn until one of them may have run the request."""
        if snapshot.shard_count != 1:
            problem = f"the index has {snapshot.shard_count} shards, not one"
            return _VersionAttempt(ExecutionResult(Outcome.NOT_RUN, problem))
        decline_reasons: list[DeclineReason] = []
        for place in self._replicas(snapshot, catalog):
            now_s = clock.monotonic_s()
            time_left_ms = self._time_left_ms(execution, place, now_s)
            if time_left_ms is None:
                break
            attempt_number = len(decline_reasons) + 1
            request = _sub_request(
                execution, snapshot, place, attempt_number, time_left_ms
            )
            match self._send_and_receive(request, execution.deadline):
                case Answered() as answered:
                    return _VersionAttempt(
                        ExecutionResult(Outcome.RAN, _first_document(answered))
                    )
                case Declined(reason=reason):
                    decline_reasons.append(reason)
                    self._apply_decline(place, snapshot, reason, now_s)
                case Lost(reason=loss):
                    return _VersionAttempt(ExecutionResult(Outcome.UNKNOWN, loss.value))
                case None:
                    return _VersionAttempt(
                        ExecutionResult(Outcome.UNKNOWN, "no reply in time")
                    )
            if reason is DeclineReason.POISONED:
                break
        return _VersionAttempt(
            _not_run(decline_reasons), _all_lack_version(decline_reasons)
        )

    def _replicas(self, snapshot: Snapshot, catalog: Catalog) -> list[TargetPlace]:
        now_s = clock.monotonic_s()
        replicas = snapshot.replicas_of(ONLY_SHARD)
        version = snapshot.version
        selector = self._dependencies.replica_selector
        return selector.rank(replicas, version, catalog.targets, now_s)

    def _time_left_ms(
        self, execution: Execution, place: TargetPlace, now_s: float
    ) -> int | None:
        """Returns the time left for the target, or none if it is too short."""
        hops_s = 2 * self._dependencies.replica_selector.hop_s(place)
        time_left_s = execution.deadline.remaining_s(now_s) - hops_s
        return int(time_left_s * 1000) if time_left_s >= ATTEMPT_FLOOR_S else None

    def _apply_decline(
        self,
        place: TargetPlace,
        snapshot: Snapshot,
        reason: DeclineReason,
        now_s: float,
    ) -> None:
        if reason is DeclineReason.VERSION_NOT_HELD:
            self._dependencies.holdings.record_denial(
                place.target, snapshot.version, now_s
            )

    def _send_and_receive(
        self, request: SubRequest, deadline: Deadline
    ) -> SubReply | None:
        """Returns the target's reply, or none if the deadline passes before it."""
        inbox: tasks.Mailbox[SubReply] = tasks.Mailbox()
        self._dependencies.dispatch.send(request, inbox)
        reply = inbox.receive(deadline.remaining_s(clock.monotonic_s()))
        if reply is None:
            self._dependencies.dispatch.cancel([request.attempt])
        return reply


def _sub_request(
    execution: Execution,
    snapshot: Snapshot,
    place: TargetPlace,
    attempt_number: int,
    remaining_ms: int,
) -> SubRequest:
    index, plan = execution.index.index, execution.plan
    # A ticket that has not run can be executed again while late replies to the earlier
    # attempt may still arrive, so attempt ids must differ between executions.
    nonce = f"{random.getrandbits(32):08x}"
    return SubRequest(
        attempt=AttemptId(f"{execution.ticket}.{nonce}.{attempt_number}"),
        query=QueryId(execution.ticket),
        owner=plan.owner,
        index=index,
        shard=ONLY_SHARD,
        version=snapshot.version,
        target=place.target,
        operation=execution.operation,
        body=execution.body,
        remaining_ms=remaining_ms,
        fingerprint=fingerprint_of(
            plan.owner, index, execution.operation, execution.body
        ),
        plan_class=plan.plan_class,
        page_size=PAGE_SIZE,
    )


def _not_run(decline_reasons: list[DeclineReason]) -> ExecutionResult:
    if not decline_reasons:
        return ExecutionResult(Outcome.NOT_RUN, "too little of the deadline was left")
    reason_names = ", ".join(sorted({reason.value for reason in decline_reasons}))
    return ExecutionResult(
        Outcome.NOT_RUN, f"declined by every replica tried: {reason_names}"
    )


def _all_lack_version(decline_reasons: list[DeclineReason]) -> bool:
    return bool(decline_reasons) and set(decline_reasons) == {
        DeclineReason.VERSION_NOT_HELD
    }


def _first_document(answered: Answered) -> str:
    return answered.rows[0].document if answered.rows else ""
