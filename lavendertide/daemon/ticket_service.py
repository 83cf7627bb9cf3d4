"""Handles requests for tickets and executions on the daemon that received them."""

import uuid
from typing import Final

from returns.result import Failure, Result, Success

from lavendertide.configuration.adoption import Configuration
from lavendertide.configuration.catalog import Catalog, Index, Plan
from lavendertide.daemon.ticket_issuer import TicketIssuer
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.executions.execution import ExecutionResult
from lavendertide.executions.execution_request import ExecutionRequest, RefusedExecution
from lavendertide.executions.ticket import Ticket, decode_ticket
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.roster import Roster
from lavendertide.ids import CallerKey, ExchangeId, IndexName, TicketId
from lavendertide.messages import (
    MemberRecord,
    MemberState,
    Operation,
    Outcome,
    TicketReply,
    TicketRequest,
)
from lavendertide.plans.admission import PlanLimiters
from lavendertide.queries.deadline import Deadline, deadline_for
from lavendertide.queries.gate import AdmissionGate
from lavendertide.runtime import clock, tasks

RELAY_S: Final = 0.005
STATUS_REQUEST_MS: Final = 500

GONE: Final = (
    "The daemon that issued the ticket is gone, so it will not be run again. "
    "Check with the index whether it ran before requesting a new ticket."
)
NOT_KNOWN: Final = (
    "The daemon that issued the ticket is not known to this host. "
    "Send it again unchanged, to another address."
)
SILENT: Final = (
    "The daemon that issued the ticket did not reply in time. "
    "Send it again unchanged; it runs at most once."
)


class TicketService:
    """Admits execution requests and forwards them to the daemon that issued the ticket.

    Since an earlier try may have run, a refused request comes with the outcome that is
    recorded for its ticket, or as unknown if another daemon issued the ticket.
    """

    def __init__(
        self,
        fleet_key: str,
        deadline_max_ms: int,
        configuration: Configuration,
        limiters: PlanLimiters,
        roster: Roster,
        peers: Peers,
        issuer: TicketIssuer,
        gate: AdmissionGate,
    ) -> None:
        self._fleet_key = fleet_key
        self._deadline_max_ms = deadline_max_ms
        self._configuration = configuration
        self._limiters = limiters
        self._roster = roster
        self._peers = peers
        self._issuer = issuer
        self._gate = gate

    def issue_ticket(self, key: CallerKey) -> Result[TicketId, Refusal]:
        """Issues a ticket that only this incarnation of this daemon can execute."""
        return self._configuration.catalog.bind(
            lambda catalog: catalog.plan_of(key).bind(
                lambda plan: self._issuer.issue_ticket(plan.plan, clock.monotonic_s())
            )
        )

    def execute(
        self, execution_request: ExecutionRequest
    ) -> Result[ExecutionResult, RefusedExecution]:
        """Executes a request at most once, whichever daemons it is sent to."""
        now_s = clock.monotonic_s()
        ticket = decode_ticket(execution_request.ticket, self._fleet_key)
        if ticket is None:
            return Failure(RefusedExecution(_unknown_ticket(), Outcome.UNKNOWN))
        match self._check_plan(execution_request):
            case Success(plan):
                pass
            case Failure(refusal):
                return Failure(self._refused(ticket, refusal))
        limiter = self._limiters.limiter_of(plan, now_s)
        match limiter.try_acquire(self._limiters.record_arrival(plan, now_s), now_s):
            case Success(wait_s):
                tasks.sleep(wait_s)
            case Failure(refusal):
                return Failure(self._refused(ticket, refusal))
        try:
            return self._run(execution_request, ticket, plan, now_s)
        finally:
            limiter.release()

    def request_status(
        self, key: CallerKey, ticket_id: TicketId
    ) -> Result[ExecutionResult, Refusal]:
        """Returns the outcome recorded for a ticket without running anything."""
        ticket = decode_ticket(ticket_id, self._fleet_key)
        if ticket is None:
            return Failure(_unknown_ticket())
        catalog = self._configuration.catalog
        return catalog.bind(lambda known: known.plan_of(key)).bind(
            lambda plan: self._request_status(ticket, ticket_id, plan)
        )

    def execute_for_peer(self, request: TicketRequest) -> TicketReply:
        """Executes a request, forwarded by a peer, under a ticket of this daemon."""
        ticket = decode_ticket(request.ticket, self._fleet_key)
        if ticket is None or not self._issuer.has_issued(ticket):
            return TicketReply(request.exchange, Outcome.UNKNOWN, GONE)
        budget_ms = min(request.remaining_ms, self._deadline_max_ms)
        deadline = Deadline(clock.monotonic_s() + budget_ms / 1000)
        match self._issuer.handle(ticket, request, deadline):
            case Success(ExecutionResult(outcome, detail)):
                return TicketReply(request.exchange, outcome, detail)
            case Failure(RefusedExecution(refusal, outcome)):
                return TicketReply(request.exchange, outcome, "", refusal)
        raise AssertionError("a result is a success or a failure")

    def _check_plan(self, execution_request: ExecutionRequest) -> Result[Plan, Refusal]:
        def check_entitlement(catalog: Catalog, plan: Plan) -> Result[Plan, Refusal]:
            found = catalog.entitled_index(
                plan, execution_request.index, execution_request.operation
            )
            return found.bind(_has_one_shard).map(lambda _: plan)

        return self._configuration.catalog.bind(
            lambda catalog: catalog.plan_of(execution_request.key).bind(
                lambda plan: check_entitlement(catalog, plan)
            )
        )

    def _refused(self, ticket: Ticket, refusal: Refusal) -> RefusedExecution:
        if self._issuer.has_issued(ticket):
            known = self._issuer.outcome_of(ticket, clock.monotonic_s())
            return RefusedExecution(refusal, known.outcome)
        return RefusedExecution(refusal, Outcome.UNKNOWN)

    def _run(
        self,
        execution_request: ExecutionRequest,
        ticket: Ticket,
        plan: Plan,
        now_s: float,
    ) -> Result[ExecutionResult, RefusedExecution]:
        budget_ms = min(execution_request.deadline_ms, self._deadline_max_ms)
        deadline = deadline_for(budget_ms, now_s)
        match self._gate.admit(deadline.remaining_s(now_s), None):
            case Failure(refusal):
                return Failure(self._refused(ticket, refusal))
        try:
            request = _make_ticket_request(
                execution_request.ticket, plan, execution_request, deadline, now_s
            )
            if self._issuer.has_issued(ticket):
                return self._issuer.handle(ticket, request, deadline)
            return self._forward_to_issuer(ticket, request, deadline)
        finally:
            self._gate.release()

    def _request_status(
        self, ticket: Ticket, ticket_id: TicketId, plan: Plan
    ) -> Result[ExecutionResult, Refusal]:
        now_s = clock.monotonic_s()
        deadline = deadline_for(STATUS_REQUEST_MS, now_s)
        request = _make_ticket_request(ticket_id, plan, None, deadline, now_s)
        if self._issuer.has_issued(ticket):
            found = self._issuer.handle(ticket, request, deadline)
        else:
            found = self._forward_to_issuer(ticket, request, deadline)
        return found.alt(lambda refused: refused.refusal)

    def _forward_to_issuer(
        self, ticket: Ticket, request: TicketRequest, deadline: Deadline
    ) -> Result[ExecutionResult, RefusedExecution]:
        member = self._roster.find(ticket.daemon)
        if member is None or member.incarnation < ticket.incarnation:
            return Success(ExecutionResult(Outcome.UNKNOWN, NOT_KNOWN))
        if _is_gone(member, ticket):
            return Success(ExecutionResult(Outcome.UNKNOWN, GONE))
        wait_s = deadline.remaining_s(clock.monotonic_s())
        reply = self._peers.link_to(member).request_ticket(request, wait_s)
        if reply is None:
            return Success(ExecutionResult(Outcome.UNKNOWN, SILENT))
        if reply.refusal is not None:
            return Failure(RefusedExecution(reply.refusal, reply.outcome))
        return Success(ExecutionResult(reply.outcome, reply.detail))


