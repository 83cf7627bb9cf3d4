"""Messages that forward non-idempotent requests to the issuer of their ticket."""

from dataclasses import dataclass
from enum import Enum

from lavendertide.errors import Refusal
from lavendertide.ids import ExchangeId, IndexName, PlanId, TicketId
from lavendertide.messages.queries import Operation


class Outcome(Enum):
    """Whether a request took effect, as far as is known."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class TicketRequest:
    """Non-idempotent request, forwarded to the daemon that issued its ticket.

    Attributes:
        remaining_ms: Time left until the caller's deadline when the request was sent.
        is_status_request: Whether to report only the outcome known so far and run
            nothing.
    """

    exchange: ExchangeId
    ticket: TicketId
    plan: PlanId
    index: IndexName
    operation: Operation
    body: str
    remaining_ms: int
    is_status_request: bool = False


@dataclass(frozen=True, slots=True)
class TicketReply:
    """Outcome of a ticket's execution, as known to the daemon that issued the ticket.

    Attributes:
        refusal: Why this attempt was refused, none if it was not.
    """

    exchange: ExchangeId
    outcome: Outcome
    detail: str
    refusal: Refusal | None = None
