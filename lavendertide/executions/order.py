"""A non-idempotent request as a front end has decoded it."""

from dataclasses import dataclass

from lavendertide.ids import CallerKey, IndexName, TicketId
from lavendertide.messages import Operation


@dataclass(frozen=True, slots=True)
class Order:
    """What a caller orders, with the ticket that lets it run once."""

    key: CallerKey
    ticket: TicketId
    index: IndexName
    operation: Operation
    deadline_ms: int
    body: str
