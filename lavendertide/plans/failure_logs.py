"""Failure records of each owner, with the party at fault.

All failures are counted, and the newest are kept in full. The records of one owner
never name another owner. A request whose key belongs to no plan is not recorded.
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
    """How a request failed, in full or in part."""

    REFUSED = "refused"
    GAP = "gap"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class FailureRecord:
    """One failure of a request.

    Attributes:
        at_s: Seconds since the epoch.
        query: Id of the query or ticket, empty if it was refused before it had one.
        reason: Kind of the refusal, reason of the gap or detail of the execution.
        shards: Number of shards concerned, zero if the full request failed.
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
    """Key under which failures of the same kind, reason and fault are counted."""

    kind: FailureKind
    reason: str
    fault: Fault


class FailureLog:
    """Failures of one owner on this daemon."""

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
        """Number of failures since the daemon's start, including discarded ones."""
        return self._recorded

    def entries(self, limit: int) -> list[FailureRecord]:
        """Returns at most the given number of entries, newest first."""
        newest = list(self._entries)[-limit:] if limit > 0 else []
        return newest[::-1]

    def add(self, failure: FailureRecord) -> None:
        """Adds a failure; the oldest entry above `ENTRIES_MAX` is discarded.

        Above `REASONS_MAX` tallies, new reasons are counted as `OTHER_REASON`.
        """
        self._entries.append(failure)
        self._recorded += 1
        tally = Tally(failure.kind, failure.reason, failure.fault)
        if tally not in self._tallies and len(self._tallies) >= REASONS_MAX:
            tally = Tally(failure.kind, OTHER_REASON, failure.fault)
        self._tallies[tally] += 1


class FailureLogs:
    """Failures of all owners on this daemon, of at most `OWNERS_MAX` owners."""

    def __init__(self) -> None:
        self._by_owner: dict[OwnerId, FailureLog] = {}

    @property
    def owners(self) -> list[OwnerId]:
        """Owners with recorded failures, sorted."""
        return sorted(self._by_owner)

    def failure_log_of(self, owner: OwnerId) -> FailureLog | None:
        """Returns the failures of an owner, none if none were recorded."""
        return self._by_owner.get(owner)

    def record(self, owner: OwnerId, failures: Iterable[FailureRecord]) -> None:
        """Records failures of an owner; those of owners above the bound are dropped."""
        for failure in failures:
            failure_log = self._by_owner.get(owner)
            if failure_log is None:
                if len(self._by_owner) >= OWNERS_MAX:
                    return
                failure_log = self._by_owner.setdefault(owner, FailureLog())
            failure_log.add(failure)

    def retain_only(self, owners: set[OwnerId]) -> None:
        """Removes the failures of owners that the configuration no longer names."""
        for owner in set(self._by_owner) - owners:
            del self._by_owner[owner]
