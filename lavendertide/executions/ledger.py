"""The tickets that this incarnation has minted, and what became of them."""

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
    """How far a ticket has come."""

    MINTED = "minted"
    EXECUTING = "executing"
    DONE = "done"


@dataclass(slots=True)
class LedgerEntry:
    """One ticket of the ledger.

    Attributes:
        plan: The plan whose callers may use it.
        bound_to: Digest of the request that first used it, none before.
        done: Set once the execution under way has ended.
    """

    serial: int
    plan: PlanId
    minted_at_s: float
    state: TicketState = TicketState.MINTED
    bound_to: Fingerprint | None = None
    outcome: Outcome = Outcome.NOT_RUN
    detail: str = ""
    done: Signal | None = None


class Ledger:
    """Executes each of its tickets once at the most.

    Entries are kept for the lifetime of a ticket. A serial that is no longer kept is
    never executed, so memory stays bounded; each plan has its part of it.
    """

    def __init__(self, options: TicketOptions) -> None:
        self._options = options
        self._serials = itertools.count(1)
        self._entries: OrderedDict[int, LedgerEntry] = OrderedDict()
        self._kept_by_plan: Counter[PlanId] = Counter()

    def issue(self, plan: PlanId, now_s: float) -> Result[LedgerEntry, Refusal]:
        """Makes a ticket for the callers of a plan."""
        self._forget_expired(now_s)
        if self._kept_by_plan[plan] >= self._options.kept_per_plan_max:
            return Failure(_plan_full(self._options))
        if len(self._entries) >= self._options.kept_max:
            return Failure(_full(self._options))
        entry = LedgerEntry(next(self._serials), plan, now_s)
        self._entries[entry.serial] = entry
        self._kept_by_plan[plan] += 1
        return Success(entry)

    def find(self, serial: int, now_s: float) -> LedgerEntry | None:
        """Returns a ticket's entry, none once the ticket has expired."""
        self._forget_expired(now_s)
        return self._entries.get(serial)

    def check_plan(self, entry: LedgerEntry, plan: PlanId) -> Result[None, Refusal]:
        """Refuses a caller of another plan than the one that took the ticket."""
        if entry.plan != plan:
            return Failure(_of_another_plan())
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
            return Failure(_of_another_request())
        return Success(None)

    def begin(self, entry: LedgerEntry) -> bool:
        """Marks a ticket as executing; false if it was begun before."""
        if entry.state is not TicketState.MINTED:
            return False
        entry.state = TicketState.EXECUTING
        entry.outcome = Outcome.UNKNOWN
        entry.detail = "the request is being executed"
        entry.done = Signal()
        return True

    def finish(self, entry: LedgerEntry, outcome: Outcome, detail: str) -> None:
        """Notes the outcome; a ticket that has not run can be used again."""
        is_unused = outcome is Outcome.NOT_RUN
        entry.state = TicketState.MINTED if is_unused else TicketState.DONE
        entry.outcome = outcome
        entry.detail = detail
        if entry.done is not None:
            entry.done.set()

    def _forget_expired(self, now_s: float) -> None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if now_s - oldest.minted_at_s < self._options.lifetime_s:
                return
            del self._entries[oldest.serial]
            self._kept_by_plan[oldest.plan] -= 1
            if not self._kept_by_plan[oldest.plan]:
                del self._kept_by_plan[oldest.plan]


def _plan_full(options: TicketOptions) -> Refusal:
    return Refusal(
        RefusalKind.OVER_PLAN_CONCURRENCY,
        f"This host keeps {options.kept_per_plan_max} tickets of the plan already.",
        f"Use the tickets that were taken; each is kept for {options.lifetime_s:g} s.",
        Fault.PLAN,
    )


def _full(options: TicketOptions) -> Refusal:
    return Refusal(
        RefusalKind.OVERLOADED,
        f"This host keeps {options.kept_max} tickets already.",
        "Use another address for the next ticket.",
        Fault.SYSTEM,
    )


def _of_another_plan() -> Refusal:
    return Refusal(
        RefusalKind.TICKET_MISMATCH,
        "The ticket was taken by a caller of another plan.",
        "Take a ticket from /v1/tickets with the key that will use it.",
        Fault.CALLER,
    )


def _of_another_request() -> Refusal:
    return Refusal(
        RefusalKind.TICKET_MISMATCH,
        "The ticket was first used for another index, operation or body.",
        "Take a new ticket for each new request; send a retry unchanged.",
        Fault.CALLER,
    )
