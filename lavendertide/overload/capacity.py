"""An adaptive limit on concurrent searches, adjusted by measured queueing delays.

A capacity covers searches that compete for the same resources: an owner's searches of
an index, or the requests of a route. Its signal is the time until half of a search's
shards have replied, compared to that time without load. A slow or lost target delays a
few shards, while overload delays most of them. The delay reveals every kind of
bottleneck: slots, the processors of the holders, or those of this process. If only a
few searches are in flight here, they can't be the cause of the delay, so they aren't
limited.
"""

import math
import random
import statistics
from dataclasses import dataclass, field
from typing import Final

# Share of a search's budget, after the unloaded time is subtracted, that may be spent
# queueing.
QUEUEING_SHARE: Final = 0.25
# Lowest limit. It is below one, so that many hosts together may admit less than one
# search each, and above zero, so that there is always a search to measure.
LIMIT_MIN: Final = 0.5
# Minimum duration and number of searches of a round. With several searches over several
# service times, a single slow search decides nothing.
ROUND_MIN_S: Final = 0.1
ROUND_MIN_SEARCHES: Final = 4
# Time that congestion must last before the limit is cut. Simultaneous pauses of all
# targets, or of this process, last up to about this long.
CONGESTION_MIN_S: Final = 0.25
# Time without refusals after which the limit is removed. Refused callers have retried
# by then, so a short lull isn't taken for the end of the load.
LIMIT_RELEASE_S: Final = 2.0
# Fewer concurrent searches here can't be the cause of their delay (docs/DESIGN.md,
# section 8).
OWN_LOAD_MIN_SEARCHES: Final = 4
# The unloaded time is the shortest time within one to two of these windows, so the
# estimate follows targets that have become slower within two of them.
UNLOADED_WINDOW_S: Final = 30.0
# A budget of fewer unloaded times would be missed even without load.
BUDGET_MIN_UNLOADED: Final = 2.0


@dataclass(frozen=True, slots=True)
class HalfCovered:
    """Half of the shards had replied after `took_s` seconds."""

    took_s: float


@dataclass(frozen=True, slots=True)
class Starved:
    """At least half of the shards replied too late or were full."""


@dataclass(frozen=True, slots=True)
class Inconclusive:
    """The search did not run, or failed for reasons other than load."""


Feedback = HalfCovered | Starved | Inconclusive


class UnloadedTime:
    """Estimates the time without load as the shortest time of the last two windows."""

    def __init__(self, now_s: float) -> None:
        self._current_s = math.inf
        self._last_s = math.inf
        self._rotate_at_s = now_s + UNLOADED_WINDOW_S

    @property
    def shortest_s(self) -> float:
        """The estimate in seconds; infinite before the first search."""
        return min(self._current_s, self._last_s)

    def record(self, took_s: float, now_s: float) -> None:
        """Records the time that half of a search's shards took."""
        if now_s >= self._rotate_at_s:
            self._last_s, self._current_s = self._current_s, math.inf
            self._rotate_at_s = now_s + UNLOADED_WINDOW_S
        self._current_s = min(self._current_s, took_s)


def compute_pressure(
    feedback: Feedback, budget_s: float, unloaded_s: float
) -> float | None:
    """Returns the queueing time divided by the allowed queueing time.

    Args:
        feedback: What a search indicates about the load.
        budget_s: Seconds that the search was allowed to take.
        unloaded_s: Seconds that it takes without load; infinite if that is unknown.

    Returns:
        The pressure; none if the search says nothing about the load.
    """
    is_unloaded_known = math.isfinite(unloaded_s)
    is_too_short = is_unloaded_known and budget_s <= BUDGET_MIN_UNLOADED * unloaded_s
    match feedback:
        case Inconclusive():
            return None
        case HalfCovered() | Starved() if is_too_short:
            # The search would be late even without load.
            return 0.0
        case HalfCovered(took_s):
            allowed_s = QUEUEING_SHARE * (budget_s - unloaded_s)
            return (took_s - unloaded_s) / allowed_s
        case Starved():
            return 1 / QUEUEING_SHARE


@dataclass(slots=True)
class DecisionRound:
    """The searches on which one adjustment of the limit is based.

    Attributes:
        began_at_s: Start of the round.
        most_in_flight: Maximum number of concurrent searches.
        pressures: Queueing time of each search divided by its allowed queueing time.
        refused: Number of refused searches.
    """

    began_at_s: float
    most_in_flight: int
    pressures: list[float] = field(default_factory=list)
    refused: int = 0

    def is_complete(self, now_s: float) -> bool:
        """Returns whether the round has enough searches and has lasted long enough."""
        is_long = now_s - self.began_at_s >= ROUND_MIN_S
        return is_long and len(self.pressures) >= ROUND_MIN_SEARCHES

    @property
    def is_own_load(self) -> bool:
        """Whether enough searches run here to delay each other."""
        return self.refused > 0 or self.most_in_flight >= OWN_LOAD_MIN_SEARCHES


