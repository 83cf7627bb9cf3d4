"""A non-idempotent request as a front end has decoded it."""

from dataclasses import dataclass

from lavendertide.errors import Refusal
from lavendertide.ids import CallerKey, IndexName, TicketId
from lavendertide.messages import Operation, Outcome


@dataclass(frozen=True, slots=True)
class ExecutionRequest:
    """What a caller orders, with the ticket that lets it run once."""

    key: CallerKey
    ticket: TicketId
    index: IndexName
    operation: Operation
    deadline_ms: int
    body: str


@dataclass(frozen=True, slots=True)
class RefusedExecution:
    """A try that was refused and has not run.

    Attributes:
        outcome: What is known of the order over all tries under its ticket. An
            earlier try may have run, so it is `unknown` where only the minter of the
            ticket could tell.
    """

    refusal: Refusal
    outcome: Outcome
