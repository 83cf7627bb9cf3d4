"""The tickets that this incarnation has issued, and their outcomes."""

import itertools
from collections import Counter, OrderedDict
from dataclasses import dataclass
from enum import Enum

from returns.result import Failure, Result, Success

from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.ids import Fingerprint, PlanId
from lavendertide.messages import Outcome
from lavendertide.options import TicketOptions
from lavendertide.runtime.tasks import Signal


class TicketState(Enum):
    """Progress of a ticket."""

    ISSUED = "minted"
    EXECUTING = "executing"
    DONE = "done"


@dataclass(slots=True)
class LedgerEntry:
    """State of one issued ticket.

    Attributes:
        serial: Number of the ticket, unique within this incarnation.
        plan: The plan whose callers may use it.
        bound_to: Digest of the first request that used it, none before.
        outcome: Known outcome of the request.
        detail: Explains the outcome, or holds the result of the request.
        done: Set once the execution in progress has ended.
    """

    serial: int
    plan: PlanId
    issued_at_s: float
    state: TicketState = TicketState.ISSUED
    bound_to: Fingerprint | None = None
    outcome: Outcome = Outcome.NOT_RUN
    detail: str = ""
    done: Signal | None = None


class Ledger:
    """Guarantees that each issued ticket is executed at most once.

    Entries are kept for the lifetime of a ticket, and a serial without an entry is
    never executed, so memory stays bounded. The number of entries is limited in total
    and for each plan, so that no plan can fill the ledger.
    """

    def __init__(self, options: TicketOptions) -> None:
        self._options = options
        self._serials = itertools.count(1)
        self._entries: OrderedDict[int, LedgerEntry] = OrderedDict()
        self._count_by_plan: Counter[PlanId] = Counter()

    def issue(self, plan: PlanId, now_s: float) -> Result[LedgerEntry, Refusal]:
        """Issues a ticket for the callers of a plan, unless a bound is reached."""
        self._expire_entries(now_s)
        if self._count_by_plan[plan] >= self._options.kept_per_plan_max:
            return Failure(_plan_full(self._options))
        if len(self._entries) >= self._options.kept_max:
            return Failure(_ledger_full(self._options))
        entry = LedgerEntry(next(self._serials), plan, now_s)
        self._entries[entry.serial] = entry
        self._count_by_plan[plan] += 1
        return Success(entry)

    def find(self, serial: int, now_s: float) -> LedgerEntry | None:
        """Returns a ticket's entry, or none if the ticket has expired."""
        self._expire_entries(now_s)
        return self._entries.get(serial)

    def check_plan(self, entry: LedgerEntry, plan: PlanId) -> Result[None, Refusal]:
        """Refuses a caller whose plan is not the one that requested the ticket."""
        if entry.plan != plan:
            return Failure(_plan_mismatch())
        return Success(None)

    def bind(
        self, entry: LedgerEntry, plan: PlanId, request: Fingerprint
    ) -> Result[None, Refusal]:
        """Binds a ticket to the first request that uses it.

        Args:
            entry: The ticket's entry.
            plan: The plan of the caller.
            request: Digest of index, operation and body.
        """
        checked = self.check_plan(entry, plan)
        if isinstance(checked, Failure):
            return checked
        if entry.bound_to is None:
            entry.bound_to = request
        if entry.bound_to != request:
            return Failure(_request_mismatch())
        return Success(None)

    def begin(self, entry: LedgerEntry) -> bool:
        """Marks a ticket as executing; returns false if it is executing or done.

        From here on the outcome is unknown until `finish` records it.
        """
        if entry.state is not TicketState.ISSUED:
            return False
        entry.state = TicketState.EXECUTING
        entry.outcome = Outcome.UNKNOWN
        entry.detail = "the request is being executed"
        entry.done = Signal()
        return True

    def finish(self, entry: LedgerEntry, outcome: Outcome, detail: str) -> None:
        """Records the outcome and wakes waiters; a request not run may be retried."""
        is_unused = outcome is Outcome.NOT_RUN
        entry.state = TicketState.ISSUED if is_unused else TicketState.DONE
        entry.outcome = outcome
        entry.detail = detail
        if entry.done is not None:
            entry.done.set()

    def _expire_entries(self, now_s: float) -> None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if now_s - oldest.issued_at_s < self._options.lifetime_s:
                return
            del self._entries[oldest.serial]
            self._count_by_plan[oldest.plan] -= 1
            if not self._count_by_plan[oldest.plan]:
                del self._count_by_plan[oldest.plan]


def _plan_full(options: TicketOptions) -> Refusal:
    return Refusal(
        RefusalKind.OVER_PLAN_CONCURRENCY,
        f"This host already keeps {options.kept_per_plan_max} tickets of the plan.",
        f"Use the tickets already issued; each is kept for {options.lifetime_s:g} s.",
        Fault.PLAN,
    )


def _ledger_full(options: TicketOptions) -> Refusal:
    return Refusal(
        RefusalKind.OVERLOADED,
        f"This host already keeps {options.kept_max} tickets.",
        "Request the next ticket from another address.",
        Fault.SYSTEM,
    )


def _plan_mismatch() -> Refusal:
    return Refusal(
        RefusalKind.TICKET_MISMATCH,
        "The ticket was issued to a caller of another plan.",
        "Request a ticket from /v1/tickets with the key that will use it.",
        Fault.CALLER,
    )


def _request_mismatch() -> Refusal:
    return Refusal(
        RefusalKind.TICKET_MISMATCH,
        "The ticket was first used for another index, operation or body.",
        "Request a new ticket for each new request; send a retry unchanged.",
        Fault.CALLER,
    )
