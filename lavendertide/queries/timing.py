"""How long the targets of an index usually take, learned from their replies.

Each index has counts of reply times in logarithmic buckets, over two windows that
rotate, so that an estimate forgets what is older than two windows. Two short windows
say besides what the last seconds were like. Memory is constant for each index.
"""

import itertools
import math
import operator
from dataclasses import dataclass
from typing import Final

from lavendertide.ids import IndexName

SHORTEST_S: Final = 0.000_25
BUCKETS_PER_DOUBLING: Final = 8
BUCKETS: Final = 18 * BUCKETS_PER_DOUBLING
WINDOW_S: Final = 10.0
SHORT_WINDOW_S: Final = 1.0
SHORT_SAMPLES_MIN: Final = 100
SAMPLES_MIN: Final = 30
REFRESH_S: Final = 0.25
SLOWEST_QUANTILE: Final = 0.999
QUICKEST_QUANTILE: Final = 0.1
CAP_FACTOR: Final = 2.0
CAP_FLOOR_S: Final = 0.020


class LatencyCounts:
    """Counts of times in buckets that each end about 9 percent above the last."""

    def __init__(self) -> None:
        self._counts = [0] * BUCKETS
        self._total = 0

    @property
    def total(self) -> int:
        """How many times were counted."""
        return self._total

    def add(self, bucket: int) -> None:
        """Counts one time by its bucket."""
        self._counts[bucket] += 1
        self._total += 1

    def joined(self, other: "LatencyCounts") -> "LatencyCounts":
        """Returns the counts of both."""
        both = LatencyCounts()
        both._counts = list(map(operator.add, self._counts, other._counts))
        both._total = self._total + other._total
        return both

    def quantile_s(self, quantile: float) -> float:
        """Returns the upper end of the bucket in which a quantile lies."""
        wanted = quantile * self._total
        seen = enumerate(itertools.accumulate(self._counts))
        bucket = next(bucket for bucket, count in seen if count >= wanted)
        return SHORTEST_S * math.exp2((bucket + 1) / BUCKETS_PER_DOUBLING)


class ShortWindows:
    """Two short windows, which forget a burst of slow replies within seconds.

    A window begins with its first reply, since the quickest replies of a query come
    first and would be alone in a window that ended at once.
    """

    def __init__(self) -> None:
        self._current = LatencyCounts()
        self._last = LatencyCounts()
        self._began_at_s = 0.0

    def add(self, bucket: int, now_s: float) -> None:
        """Counts one time by its bucket."""
        self._rotate(now_s)
        if self._current.total == 0:
            self._began_at_s = now_s
        self._current.add(bucket)

    def quantile_s(self, quantile: float, now_s: float) -> float | None:
        """Returns a quantile of both, none while they have too few replies."""
        self._rotate(now_s)
        both = self._current.joined(self._last)
        if both.total < SHORT_SAMPLES_MIN:
            return None
        return both.quantile_s(quantile)

    def _rotate(self, now_s: float) -> None:
        age_s = now_s - self._began_at_s
        if age_s >= WINDOW_S:
            self._last = LatencyCounts()
            self._current = LatencyCounts()
        elif age_s >= SHORT_WINDOW_S and self._current.total >= SHORT_SAMPLES_MIN:
            self._last = self._current
            self._current = LatencyCounts()


@dataclass(frozen=True, slots=True)
class LatencyEstimate:
    """What is known of an index's reply times.

    Attributes:
        quickest_s: Nine in ten replies take longer.
        straggler_s: The quantile after which a reply counts as late.
        recent_straggler_s: The same of the last seconds, where that is shorter.
        cap_s: After this long an attempt is given up for another replica.
    """

    quickest_s: float
    straggler_s: float
    recent_straggler_s: float
    cap_s: float


class IndexTiming:
    """The reply times of one index over the last two windows."""

    def __init__(self, now_s: float) -> None:
        self._current = LatencyCounts()
        self._last = LatencyCounts()
        self._short = ShortWindows()
        self._rotate_at_s = now_s + WINDOW_S
        self._estimate: LatencyEstimate | None = None
        self._refresh_at_s = 0.0

    @property
    def last_estimate(self) -> LatencyEstimate | None:
        """What the last query was told."""
        return self._estimate

    def observe(self, latency_s: float, now_s: float) -> None:
        """Takes in how long a reply took."""
        self._rotate(now_s)
        bucket = _bucket_of(latency_s)
        self._current.add(bucket)
        self._short.add(bucket, now_s)

    def estimate(self, quantile: float, now_s: float) -> LatencyEstimate | None:
        """Returns what is known, none while too few replies were timed.

        Args:
            quantile: After which a reply counts as late.
            now_s: Present time.
        """
        self._rotate(now_s)
        if now_s >= self._refresh_at_s:
            self._refresh_at_s = now_s + REFRESH_S
            self._estimate = self._calculate(quantile, now_s)
        return self._estimate

    def _calculate(self, quantile: float, now_s: float) -> LatencyEstimate | None:
        both = self._current.joined(self._last)
        if both.total < SAMPLES_MIN:
            return None
        straggler_s = both.quantile_s(quantile)
        recent_s = self._short.quantile_s(quantile, now_s)
        return LatencyEstimate(
            quickest_s=both.quantile_s(QUICKEST_QUANTILE),
            straggler_s=straggler_s,
            recent_straggler_s=min(straggler_s, recent_s or straggler_s),
            cap_s=max(CAP_FLOOR_S, CAP_FACTOR * both.quantile_s(SLOWEST_QUANTILE)),
        )

    def _rotate(self, now_s: float) -> None:
        if now_s < self._rotate_at_s:
            return
        is_recent = now_s < self._rotate_at_s + WINDOW_S
        self._last = self._current if is_recent else LatencyCounts()
        self._current = LatencyCounts()
        self._rotate_at_s = now_s + WINDOW_S


def _bucket_of(latency_s: float) -> int:
    doublings = math.log2(max(latency_s, SHORTEST_S) / SHORTEST_S)
    return min(BUCKETS - 1, int(doublings * BUCKETS_PER_DOUBLING))


class Timings:
    """The reply times of all indexes, as this daemon sees them."""

    def __init__(self) -> None:
        self._by_index: dict[IndexName, IndexTiming] = {}

    @property
    def last_estimates(self) -> dict[IndexName, LatencyEstimate]:
        """What is known of each index, where anything is."""
        estimates = {
            index: timing.last_estimate for index, timing in self._by_index.items()
        }
        return {index: known for index, known in estimates.items() if known is not None}

    def retain_only(self, indexes: frozenset[IndexName]) -> None:
        """Forgets indexes that the configuration does not name any more."""
        for index in [name for name in self._by_index if name not in indexes]:
            del self._by_index[index]

    def timing_of(self, index: IndexName, now_s: float) -> IndexTiming:
        """Returns the timing of an index that the configuration names."""
        timing = self._by_index.get(index)
        if timing is None:
            timing = self._by_index[index] = IndexTiming(now_s)
        return timing
