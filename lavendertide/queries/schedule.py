"""Timed events at which a query acts without a reply."""

import heapq
import itertools
from dataclasses import dataclass

from lavendertide.ids import AttemptId, ShardNumber


@dataclass(frozen=True, slots=True)
class HedgeDue:
    """An attempt is late, so that a hedge may be sent."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class AttemptExpired:
    """An attempt has run out of time; no reply to it is expected any more."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class RoundDue:
    """Another round over the replicas of a shard is due."""

    shard: ShardNumber


ScheduledEvent = HedgeDue | AttemptExpired | RoundDue


class Schedule:
    """Priority queue of events, ordered by time."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, ScheduledEvent]] = []
        self._order = itertools.count()

    @property
    def next_at_s(self) -> float | None:
        """Time of the next event, or None if there is none."""
        return self._heap[0][0] if self._heap else None

    def add(self, at_s: float, event: ScheduledEvent) -> None:
        """Schedules an event."""
        heapq.heappush(self._heap, (at_s, next(self._order), event))

    def pop_due(self, now_s: float) -> ScheduledEvent | None:
        """Removes and returns the earliest event that is due, or None if none is."""
        if self._heap and self._heap[0][0] <= now_s:
            return heapq.heappop(self._heap)[2]
        return None
