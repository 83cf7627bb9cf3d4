"""Records the outcome of each request in the metrics and the failure log of its owner.

The classes wrap the services that the front end calls, so that every way in which a
request can end is recorded. A record that fails leaves the outcome as it is.
"""

import contextlib
from collections import Counter
from dataclasses import dataclass
from typing import Final, Protocol

from returns.result import Failure, Result, Success

from lavendertide.bookkeeping import Isolated
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
NO_TICKET: Final = TicketId("")
OTHER_DETAIL: Final = "other"
MS_PER_S: Final = 1_000


class Searches(Protocol):
    """The service that runs searches."""

    def search(self, request: SearchRequest) -> Result[SearchResponse, Refusal]:
        """Runs a search, or refuses it before any of it has run."""


class Tickets(Protocol):
    """The service that issues tickets and executes the requests under them."""

    def issue_ticket(self, key: CallerKey) -> Result[TicketId, Refusal]:
        """Issues a ticket."""

    def execute(
        self, execution_request: ExecutionRequest
    ) -> Result[ExecutionResult, RefusedExecution]:
        """Executes a request at most once."""

    def request_status(
        self, key: CallerKey, ticket_id: TicketId
    ) -> Result[ExecutionResult, Refusal]:
        """Returns the outcome recorded for a ticket without running anything."""


@dataclass(frozen=True, slots=True)
class Recorder:
    """Writes to the metrics and the failure logs."""

    configuration: Configuration
    metrics: Metrics
    failure_logs: FailureLogs

    def plan_of(self, key: CallerKey) -> Plan | None:
        """Returns the plan of a key, none for an unknown key."""
        return self.configuration.catalog.bind(
            lambda catalog: catalog.plan_of(key)
        ).value_or(None)

    def record_refusal(
        self, plan: Plan | None, index: IndexName, refusal: Refusal
    ) -> None:
        """Counts a refused request; without a plan it is in no failure log."""
        owner = plan.owner if plan else NO_OWNER
        self.metrics.count_refusal(owner, refusal.kind, refusal.fault)
        if plan is not None:
            self.record_failure(
                plan,
                index,
                failure_logs.NO_QUERY,
                FailureKind.REFUSED,
                refusal.kind.value,
                refusal.fault,
            )

    def record_failure(
        self,
        plan: Plan,
        index: IndexName,
        query: QueryId,
        kind: FailureKind,
        reason: str,
        fault: Fault,
        shards: int = 0,
    ) -> None:
        """Adds one failure to the failure log of the plan's owner."""
        failure = failure_logs.FailureRecord(
            clock.wall_s(), query, plan.plan, index, kind, reason, fault, shards
        )
        self.failure_logs.record(plan.owner, [failure])


class RecordedSearches:
    """Runs searches and records their outcomes."""

    def __init__(self, inner: Searches, recorder: Recorder) -> None:
        self._inner = inner
        self._recorder = recorder

    def search(self, request: SearchRequest) -> Result[SearchResponse, Refusal]:
        """Runs a search and records its outcome."""
        started_at_s = clock.monotonic_s()
        result = self._inner.search(request)
        query = result.map(lambda response: response.query)
        with Isolated("outcome", query.value_or(failure_logs.NO_QUERY)):
            self._record(request, result, clock.monotonic_s() - started_at_s)
        return result

    def _record(
        self,
        request: SearchRequest,
        result: Result[SearchResponse, Refusal],
        latency_s: float,
    ) -> None:
        plan = self._recorder.plan_of(request.key)
        match result:
            case Success(response) if plan is not None:
                self._record_response(plan, request, response, latency_s)
            case Failure(refusal):
                self._recorder.record_refusal(plan, request.index, refusal)

    def _record_response(
        self,
        plan: Plan,
        request: SearchRequest,
        response: SearchResponse,
        latency_s: float,
    ) -> None:
        metrics = self._recorder.metrics
        shards = len(response.covered) + len(response.gaps)
        coverage = len(response.covered) / shards if shards else 0.0
        is_late = latency_s * MS_PER_S > response.deadline_ms
        metrics.observe_search(
            plan.owner, plan.plan_class, response.outcome, latency_s, coverage, is_late
        )
        metrics.count_attempts(plan.owner, response.attempts, shards)
        causes = Counter((gap.reason.value, gap.fault) for gap in response.gaps)
        for (reason, fault), count in causes.items():
            metrics.count_gap(plan.owner, reason, fault, count)
            self._recorder.record_failure(
                plan,
                request.index,
                response.query,
                FailureKind.GAP,
                reason,
                fault,
                count,
            )


class RecordedTickets:
    """Issues tickets, executes requests and records the outcomes."""

    def __init__(self, inner: Tickets, recorder: Recorder) -> None:
        self._inner = inner
        self._recorder = recorder

    def issue_ticket(self, key: CallerKey) -> Result[TicketId, Refusal]:
        """Issues a ticket, or records the refusal."""
        result = self._inner.issue_ticket(key)
        with Isolated("outcome", result.value_or(NO_TICKET)):
            if isinstance(result, Failure):
                plan = self._recorder.plan_of(key)
                self._recorder.record_refusal(plan, NO_INDEX, result.failure())
        return result

    def request_status(
        self, key: CallerKey, ticket_id: TicketId
    ) -> Result[ExecutionResult, Refusal]:
        """Returns the outcome recorded for a ticket without running anything."""
        return self._inner.request_status(key, ticket_id)

    def execute(
        self, execution_request: ExecutionRequest
    ) -> Result[ExecutionResult, RefusedExecution]:
        """Executes a request and records its outcome."""
        result = self._inner.execute(execution_request)
        with Isolated("outcome", execution_request.ticket):
            self._record(execution_request, result)
        return result

    def _record(
        self,
        execution_request: ExecutionRequest,
        result: Result[ExecutionResult, RefusedExecution],
    ) -> None:
        plan = self._recorder.plan_of(execution_request.key)
        match result:
            case Success(execution) if plan is not None:
                self._record_execution(plan, execution_request, execution)
            case Failure(RefusedExecution(refusal)):
                self._recorder.record_refusal(plan, execution_request.index, refusal)

    def _record_execution(
        self,
        plan: Plan,
        execution_request: ExecutionRequest,
        execution: ExecutionResult,
    ) -> None:
        metrics = self._recorder.metrics
        metrics.count_execution(plan.owner, plan.plan_class, execution.outcome)
        kind = _failure_kind(execution.outcome)
        if kind is not None:
            self._recorder.record_failure(
                plan,
                execution_request.index,
                QueryId(execution_request.ticket),
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
    """Returns reason and fault of an execution that is not known to have run."""
    with contextlib.suppress(ValueError):
        return detail, gap_of_decline(DeclineReason(detail))[1]
    with contextlib.suppress(ValueError):
        return detail, gap_of_loss(LossReason(detail))[1]
    return OTHER_DETAIL, Fault.SYSTEM
