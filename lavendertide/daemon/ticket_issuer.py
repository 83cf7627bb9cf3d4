"""Issues the tickets of this daemon's incarnation, binds and executes them.

Every execution request under a ticket of this daemon is handled here, whichever host
received it from the caller.
"""

from typing import Final

from returns.result import Failure, Result, Success

from lavendertide.configuration.adoption import Configuration
from lavendertide.configuration.catalog import Catalog, Plan
from lavendertide.errors import Refusal
from lavendertide.executions.execution import Execution, ExecutionResult, Executor
from lavendertide.executions.execution_request import RefusedExecution
from lavendertide.executions.ledger import Ledger, LedgerEntry
from lavendertide.executions.ticket import Ticket, encode_ticket
from lavendertide.fleet.roster import Roster
from lavendertide.ids import PlanId, TicketId
from lavendertide.messages import Outcome, TicketRequest
from lavendertide.queries.deadline import Deadline
from lavendertide.queries.query import fingerprint_of
from lavendertide.runtime import clock
from lavendertide.runtime.pauses import PauseTracker

EXPIRED: Final = (
    "The ticket has expired on this host and will not be run again. "
    "Check with the index whether it ran before requesting a new ticket."
)
BEHIND: Final = (
    "The daemon that issued the ticket does not know the plan or the index yet. "
    "Send it again unchanged, a little later."
)


class TicketIssuer:
    """Issues tickets and executes the request under each of them at most once."""

    def __init__(
        self,
        fleet_key: str,
        configuration: Configuration,
        roster: Roster,
        ledger: Ledger,
        executor: Executor,
        pauses: PauseTracker,
    ) -> None:
        self._fleet_key = fleet_key
        self._configuration = configuration
        self._roster = roster
        self._ledger = ledger
        self._executor = executor
        self._pauses = pauses

    def issue_ticket(self, plan: PlanId, now_s: float) -> Result[TicketId, Refusal]:
        """Issues a ticket to a caller of a plan."""
        return self._ledger.issue(plan, now_s).map(self._encode)

    def has_issued(self, ticket: Ticket) -> bool:
        """Returns whether this daemon issued a ticket in its present incarnation."""
        own = self._roster.own
        return (ticket.daemon, ticket.incarnation) == (own.daemon, own.incarnation)

    def outcome_of(self, ticket: Ticket, now_s: float) -> ExecutionResult:
        """Returns the recorded outcome of a ticket; unknown once it has expired."""
        entry = self._ledger.find(ticket.serial, now_s)
        if entry is None:
            return ExecutionResult(Outcome.UNKNOWN, EXPIRED)
        return ExecutionResult(entry.outcome, entry.detail)

    def handle(
        self, ticket: Ticket, request: TicketRequest, deadline: Deadline
    ) -> Result[ExecutionResult, RefusedExecution]:
        """Executes the request under a ticket, or only returns its status.

        A pause of this process is deducted from the deadline, since the request may
        have waited unread for as long.
        """
        now_s = clock.monotonic_s()
        entry = self._ledger.find(ticket.serial, now_s)
        if entry is None:
            return Success(ExecutionResult(Outcome.UNKNOWN, EXPIRED))
        match self._bind(entry, request):
            case Failure(refusal):
                # Only the request that is bound to the ticket can have run under it.
                return Failure(RefusedExecution(refusal, Outcome.NOT_RUN))
        if request.is_status_request:
            return Success(ExecutionResult(entry.outcome, entry.detail))
        waited_s = self._pauses.max_wait_s(now_s)
        return Success(
            self._execute(entry, request, Deadline(deadline.at_s - waited_s))
        )

    def _bind(
        self, entry: LedgerEntry, request: TicketRequest
    ) -> Result[None, Refusal]:
        if request.is_status_request:
            return self._ledger.check_plan(entry, request.plan)
        digest = fingerprint_of(
            request.plan, request.index, request.operation, request.body
        )
        return self._ledger.bind(entry, request.plan, digest)

    def _execute(
        self, entry: LedgerEntry, request: TicketRequest, deadline: Deadline
    ) -> ExecutionResult:
        catalog = self._configuration.catalog.value_or(None)
        plan = _find_plan(catalog, request.plan) if catalog else None
        index = catalog.indexes.get(request.index) if catalog else None
        if catalog is None or plan is None or index is None:
            return ExecutionResult(entry.outcome, BEHIND)
        execution = Execution(
            request.ticket, plan, index, request.operation, request.body, deadline
        )
        return self._executor.execute(entry, execution, catalog)

    def _encode(self, entry: LedgerEntry) -> TicketId:
        own = self._roster.own
        ticket = Ticket(own.daemon, own.incarnation, entry.serial)
        return encode_ticket(ticket, self._fleet_key)


def _find_plan(catalog: Catalog, plan: PlanId) -> Plan | None:
    return next((p for p in catalog.plans.values() if p.plan == plan), None)
