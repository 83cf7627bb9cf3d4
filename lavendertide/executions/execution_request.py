"""Non-idempotent requests as decoded by a front end."""

from dataclasses import dataclass

from lavendertide.errors import Refusal
from lavendertide.ids import CallerKey, IndexName, TicketId
from lavendertide.messages import Operation, Outcome


@dataclass(frozen=True, slots=True)
class ExecutionRequest:
    """A caller's non-idempotent request, with the ticket that lets it run once."""

    key: CallerKey
    ticket: TicketId
    index: IndexName
    operation: Operation
    deadline_ms: int
    body: str


@dataclass(frozen=True, slots=True)
class RefusedExecution:
    """An attempt that was refused and has not run.

    Attributes:
        outcome: Known outcome over all attempts under the ticket. An earlier attempt
            may have run, so it is `unknown` where only the ticket's issuer knows.
    """

    refusal: Refusal
    outcome: Outcome
