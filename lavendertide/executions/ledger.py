"""The tickets that this incarnation has minted, and what became of them."""

import itertools
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import Final

from returns.result import Failure, Result, Success

from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.messages import Outcome
from lavendertide.runtime.tasks import Signal

TICKET_LIFETIME_S: Final = 600.0
TICKETS_MAX: Final = 100_000


class TicketState(Enum):
    """How far a ticket has come."""

    MINTED = "minted"
    EXECUTING = "executing"
    DONE = "done"


@dataclass(slots=True)
class Entry:
    """One ticket of the ledger.

    Attributes:
        done: Set once the outcome is known for good.
    """

    serial: int
    minted_at_s: float
    state: TicketState
    outcome: Outcome
    detail: str
    done: Signal


class Ledger:
    """Executes each of its tickets once at the most.

    Entries are kept for the lifetime of a ticket. A serial that is no longer kept is
    refused and never executed, so memory stays bounded.
    """

    def __init__(self) -> None:
        self._serials = itertools.count(1)
        self._entries: OrderedDict[int, Entry] = OrderedDict()

    def mint(self, now_s: float) -> Result[Entry, Refusal]:
        """Makes a ticket."""
        self._forget_expired(now_s)
        if len(self._entries) >= TICKETS_MAX:
            return Failure(_full())
        entry = Entry(
            next(self._serials),
            now_s,
            TicketState.MINTED,
            Outcome.NOT_RUN,
            "",
            Signal(),
        )
        self._entries[entry.serial] = entry
        return Success(entry)

    def find(self, serial: int, now_s: float) -> Result[Entry, Refusal]:
        """Returns a ticket's entry while the ticket is good."""
        self._forget_expired(now_s)
        entry = self._entries.get(serial)
        if entry is None:
            return Failure(_expired())
        return Success(entry)

    def begin(self, entry: Entry) -> bool:
        """Marks a ticket as executing; false if it was begun before."""
        if entry.state is not TicketState.MINTED:
            return False
        entry.state = TicketState.EXECUTING
        entry.outcome = Outcome.UNKNOWN
        return True

    def finish(self, entry: Entry, outcome: Outcome, detail: str) -> None:
        """Notes the outcome; a ticket that has not run can be used again."""
        entry.outcome = outcome
        entry.detail = detail
        if outcome is Outcome.NOT_RUN:
            entry.state = TicketState.MINTED
            waiting, entry.done = entry.done, Signal()
            waiting.set()
            return
        entry.state = TicketState.DONE
        entry.done.set()

    def _forget_expired(self, now_s: float) -> None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if now_s - oldest.minted_at_s < TICKET_LIFETIME_S:
                return
            del self._entries[oldest.serial]


def _full() -> Refusal:
    return Refusal(
        RefusalKind.OVERLOADED,
        f"This host keeps {TICKETS_MAX} tickets already.",
        "Use another address for the next ticket.",
        Fault.SYSTEM,
    )


def _expired() -> Refusal:
    return Refusal(
        RefusalKind.TICKET_EXPIRED,
        f"The ticket is older than {TICKET_LIFETIME_S:g} s.",
        "If it was never sent before, take a new ticket; else ask the index.",
        Fault.CALLER,
    )