class Capacity:
    """Limits the concurrent searches of one key on this host.

    There is no limit until most searches have queued too long for `CONGESTION_MIN_S`.
    Then the limit is cut in proportion to the pressure. It is raised while searches are
    refused and the admitted ones are fast.
    """

    def __init__(
        self, generator: random.Random, onset_pressure: float, now_s: float
    ) -> None:
        self._random = generator
        self._onset_pressure = onset_pressure
        self._in_flight = 0
        self._limit = math.inf
        # Concurrent searches at the last cut, which the new limit was computed from.
        self._in_flight_at_cut = 0.0
        self._unloaded = UnloadedTime(now_s)
        self._round = DecisionRound(now_s, 0)
        self._counted_from_s = now_s
        self._congested_since_s = math.inf
        self._limited_at_s = now_s

    @property
    def in_flight(self) -> int:
        """Number of searches that run at present."""
        return self._in_flight

    @property
    def limit(self) -> float:
        """Maximum number of concurrent searches; infinite if there is no limit."""
        return self._limit

    def limit_at(self, now_s: float) -> float:
        """Returns the limit that a search meets now; infinite if there is none."""
        is_over = now_s - self._limited_at_s >= LIMIT_RELEASE_S
        return math.inf if is_over else self._limit

    def admitted_share(self, now_s: float) -> float:
        """Returns the probability, from 0 to 1, that a search is admitted now."""
        return min(1.0, max(0.0, self.limit_at(now_s) - self._in_flight))

    def try_acquire(self, now_s: float) -> "Permit | None":
        """Returns a permit for a search; none if the limit is reached."""
        self._limit = self.limit_at(now_s)
        if self._in_flight >= self._rounded_limit():
            self._round.refused += 1
            self._limited_at_s = now_s
            return None
        self._in_flight += 1
        most_in_flight = max(self._round.most_in_flight, self._in_flight)
        self._round.most_in_flight = most_in_flight
        return Permit(self, now_s)

    def release(
        self, acquired_at_s: float, feedback: Feedback, budget_s: float, now_s: float
    ) -> None:
        """Ends a search and adjusts the limit by its feedback.

        Args:
            acquired_at_s: Time at which the search received its permit.
            feedback: What the search indicates about the load.
            budget_s: Seconds that the search was allowed to take.
            now_s: Present time, monotonic.
        """
        self._in_flight -= 1
        match feedback:
            case HalfCovered(took_s):
                self._unloaded.record(took_s, now_s)
        pressure = compute_pressure(feedback, budget_s, self._unloaded.shortest_s)
        is_counted = self._is_draining or acquired_at_s >= self._counted_from_s
        if pressure is not None and is_counted:
            self._round.pressures.append(pressure)
        if self._is_draining:
            if self._in_flight <= self._limit:
                self._end_draining(now_s)
        elif self._round.is_complete(now_s):
            self._adjust_limit(now_s)

    def _rounded_limit(self) -> float:
        """Returns the limit as an integer, rounded up or down at random.

        The probabilities make the average equal to the limit.
        """
        if math.isinf(self._limit):
            return self._limit
        floor = math.floor(self._limit)
        return floor + (self._random.random() < self._limit - floor)

    @property
    def _is_draining(self) -> bool:
        return math.isinf(self._counted_from_s)

    def _start_round(self, now_s: float) -> None:
        self._round = DecisionRound(now_s, self._in_flight)

    def _adjust_limit(self, now_s: float) -> None:
        pressure = statistics.median(self._round.pressures)
        if pressure <= 1.0:
            self._congested_since_s = math.inf
            self._raise_limit(pressure)
        elif math.isinf(self._limit) and pressure < self._onset_pressure:
            self._congested_since_s = math.inf
        elif self._round.is_own_load:
            began_at_s = self._round.began_at_s
            self._congested_since_s = min(self._congested_since_s, began_at_s)
            if now_s - self._congested_since_s >= CONGESTION_MIN_S:
                self._cut_limit(pressure, now_s)
        self._start_round(now_s)

    def _cut_limit(self, pressure: float, now_s: float) -> None:
        self._in_flight_at_cut = min(self._limit, self._round.most_in_flight)
        self._limit = max(LIMIT_MIN, self._in_flight_at_cut / pressure)
        self._limited_at_s = now_s
        # The excess searches delay new ones until they have ended, regardless of the
        # limit. Rounds after that don't count searches that were admitted before it.
        self._counted_from_s = math.inf

    def _end_draining(self, now_s: float) -> None:
        """Cuts the limit further by the pressure on the excess searches.

        The searches that had ended before the cut met a queue that was still growing.
        Those that were in flight at the cut met the full queue.
        """
        pressure = statistics.median(self._round.pressures or [0.0])
        if pressure > 1.0:
            self._limit = min(
                self._limit, max(LIMIT_MIN, self._in_flight_at_cut / pressure)
            )
        self._counted_from_s = now_s
        self._start_round(now_s)

    def _raise_limit(self, pressure: float) -> None:
        """Raises the limit by at most one in the time that one search takes."""
        if self._round.refused:
            turnover = len(self._round.pressures) / self._limit
            self._limit += min(1.0, turnover) * (1.0 - pressure)


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission to run one search; it must be released when the search ends."""

    capacity: Capacity
    acquired_at_s: float

    def release(self, feedback: Feedback, budget_s: float, now_s: float) -> None:
        """Ends the search and adjusts the limit by its feedback.

        Args:
            feedback: What the search indicates about the load.
            budget_s: Seconds that the search was allowed to take.
            now_s: Present time, monotonic.
        """
        self.capacity.release(self.acquired_at_s, feedback, budget_s, now_s)
