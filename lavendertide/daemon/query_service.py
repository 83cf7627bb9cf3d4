"""Handles searches from admission to response, independent of the front end."""

import uuid

from returns.result import Failure, Result, Success

from lavendertide.bookkeeping import Isolated
from lavendertide.configuration.adoption import Configuration
from lavendertide.configuration.catalog import Catalog, Index, Plan
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.ids import QueryId
from lavendertide.messages import Operation
from lavendertide.options import QueryOptions
from lavendertide.overload.capacity import Feedback, Inconclusive, Permit
from lavendertide.plans.admission import PlanLimiters
from lavendertide.queries.capacity import SearchCapacities, feedback_of
from lavendertide.queries.deadline import deadline_for
from lavendertide.queries.dependencies import FanOutDependencies
from lavendertide.queries.fan_out import run_query
from lavendertide.queries.gate import AdmissionGate
from lavendertide.queries.hedging import straggler_quantile
from lavendertide.queries.query import (
    Query,
    SearchRequest,
    SearchResponse,
    fingerprint_of,
)
from lavendertide.queries.timing import LatencyEstimate
from lavendertide.runtime import clock, tasks


class QueryService:
    """Admits searches and runs them.

    A search passes, in this order, the checks of its key, entitlement and page size,
    the capacity of its owner and index, its plan's limits, and the admission gate.
    """

    def __init__(
        self,
        options: QueryOptions,
        configuration: Configuration,
        limiters: PlanLimiters,
        dependencies: FanOutDependencies,
        gate: AdmissionGate,
        capacities: SearchCapacities,
    ) -> None:
        self._options = options
        self._configuration = configuration
        self._limiters = limiters
        self._dependencies = dependencies
        self._gate = gate
        self._capacities = capacities

    def search(self, request: SearchRequest) -> Result[SearchResponse, Refusal]:
        """Runs a search, or refuses it before any of it has run."""
        return self._configuration.catalog.bind(
            lambda catalog: catalog.plan_of(request.key).bind(
                lambda plan: catalog.entitled_index(
                    plan, request.index, Operation.SEARCH
                ).bind(lambda index: self._admit(request, catalog, plan, index))
            )
        )

    def _admit(
        self, request: SearchRequest, catalog: Catalog, plan: Plan, index: Index
    ) -> Result[SearchResponse, Refusal]:
        if request.page_size > self._options.rows_max:
            return Failure(_page_too_large(self._options.rows_max))
        now_s = clock.monotonic_s()
        query = self._make_query(request, plan, now_s)
        return self._capacities.try_acquire(plan.owner, index.index, now_s).bind(
            lambda permit: self._run_with(permit, query, index, catalog)
        )

    def _run_with(
        self, permit: Permit, query: Query, index: Index, catalog: Catalog
    ) -> Result[SearchResponse, Refusal]:
        feedback: Feedback = Inconclusive()
        try:
            result = self._run_within_plan(query, index, catalog)
            with Isolated("capacity", query.query):
                feedback = result.map(feedback_of).value_or(feedback)
            return result
        finally:
            budget_s = query.deadline.at_s - permit.acquired_at_s
            with Isolated("capacity", query.query):
                permit.release(feedback, budget_s, clock.monotonic_s())

    def _run_within_plan(
        self, query: Query, index: Index, catalog: Catalog
    ) -> Result[SearchResponse, Refusal]:
        now_s = clock.monotonic_s()
        plan = query.plan
        limiter = self._limiters.limiter_of(plan, now_s)
        share = self._limiters.record_arrival(plan, now_s)
        match limiter.try_acquire(share, now_s, query.deadline.remaining_s(now_s)):
            case Success(wait_s):
                tasks.sleep(wait_s)
            case Failure(refusal):
                return Failure(refusal)
        try:
            return self._run(query, index, catalog)
        finally:
            limiter.release()

    def _run(
        self, query: Query, index: Index, catalog: Catalog
    ) -> Result[SearchResponse, Refusal]:
        match self._gate.admit(*self._admission_estimate(query)):
            case Failure(refusal):
                return Failure(refusal)
        try:
            return run_query(self._dependencies, query, index, catalog)
        finally:
            self._gate.release()

    def _admission_estimate(self, query: Query) -> tuple[float, LatencyEstimate | None]:
        now_s = clock.monotonic_s()
        timing = self._dependencies.timings.timing_of(query.request.index, now_s)
        quantile = straggler_quantile(self._dependencies.policies.hedging)
        return query.deadline.remaining_s(now_s), timing.estimate(quantile, now_s)

    def _make_query(self, request: SearchRequest, plan: Plan, now_s: float) -> Query:
        budget_ms = min(request.deadline_ms, self._options.deadline_max_ms)
        return Query(
            query=QueryId(uuid.uuid4().hex),
            plan=plan,
            request=request,
            deadline=deadline_for(budget_ms, now_s),
            deadline_ms=budget_ms,
            fingerprint=fingerprint_of(
                plan.owner, request.index, Operation.SEARCH, request.body
            ),
        )


def _page_too_large(rows_max: int) -> Refusal:
    return Refusal(
        RefusalKind.RESULT_TOO_LARGE,
        f"A page holds at most {rows_max} rows.",
        "Request a smaller page_size.",
        Fault.CALLER,
    )
