"""Tickets and their execution, on whichever daemon a caller has reached."""

import uuid
from typing import Final

from returns.result import Failure, Result, Success

from lavendertide.configuration.adoption import Configuration
from lavendertide.configuration.catalog import Catalog, Index, Plan
from lavendertide.daemon.minter import Minter
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
INQUIRY_MS: Final = 500

GONE: Final = (
    "The daemon that minted the ticket is gone, so nobody will run it again. "
    "Ask the index whether it ran before taking a new ticket."
)
NOT_KNOWN: Final = (
    "The daemon that minted the ticket is not known to this host. "
    "Send it again unchanged, to another address."
)
SILENT: Final = (
    "The daemon that minted the ticket did not answer in time. "
    "Send it again unchanged; it runs once at most."
)


class TicketService:
    """Takes orders in and hands them to the daemon that minted their ticket."""

    def __init__(
        self,
        fleet_key: str,
        deadline_max_ms: int,
        configuration: Configuration,
        limiters: PlanLimiters,
        roster: Roster,
        peers: Peers,
        minter: Minter,
        gate: AdmissionGate,
    ) -> None:
        self._fleet_key = fleet_key
        self._deadline_max_ms = deadline_max_ms
        self._configuration = configuration
        self._limiters = limiters
        self._roster = roster
        self._peers = peers
        self._minter = minter
        self._gate = gate

    def mint(self, key: CallerKey) -> Result[TicketId, Refusal]:
        """Returns a ticket that this incarnation alone can execute."""
        return self._configuration.catalog.bind(
            lambda catalog: catalog.plan_of(key).bind(
                lambda plan: self._minter.mint(plan.plan, clock.monotonic_s())
            )
        )

    def execute(
        self, order: ExecutionRequest
    ) -> Result[ExecutionResult, RefusedExecution]:
        """Executes an order once at most, whichever daemon it came to."""
        now_s = clock.monotonic_s()
        ticket = decode_ticket(order.ticket, self._fleet_key)
        if ticket is None:
            return Failure(RefusedExecution(_unknown_ticket(), Outcome.UNKNOWN))
        match self._check(order):
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
            return self._run(order, ticket, plan, now_s)
        finally:
            limiter.release()

    def inquire(
        self, key: CallerKey, text: TicketId
    ) -> Result[ExecutionResult, Refusal]:
        """Returns what is known of a ticket, and runs nothing."""
        ticket = decode_ticket(text, self._fleet_key)
        if ticket is None:
            return Failure(_unknown_ticket())
        catalog = self._configuration.catalog
        return catalog.bind(lambda known: known.plan_of(key)).bind(
            lambda plan: self._inquire(ticket, text, plan)
        )

    def execute_for_peer(self, request: TicketRequest) -> TicketReply:
        """Executes a ticket of this daemon that a caller has sent to a peer."""
        ticket = decode_ticket(request.ticket, self._fleet_key)
        if ticket is None or not self._minter.has_minted(ticket):
            return TicketReply(request.exchange, Outcome.UNKNOWN, GONE)
        budget_ms = min(request.remaining_ms, self._deadline_max_ms)
        deadline = Deadline(clock.monotonic_s() + budget_ms / 1000)
        match self._minter.take(ticket, request, deadline):
            case Success(ExecutionResult(outcome, detail)):
                return TicketReply(request.exchange, outcome, detail)
            case Failure(RefusedExecution(refusal, outcome)):
                return TicketReply(request.exchange, outcome, "", refusal)
        raise AssertionError("a result is a success or a failure")

    def _check(self, order: ExecutionRequest) -> Result[Plan, Refusal]:
        def may_use(catalog: Catalog, plan: Plan) -> Result[Plan, Refusal]:
            found = catalog.entitled_index(plan, order.index, order.operation)
            return found.bind(_has_one_shard).map(lambda _: plan)

        return self._configuration.catalog.bind(
            lambda catalog: catalog.plan_of(order.key).bind(
                lambda plan: may_use(catalog, plan)
            )
        )

    def _refused(self, ticket: Ticket, refusal: Refusal) -> RefusedExecution:
        if self._minter.has_minted(ticket):
            known = self._minter.outcome_of(ticket, clock.monotonic_s())
            return RefusedExecution(refusal, known.outcome)
        return RefusedExecution(refusal, Outcome.UNKNOWN)

    def _run(
        self, order: ExecutionRequest, ticket: Ticket, plan: Plan, now_s: float
    ) -> Result[ExecutionResult, RefusedExecution]:
        budget_ms = min(order.deadline_ms, self._deadline_max_ms)
        deadline = deadline_for(budget_ms, now_s)
        match self._gate.admit(deadline.remaining_s(now_s), None):
            case Failure(refusal):
                return Failure(self._refused(ticket, refusal))
        try:
            request = _request(order.ticket, plan, order, deadline, now_s)
            if self._minter.has_minted(ticket):
                return self._minter.take(ticket, request, deadline)
            return self._ask_minter(ticket, request, deadline)
        finally:
            self._gate.release()

    def _inquire(
        self, ticket: Ticket, text: TicketId, plan: Plan
    ) -> Result[ExecutionResult, Refusal]:
        now_s = clock.monotonic_s()
        deadline = deadline_for(INQUIRY_MS, now_s)
        request = _request(text, plan, None, deadline, now_s)
        if self._minter.has_minted(ticket):
            found = self._minter.take(ticket, request, deadline)
        else:
            found = self._ask_minter(ticket, request, deadline)
        return found.alt(lambda refused: refused.refusal)

    def _ask_minter(
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


def _request(
    ticket: TicketId,
    plan: Plan,
    order: ExecutionRequest | None,
    deadline: Deadline,
    now_s: float,
) -> TicketRequest:
    """Returns the message to the minter; without an order it only asks."""
    return TicketRequest(
        exchange=ExchangeId(uuid.uuid4().hex),
        ticket=ticket,
        plan=plan.plan,
        index=order.index if order else IndexName(""),
        operation=order.operation if order else Operation.SEARCH,
        body=order.body if order else "",
        remaining_ms=int(1000 * max(0.0, deadline.remaining_s(now_s) - RELAY_S)),
        is_status_request=order is None,
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
            f"'{index.index}' has many shards and takes searches only.",
            "Send the request to an index of one shard.",
            Fault.PLAN,
        )
    )


def _unknown_ticket() -> Refusal:
    return Refusal(
        RefusalKind.UNKNOWN_TICKET,
        "No daemon of this fleet has signed the ticket.",
        "Take a ticket from /v1/tickets and send it unchanged.",
        Fault.CALLER,
    )
