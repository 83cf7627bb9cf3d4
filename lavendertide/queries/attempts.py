"""The attempts of a query: their targets, which are open, and how many were sent."""

import itertools
from dataclasses import dataclass, field

from lavendertide.ids import AttemptId, QueryId, ShardNumber
from lavendertide.targets.place import TargetPlace


@dataclass(frozen=True, slots=True)
class Attempt:
    """A sub-request sent to one target for one shard.

    Attributes:
        expires_at_s: Time after which its target no longer works on it.
        is_hedge: Whether another attempt for the shard was open when it was sent.
    """

    attempt: AttemptId
    shard: ShardNumber
    place: TargetPlace
    sent_at_s: float
    expires_at_s: float
    is_hedge: bool


@dataclass(slots=True)
class ShardProgress:
    """The progress of one shard over its replicas and rounds.

    Attributes:
        candidates: Replicas of the shard in the order in which they are tried.
        tried: Number of candidates tried in this round.
        rounds: Number of rounds started.
        is_handed_over: Whether no daemon could use a replica's slots in this round,
            because they were being handed over.
        open: Attempts that have not ended.
    """

    candidates: list[TargetPlace]
    tried: int = 0
    rounds: int = 1
    is_handed_over: bool = False
    open: list[AttemptId] = field(default_factory=list)

    @property
    def next_candidate(self) -> TargetPlace | None:
        """The replica to try next, or None once all were tried."""
        return (
            self.candidates[self.tried] if self.tried < len(self.candidates) else None
        )

    def start_round(self, candidates: list[TargetPlace]) -> None:
        """Starts a new round over the given replicas."""
        self.candidates = candidates
        self.tried = 0
        self.rounds += 1
        self.is_handed_over = False


class Attempts:
    """The attempts of one query, over all index versions that it read.

    Attempt ids are unique over the fleet, so a late reply to an earlier attempt is
    never mistaken for a reply to an open one.
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
        """Number of attempts sent."""
        return self._sent

    @property
    def hedges(self) -> int:
        """Number of attempts sent as hedges."""
        return self._hedges

    @property
    def retries(self) -> int:
        """Number of attempts sent after a failed one."""
        return self._retries

    @property
    def restarts(self) -> int:
        """Number of times the query started over with another index version."""
        return self._restarts

    @property
    def open(self) -> list[Attempt]:
        """Attempts that have not ended."""
        return list(self._open.values())

    @property
    def any_open(self) -> bool:
        """Whether any attempt is open."""
        return bool(self._open)

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt without an answer may have run at its target."""
        return self._may_have_run

    def find(self, attempt: AttemptId) -> Attempt | None:
        """Returns an attempt, or None if it is not open."""
        return self._open.get(attempt)

    def next_id(self) -> AttemptId:
        """Returns a new attempt id, unique over the fleet."""
        return AttemptId(f"{self._query}.{next(self._numbers)}")

    def add(self, attempt: Attempt) -> None:
        """Adds an open attempt."""
        self._open[attempt.attempt] = attempt
        self._sent += 1

    def close(self, attempt: AttemptId) -> Attempt | None:
        """Removes an attempt that got a reply; returns None if it was not open."""
        return self._open.pop(attempt, None)

    def abandon(self, attempt: AttemptId) -> Attempt | None:
        """Removes an attempt without a reply; returns None if it was not open."""
        abandoned = self._open.pop(attempt, None)
        self._may_have_run = self._may_have_run or abandoned is not None
        return abandoned

    def record_lost(self) -> None:
        """Records that an attempt was lost and may have run."""
        self._may_have_run = True

    def record_hedge(self) -> None:
        """Counts one hedge."""
        self._hedges += 1

    def record_retry(self) -> None:
        """Counts one retry, which is sent next."""
        self._retries += 1

    def record_restart(self) -> None:
        """Counts one restart with another index version."""
        self._restarts += 1