def _make_ticket_request(
    ticket: TicketId,
    plan: Plan,
    execution_request: ExecutionRequest | None,
    deadline: Deadline,
    now_s: float,
) -> TicketRequest:
    """Builds the message to the issuer: a status request if nothing is to run."""
    return TicketRequest(
        exchange=ExchangeId(uuid.uuid4().hex),
        ticket=ticket,
        plan=plan.plan,
        index=execution_request.index if execution_request else IndexName(""),
        operation=execution_request.operation
        if execution_request
        else Operation.SEARCH,
        body=execution_request.body if execution_request else "",
        remaining_ms=int(1000 * max(0.0, deadline.remaining_s(now_s) - RELAY_S)),
        is_status_request=execution_request is None,
    )


def _is_gone(member: MemberRecord, ticket: Ticket) -> bool:
    is_later = member.incarnation > ticket.incarnation
    return is_later or member.state is MemberState.REMOVED


def _has_one_shard(index: Index) -> Result[Index, Refusal]:
    if all(len(shards) == 1 for shards in index.versions.values()):
        return Success(index)
    return Failure(
        Refusal(
            RefusalKind.NOT_ENTITLED,
            f"'{index.index}' has many shards and accepts searches only.",
            "Send the request to an index of one shard.",
            Fault.PLAN,
        )
    )


def _unknown_ticket() -> Refusal:
    return Refusal(
        RefusalKind.UNKNOWN_TICKET,
        "No daemon of this fleet has signed the ticket.",
        "Request a ticket from /v1/tickets and send it unchanged.",
        Fault.CALLER,
    )
