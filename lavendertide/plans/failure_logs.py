"""Each owner's own record of failures, and whose fault each was.

The newest entries are kept in full, all are counted. An owner's book never names
another owner; a request whose key belongs to no plan is in no book.
"""

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from lavendertide.errors import Fault
from lavendertide.ids import IndexName, OwnerId, PlanId, QueryId

ENTRIES_MAX: Final = 1_000
OWNERS_MAX: Final = 64
REASONS_MAX: Final = 128
OTHER_REASON: Final = "other"
NO_QUERY: Final = QueryId("")


class FailureKind(Enum):
    """What became of a request that did not end as its caller wished."""

    REFUSED = "refused"
    GAP = "gap"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class FailureRecord:
    """One entry of a book.

    Attributes:
        at_s: Seconds since the epoch.
        query: The query or ticket, empty if it was refused before it had one.
        reason: The refusal's kind, the gap's reason or the execution's detail.
        shards: Shards that it concerns, none for a whole request.
    """

    at_s: float
    query: QueryId
    plan: PlanId
    index: IndexName
    kind: FailureKind
    reason: str
    fault: Fault
    shards: int = 0


@dataclass(frozen=True, slots=True)
class Tally:
    """How often something has failed for the same reason."""

    kind: FailureKind
    reason: str
    fault: Fault


class FailureLog:
    """One owner's failures on this daemon."""

    def __init__(self) -> None:
        self._entries: deque[FailureRecord] = deque(maxlen=ENTRIES_MAX)
        self._tallies: Counter[Tally] = Counter()
        self._recorded = 0

    @property
    def tallies(self) -> dict[Tally, int]:
        """Counts since the daemon's start, by kind, reason and fault."""
        return dict(self._tallies)

    @property
    def recorded(self) -> int:
        """Failures since the daemon's start, those no longer kept included."""
        return self._recorded

    def entries(self, most: int) -> list[FailureRecord]:
        """Returns the newest entries, newest first."""
        newest = list(self._entries)[-most:] if most > 0 else []
        return newest[::-1]

    def add(self, failure: FailureRecord) -> None:
        """Adds a failure and forgets the oldest above the bound."""
        self._entries.append(failure)
        self._recorded += 1
        tally = Tally(failure.kind, failure.reason, failure.fault)
        if tally not in self._tallies and len(self._tallies) >= REASONS_MAX:
            tally = Tally(failure.kind, OTHER_REASON, failure.fault)
        self._tallies[tally] += 1


class FailureLogs:
    """The books of all owners on this daemon."""

    def __init__(self) -> None:
        self._by_owner: dict[OwnerId, FailureLog] = {}

    @property
    def owners(self) -> list[OwnerId]:
        """Owners with a book."""
        return sorted(self._by_owner)

    def failure_log_of(self, owner: OwnerId) -> FailureLog | None:
        """Returns an owner's book if something has failed for it."""
        return self._by_owner.get(owner)

    def record(self, owner: OwnerId, failures: Iterable[FailureRecord]) -> None:
        """Adds failures to an owner's book."""
        for failure in failures:
            book = self._by_owner.get(owner)
            if book is None:
                if len(self._by_owner) >= OWNERS_MAX:
                    return
                book = self._by_owner.setdefault(owner, FailureLog())
            book.add(failure)

    def retain_only(self, owners: set[OwnerId]) -> None:
        """Drops the books of owners that the configuration no longer names."""
        for owner in set(self._by_owner) - owners:
            del self._by_owner[owner]
