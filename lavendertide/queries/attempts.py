"""Which shard was asked of which target, and which attempts are still open."""

import itertools
from dataclasses import dataclass, field

from lavendertide.ids import AttemptId, QueryId, ShardNumber
from lavendertide.targets.place import TargetPlace


@dataclass(frozen=True, slots=True)
class Attempt:
    """One sub-request that was sent.

    Attributes:
        gives_up_at_s: When its target gives it up.
        is_hedge: Whether another attempt at the shard was open when it was sent.
    """

    attempt: AttemptId
    shard: ShardNumber
    place: TargetPlace
    sent_at_s: float
    expires_at_s: float
    is_hedge: bool


@dataclass(slots=True)
class ShardProgress:
    """How far the asking for one shard has come.

    Attributes:
        places: Its replicas in the order of asking.
        asked: How many of them were asked in this round.
        rounds: How many rounds were begun.
        is_handed_over: Whether no daemon could use a replica's slots in this round.
    """

    candidates: list[TargetPlace]
    tried: int = 0
    rounds: int = 1
    is_handed_over: bool = False
    open: list[AttemptId] = field(default_factory=list)

    @property
    def next_candidate(self) -> TargetPlace | None:
        """The replica to ask next, none once all were asked."""
        return (
            self.candidates[self.tried] if self.tried < len(self.candidates) else None
        )

    def start_round(self, candidates: list[TargetPlace]) -> None:
        """Lets the replicas be asked once more."""
        self.candidates = candidates
        self.tried = 0
        self.rounds += 1
        self.is_handed_over = False


class Attempts:
    """The attempts of one query, over all versions that it had to read.

    Attempt ids are unique over the fleet, so a late reply to an earlier attempt is
    never taken for a reply to an open one.
    """

    def __init__(self, query: QueryId) -> None:
        self._query = query
        self._numbers = itertools.count(1)
        self._open: dict[AttemptId, Attempt] = {}
        self._sent = 0
        self._hedges = 0
        self._retries = 0
        self._restarts = 0
        self._may_have_run = False

    @property
    def sent(self) -> int:
        """How many were sent."""
        return self._sent

    @property
    def hedges(self) -> int:
        """How many of them were hedges."""
        return self._hedges

    @property
    def retries(self) -> int:
        """How many of them followed a failed one."""
        return self._retries

    @property
    def restarts(self) -> int:
        """How often the query had to start again with another version."""
        return self._restarts

    @property
    def open(self) -> list[Attempt]:
        """Those without a reply."""
        return list(self._open.values())

    @property
    def any_open(self) -> bool:
        """Whether a reply can still come."""
        return bool(self._open)

    @property
    def may_have_run(self) -> bool:
        """Whether one that was not answered may have run all the same."""
        return self._may_have_run

    def find(self, attempt: AttemptId) -> Attempt | None:
        """Returns an open attempt; none if it is not open."""
        return self._open.get(attempt)

    def next_id(self) -> AttemptId:
        """Returns an id that no other attempt has."""
        return AttemptId(f"{self._query}.{next(self._numbers)}")

    def add(self, attempt: Attempt) -> None:
        """Notes an attempt that is being sent."""
        self._open[attempt.attempt] = attempt
        self._sent += 1

    def close(self, attempt: AttemptId) -> Attempt | None:
        """Ends an attempt that was replied to; none if it was not open."""
        return self._open.pop(attempt, None)

    def abandon(self, attempt: AttemptId) -> Attempt | None:
        """Ends an attempt without a reply; none if it was not open."""
        abandoned = self._open.pop(attempt, None)
        self._may_have_run = self._may_have_run or abandoned is not None
        return abandoned

    def record_lost(self) -> None:
        """Remembers that an attempt was lost and may have run."""
        self._may_have_run = True

    def record_hedge(self) -> None:
        """Counts the attempt that is sent next as a hedge."""
        self._hedges += 1

    def record_retry(self) -> None:
        """Counts the attempt that is sent next as a retry."""
        self._retries += 1

    def record_restart(self) -> None:
        """Counts one more start with another version."""
        self._restarts += 1
