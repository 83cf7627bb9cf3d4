"""Bounds how many searches of one use run at a time, by the delay of the ones before.

A use is whatever shares a fate under load: an owner's searches over an index, or the
requests of a route. The bound follows how long the first half of a search's shards
takes above what it takes without load: a slow or lost target delays a few shards, too
much load delays most of them. Whatever is short (slots, the processors of holders or of
this process), the delay shows it. A use with a few searches in flight here is not what
delays them, and is not bounded.
"""

import math
import random
import statistics
from dataclasses import dataclass, field
from typing import Final

# What is left of a budget after the unloaded time; this part of it may be queueing.
QUEUEING_SHARE: Final = 0.25
# Least searches at a time. Below one, so that many hosts together let in less than one
# each; above zero, so that there is always a search to learn from.
LIMIT_MIN: Final = 0.5
# A decision takes a few searches and a few service times, so one slow one decides none.
ROUND_MIN_S: Final = 0.1
ROUND_MIN_SEARCHES: Final = 4
# Pauses of all targets or of this process at once last up to about this long.
CONGESTED_MIN_S: Final = 0.25
# Refused callers have come back by then, so an end of the load is told from a lull.
LIMIT_RELEASE_S: Final = 2.0
# Fewer searches in flight here are not what delays them (docs/DESIGN.md, section 8).
OWN_LOAD_MIN_SEARCHES: Final = 4
# The unloaded time is the shortest of one to two of these; targets that have become
# slower are learned in as long.
UNLOADED_WINDOW_S: Final = 30.0
# A budget below so many unloaded times is missed without load, too.
BUDGET_MIN_UNLOADED: Final = 2.0


@dataclass(frozen=True, slots=True)
class HalfCovered:
    """Half of the shards were covered after a time."""

    took_s: float


@dataclass(frozen=True, slots=True)
class Starved:
    """At least half of the shards had no answer in time or no room."""


@dataclass(frozen=True, slots=True)
class Inconclusive:
    """The search did not run, or failed for reasons that are not load."""


Feedback = HalfCovered | Starved | Inconclusive


class UnloadedTime:
    """The shortest time of the last two windows, which is that without load."""

    def __init__(self, now_s: float) -> None:
        self._current_s = math.inf
        self._last_s = math.inf
        self._rotate_at_s = now_s + UNLOADED_WINDOW_S

    @property
    def shortest_s(self) -> float:
        """The estimate, infinite before any search."""
        return min(self._current_s, self._last_s)

    def record(self, took_s: float, now_s: float) -> None:
        """Takes in one time."""
        if now_s >= self._rotate_at_s:
            self._last_s, self._current_s = self._current_s, math.inf
            self._rotate_at_s = now_s + UNLOADED_WINDOW_S
        self._current_s = min(self._current_s, took_s)


@dataclass(slots=True)
class Round:
    """The searches by which one decision is made.

    Attributes:
        pressures: Queueing of each search over what it may be.
        most_in_flight: Most searches that ran at a time.
        refused: How many searches found no place.
    """

    began_at_s: float
    most_in_flight: int
    pressures: list[float] = field(default_factory=list)
    refused: int = 0

    def is_over(self, now_s: float) -> bool:
        """Returns whether enough is known to decide."""
        is_long = now_s - self.began_at_s >= ROUND_MIN_S
        return is_long and len(self.pressures) >= ROUND_MIN_SEARCHES

    @property
    def is_own_load(self) -> bool:
        """Whether the use is so busy that its searches can delay each other."""
        return self.refused > 0 or self.most_in_flight >= OWN_LOAD_MIN_SEARCHES


