"""Non-idempotent requests on their way to the host that minted their ticket."""

from dataclasses import dataclass
from enum import Enum

from lavendertide.errors import Refusal
from lavendertide.ids import ExchangeId, IndexName, PlanId, TicketId
from lavendertide.messages.queries import Operation


class Outcome(Enum):
    """What is known about a request's effect."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class TicketRequest:
    """A non-idempotent request on its way to the daemon that minted its ticket.

    Attributes:
        is_status_request: Whether it only asks what is known and runs nothing.
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
    """What the minting daemon knows of a ticket's execution.

    Attributes:
        refusal: Why this try was refused, none if it was not.
    """

    exchange: ExchangeId
    outcome: Outcome
    detail: str
    refusal: Refusal | None = None
