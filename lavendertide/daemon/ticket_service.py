"""Tickets and their execution, on whichever daemon a caller has reached."""

import uuid

from returns.result import Failure, Result, Success

from lavendertide.configuration.adoption import Configuration
from lavendertide.configuration.catalog import Plan
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.executions.execution import Execution, ExecutionResult, Executor
from lavendertide.executions.ledger import Entry, Ledger
from lavendertide.executions.order import Order
from lavendertide.executions.ticket import Ticket, read_ticket, write_ticket
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.roster import Roster
from lavendertide.ids import CallerKey, ExchangeId, TicketId
from lavendertide.messages import Outcome, TicketReply, TicketRequest
from lavendertide.plans.admission import Allowances
from lavendertide.queries.deadline import Deadline
from lavendertide.runtime import clock


class TicketService:
    """Mints tickets and executes them here or at their minter."""

    def __init__(
        self,
        fleet_key: str,
        configuration: Configuration,
        allowances: Allowances,
        roster: Roster,
        peers: Peers,
        ledger: Ledger,
        executor: Executor,
    ) -> None:
        self._fleet_key = fleet_key
        self._configuration = configuration
        self._allowances = allowances
        self._roster = roster
        self._peers = peers
        self._ledger = ledger
        self._executor = executor

    def mint(self, key: CallerKey) -> Result[TicketId, Refusal]:
        """Returns a ticket that this incarnation alone can execute."""
        now_s = clock.monotonic_s()
        return self._configuration.catalog.bind(
            lambda catalog: catalog.plan_of(key).bind(
                lambda _: self._ledger.mint(now_s).map(self._write)
            )
        )

    def execute(self, order: Order) -> Result[ExecutionResult, Refusal]:
        """Executes an order once at most, whichever daemon it came to."""
        ticket = read_ticket(order.ticket, self._fleet_key)
        if ticket is None:
            return Failure(_unknown_ticket())
        return self._configuration.catalog.bind(
            lambda catalog: catalog.plan_of(order.key).bind(
                lambda plan: catalog.index_for(plan, order.index, order.operation).bind(
                    lambda _: self._admit(order, ticket, plan)
                )
            )
        )

    def execute_for_peer(self, request: TicketRequest) -> TicketReply:
        """Executes a ticket of this daemon that a caller has sent to a peer."""
        ticket = read_ticket(request.ticket, self._fleet_key)
        if ticket is None or not self._is_own(ticket):
            return TicketReply(request.exchange, Outcome.UNKNOWN, "minter is gone")
        deadline = Deadline(clock.monotonic_s() + request.remaining_ms / 1000)
        match self._execute_own(ticket, request, deadline):
            case Success(ExecutionResult(outcome, detail)):
                return TicketReply(request.exchange, outcome, detail)
            case Failure(refusal):
                return TicketReply(request.exchange, Outcome.UNKNOWN, str(refusal))
        raise AssertionError("a result is a success or a failure")

    def _admit(
        self, order: Order, ticket: Ticket, plan: Plan
    ) -> Result[ExecutionResult, Refusal]:
        now_s = clock.monotonic_s()
        allowance = self._allowances.of(plan, now_s)
        match allowance.enter(self._allowances.share_of(plan, now_s), now_s):
            case Failure(refusal):
                return Failure(refusal)
        try:
            return self._route(order, ticket, plan, now_s)
        finally:
            allowance.leave()

    def _route(
        self, order: Order, ticket: Ticket, plan: Plan, now_s: float
    ) -> Result[ExecutionResult, Refusal]:
        deadline = Deadline(now_s + order.deadline_ms / 1000)
        request = TicketRequest(
            ExchangeId(uuid.uuid4().hex),
            order.ticket,
            plan.plan,
            order.index,
            order.operation,
            order.body,
            order.deadline_ms,
        )
        if self._is_own(ticket):
            return self._execute_own(ticket, request, deadline)
        return Success(self._execute_at_minter(ticket, request, deadline))

    def _execute_own(
        self, ticket: Ticket, request: TicketRequest, deadline: Deadline
    ) -> Result[ExecutionResult, Refusal]:
        found = self._ledger.find(ticket.serial, clock.monotonic_s())
        return found.bind(lambda entry: self._execute_entry(entry, request, deadline))

    def _execute_entry(
        self, entry: Entry, request: TicketRequest, deadline: Deadline
    ) -> Result[ExecutionResult, Refusal]:
        match self._configuration.catalog:
            case Success(catalog):
                index = catalog.indexes[request.index]
                execution = Execution(
                    request.ticket,
                    index.owner,
                    request.index,
                    request.operation,
                    request.body,
                    deadline,
                )
                return Success(self._executor.execute(entry, execution, index, catalog))
            case Failure(refusal):
                return Failure(refusal)
        raise AssertionError("a result is a success or a failure")

    def _execute_at_minter(
        self, ticket: Ticket, request: TicketRequest, deadline: Deadline
    ) -> ExecutionResult:
        member = self._roster.find(ticket.daemon)
        if member is None or member.incarnation != ticket.incarnation:
            return ExecutionResult(Outcome.UNKNOWN, "the ticket's minter is gone")
        wait_s = deadline.remaining_s(clock.monotonic_s())
        reply = self._peers.link_to(member).exchange(request, wait_s)
        if reply is None:
            return ExecutionResult(Outcome.UNKNOWN, "the ticket's minter is silent")
        return ExecutionResult(reply.outcome, reply.detail)

    def _is_own(self, ticket: Ticket) -> bool:
        own = self._roster.own
        return (ticket.daemon, ticket.incarnation) == (own.daemon, own.incarnation)

    def _write(self, entry: Entry) -> TicketId:
        own = self._roster.own
        ticket = Ticket(own.daemon, own.incarnation, entry.serial)
        return write_ticket(ticket, self._fleet_key)


def _unknown_ticket() -> Refusal:
    return Refusal(
        RefusalKind.UNKNOWN_TICKET,
        "No daemon of this fleet has signed the ticket.",
        "Take a ticket from /v1/tickets and send it unchanged.",
        Fault.CALLER,
    )
