"""The moments at which a query has to act without a reply."""

import heapq
import itertools
from dataclasses import dataclass

from lavendertide.ids import AttemptId, ShardNumber


@dataclass(frozen=True, slots=True)
class HedgeDue:
    """An attempt has taken so long that another replica is worth asking."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class AttemptExpired:
    """An attempt has had its time; no reply of it is expected any more."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class RoundDue:
    """The replicas of a shard may be asked once more."""

    shard: ShardNumber


ScheduledEvent = HedgeDue | AttemptExpired | RoundDue


class Schedule:
    """Moments in the order of their time."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, ScheduledEvent]] = []
        self._order = itertools.count()

    @property
    def next_at_s(self) -> float | None:
        """When the next moment comes, none if there is none."""
        return self._heap[0][0] if self._heap else None

    def add(self, at_s: float, event: ScheduledEvent) -> None:
        """Adds a moment."""
        heapq.heappush(self._heap, (at_s, next(self._order), event))

    def pop_due(self, now_s: float) -> ScheduledEvent | None:
        """Returns a moment that has come, none if none has."""
        if self._heap and self._heap[0][0] <= now_s:
            return heapq.heappop(self._heap)[2]
        return None
