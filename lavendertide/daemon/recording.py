"""Counts each request at its end and writes failures into its owner's book.

These wrap the services that the front end calls, so that no path of a request can end
without its record.
"""

import contextlib
from collections import Counter
from dataclasses import dataclass
from typing import Final, Protocol

from returns.result import Failure, Result, Success

from lavendertide.configuration.adoption import Configuration
from lavendertide.configuration.catalog import Plan
from lavendertide.errors import Fault, Refusal
from lavendertide.executions.execution import ExecutionResult
from lavendertide.executions.execution_request import ExecutionRequest, RefusedExecution
from lavendertide.ids import CallerKey, IndexName, OwnerId, QueryId, TicketId
from lavendertide.messages import DeclineReason, LossReason, Outcome
from lavendertide.metrics.metrics import Metrics
from lavendertide.plans import failure_logs
from lavendertide.plans.failure_logs import FailureKind, FailureLogs
from lavendertide.queries.coverage import gap_of_decline, gap_of_loss
from lavendertide.queries.query import SearchRequest, SearchResponse
from lavendertide.runtime import clock

NO_OWNER: Final = OwnerId("none")
NO_INDEX: Final = IndexName("")
OTHER_DETAIL: Final = "other"
MS_PER_S: Final = 1_000


class Searches(Protocol):
    """Answers searches."""

    def search(self, request: SearchRequest) -> Result[SearchResponse, Refusal]:
        """Answers a search, or refuses it before any of it ran."""


class Tickets(Protocol):
    """Mints tickets and executes orders."""

    def mint(self, key: CallerKey) -> Result[TicketId, Refusal]:
        """Returns a ticket."""

    def execute(
        self, order: ExecutionRequest
    ) -> Result[ExecutionResult, RefusedExecution]:
        """Executes an order once at most."""

    def inquire(
        self, key: CallerKey, text: TicketId
    ) -> Result[ExecutionResult, Refusal]:
        """Returns what is known of a ticket, and runs nothing."""


@dataclass(frozen=True, slots=True)
class Recorder:
    """Where requests are counted and failures are written down."""

    configuration: Configuration
    metrics: Metrics
    failure_logs: FailureLogs

    def plan_of(self, key: CallerKey) -> Plan | None:
        """Returns the plan that a key belongs to, none if it belongs to none."""
        return self.configuration.catalog.bind(
            lambda catalog: catalog.plan_of(key)
        ).value_or(None)

    def refuse(self, plan: Plan | None, index: IndexName, refusal: Refusal) -> None:
        """Records a refused request."""
        owner = plan.owner if plan else NO_OWNER
        self.metrics.count_refusal(owner, refusal.kind, refusal.fault)
        if plan is not None:
            self.write(
                plan,
                index,
                failure_logs.NO_QUERY,
                FailureKind.REFUSED,
                refusal.kind.value,
                refusal.fault,
            )

    def write(
        self,
        plan: Plan,
        index: IndexName,
        query: QueryId,
        kind: FailureKind,
        reason: str,
        fault: Fault,
        shards: int = 0,
    ) -> None:
        """Writes one failure into the book of the plan's owner."""
        failure = failure_logs.FailureRecord(
            clock.wall_s(), query, plan.plan, index, kind, reason, fault, shards
        )
        self.failure_logs.record(plan.owner, [failure])


class RecordedSearches:
    """Searches with their record."""

    def __init__(self, inner: Searches, recorder: Recorder) -> None:
        self._inner = inner
        self._recorder = recorder

    def search(self, request: SearchRequest) -> Result[SearchResponse, Refusal]:
        """Answers a search and records how it ended."""
        started_at_s = clock.monotonic_s()
        result = self._inner.search(request)
        plan = self._recorder.plan_of(request.key)
        match result:
            case Success(answer) if plan is not None:
                latency_s = clock.monotonic_s() - started_at_s
                self._record_answer(plan, request, answer, latency_s)
            case Failure(refusal):
                self._recorder.refuse(plan, request.index, refusal)
        return result

    def _record_answer(
        self,
        plan: Plan,
        request: SearchRequest,
        answer: SearchResponse,
        latency_s: float,
    ) -> None:
        metrics = self._recorder.metrics
        shards = len(answer.covered) + len(answer.gaps)
        coverage = len(answer.covered) / shards if shards else 0.0
        is_late = latency_s * MS_PER_S > answer.deadline_ms
        metrics.observe_search(
            plan.owner, plan.plan_class, answer.outcome, latency_s, coverage, is_late
        )
        metrics.count_attempts(plan.owner, answer.attempts, shards)
        causes = Counter((gap.reason.value, gap.fault) for gap in answer.gaps)
        for (reason, fault), count in causes.items():
            metrics.count_gap(plan.owner, reason, fault, count)
            self._recorder.write(
                plan,
                request.index,
                answer.query,
                FailureKind.GAP,
                reason,
                fault,
                count,
            )


class RecordedTickets:
    """Tickets and their executions with their record."""

    def __init__(self, inner: Tickets, recorder: Recorder) -> None:
        self._inner = inner
        self._recorder = recorder

    def mint(self, key: CallerKey) -> Result[TicketId, Refusal]:
        """Returns a ticket, or records why not."""
        result = self._inner.mint(key)
        if isinstance(result, Failure):
            plan = self._recorder.plan_of(key)
            self._recorder.refuse(plan, NO_INDEX, result.failure())
        return result

    def inquire(
        self, key: CallerKey, text: TicketId
    ) -> Result[ExecutionResult, Refusal]:
        """Returns what is known of a ticket, and runs nothing."""
        return self._inner.inquire(key, text)

    def execute(
        self, order: ExecutionRequest
    ) -> Result[ExecutionResult, RefusedExecution]:
        """Executes an order and records how it ended."""
        result = self._inner.execute(order)
        plan = self._recorder.plan_of(order.key)
        match result:
            case Success(execution) if plan is not None:
                self._record_execution(plan, order, execution)
            case Failure(RefusedExecution(refusal)):
                self._recorder.refuse(plan, order.index, refusal)
        return result

    def _record_execution(
        self, plan: Plan, order: ExecutionRequest, execution: ExecutionResult
    ) -> None:
        metrics = self._recorder.metrics
        metrics.count_execution(plan.owner, plan.plan_class, execution.outcome)
        kind = _failure_kind(execution.outcome)
        if kind is not None:
            self._recorder.write(
                plan,
                order.index,
                QueryId(order.ticket),
                kind,
                *_cause_of(execution.detail),
            )


def _failure_kind(outcome: Outcome) -> FailureKind | None:
    match outcome:
        case Outcome.RAN:
            return None
        case Outcome.NOT_RUN:
            return FailureKind.NOT_RUN
        case Outcome.UNKNOWN:
            return FailureKind.UNKNOWN


def _cause_of(detail: str) -> tuple[str, Fault]:
    """Returns reason and fault of an execution that did not run or may have."""
    with contextlib.suppress(ValueError):
        return detail, gap_of_decline(DeclineReason(detail))[1]
    with contextlib.suppress(ValueError):
        return detail, gap_of_loss(LossReason(detail))[1]
    return OTHER_DETAIL, Fault.SYSTEM