class Capacity:
    """How many searches of one use run here at a time.

    There is no limit until most searches have queued too long for a while. Then it is
    cut in proportion, and raised while searches are refused but the others are quick.
    """

    def __init__(
        self, generator: random.Random, onset_pressure: float, now_s: float
    ) -> None:
        self._random = generator
        self._onset_pressure = onset_pressure
        self._in_flight = 0
        self._limit = math.inf
        # Searches in flight at a time that the last cut went by.
        self._used = 0.0
        self._unloaded = UnloadedTime(now_s)
        self._round = Round(now_s, 0)
        self._counts_from_s = now_s
        self._congested_since_s = math.inf
        self._bound_at_s = now_s

    @property
    def in_flight(self) -> int:
        """How many searches run."""
        return self._in_flight

    @property
    def limit(self) -> float:
        """How many may run; infinite if there is no limit."""
        return self._limit

    def try_acquire(self, now_s: float) -> "Permit | None":
        """Lets a search in if there is room for it."""
        if now_s - self._bound_at_s >= LIMIT_RELEASE_S:
            self._limit = math.inf
        if self._in_flight >= self._rounded_limit():
            self._round.refused += 1
            self._bound_at_s = now_s
            return None
        self._in_flight += 1
        most = max(self._round.most_in_flight, self._in_flight)
        self._round.most_in_flight = most
        return Permit(self, now_s)

    def release(
        self, acquired_at_s: float, feedback: Feedback, budget_s: float, now_s: float
    ) -> None:
        """Learns from a search that has ended.

        Args:
            acquired_at_s: When it was let in.
            feedback: What it says about the load.
            budget_s: How long it was allowed to take.
            now_s: Present time.
        """
        self._in_flight -= 1
        match feedback:
            case HalfCovered(took_s):
                self._unloaded.record(took_s, now_s)
        pressure = self._pressure(feedback, budget_s)
        is_counted = self._is_draining or acquired_at_s >= self._counts_from_s
        if pressure is not None and is_counted:
            self._round.pressures.append(pressure)
        if self._is_draining:
            if self._in_flight <= self._limit:
                self._end_draining(now_s)
        elif self._round.is_over(now_s):
            self._decide(now_s)

    def _rounded_limit(self) -> float:
        """Returns the limit in whole searches, rounded up as often as it should be."""
        if math.isinf(self._limit):
            return self._limit
        whole = math.floor(self._limit)
        return whole + (self._random.random() < self._limit - whole)

    @property
    def _is_draining(self) -> bool:
        return math.isinf(self._counts_from_s)

    def _begin_round(self, now_s: float) -> None:
        self._round = Round(now_s, self._in_flight)

    def _pressure(self, feedback: Feedback, budget_s: float) -> float | None:
        unloaded_s = self._unloaded.shortest_s
        is_known = math.isfinite(unloaded_s)
        is_too_short = is_known and budget_s <= BUDGET_MIN_UNLOADED * unloaded_s
        match feedback:
            case Inconclusive():
                return None
            case HalfCovered() | Starved() if is_too_short:
                # It would be late without load, too.
                return 0.0
            case HalfCovered(took_s):
                allowed_s = QUEUEING_SHARE * (budget_s - unloaded_s)
                return (took_s - unloaded_s) / allowed_s
            case Starved():
                return 1 / QUEUEING_SHARE

    def _decide(self, now_s: float) -> None:
        pressure = statistics.median(self._round.pressures)
        if pressure <= 1.0:
            self._congested_since_s = math.inf
            self._raise(pressure)
        elif math.isinf(self._limit) and pressure < self._onset_pressure:
            self._congested_since_s = math.inf
        elif self._round.is_own_load:
            began_at_s = self._round.began_at_s
            self._congested_since_s = min(self._congested_since_s, began_at_s)
            if now_s - self._congested_since_s >= CONGESTED_MIN_S:
                self._cut(pressure, now_s)
        self._begin_round(now_s)

    def _cut(self, pressure: float, now_s: float) -> None:
        self._used = min(self._limit, self._round.most_in_flight)
        self._limit = max(LIMIT_MIN, self._used / pressure)
        self._bound_at_s = now_s
        # Until the excess has left it delays the others, whatever the limit is now.
        self._counts_from_s = math.inf

    def _end_draining(self, now_s: float) -> None:
        """Cuts further by what the excess itself has met.

        The searches that had ended before the cut met a queue that was still growing.
        The ones that were in flight at the cut met the whole of it.
        """
        pressure = statistics.median(self._round.pressures or [0.0])
        if pressure > 1.0:
            self._limit = min(self._limit, max(LIMIT_MIN, self._used / pressure))
        self._counts_from_s = now_s
        self._begin_round(now_s)

    def _raise(self, pressure: float) -> None:
        """Raises the limit by one at most in the time that the searches here take."""
        if self._round.refused:
            turnover = len(self._round.pressures) / self._limit
            self._limit += min(1.0, turnover) * (1.0 - pressure)


@dataclass(frozen=True, slots=True)
class Permit:
    """A search that was let in; it has to be given back."""

    capacity: Capacity
    acquired_at_s: float

    def release(self, feedback: Feedback, budget_s: float, now_s: float) -> None:
        """Ends the search and learns from it.

        Args:
            feedback: What the search says about the load.
            budget_s: How long it was allowed to take.
            now_s: Present time.
        """
        self.capacity.release(self.acquired_at_s, feedback, budget_s, now_s)
