"""Estimates the reply times of the targets of each index.

Reply times are counted in logarithmic buckets over two rotating windows, so that
replies older than two windows no longer affect an estimate. Two short windows cover the
last seconds in addition. Memory is constant for each index.
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
REFRESH_INTERVAL_S: Final = 0.25
SLOWEST_QUANTILE: Final = 0.999
QUICKEST_QUANTILE: Final = 0.1
CAP_FACTOR: Final = 2.0
CAP_FLOOR_S: Final = 0.020


class LatencyCounts:
    """Histogram of times; each bucket ends about 9 percent above the previous one."""

    def __init__(self) -> None:
        self._counts = [0] * BUCKETS
        self._total = 0

    @property
    def total(self) -> int:
        """Number of times counted."""
        return self._total

    def add(self, bucket: int) -> None:
        """Counts one time by its bucket."""
        self._counts[bucket] += 1
        self._total += 1

    def merged_with(self, other: "LatencyCounts") -> "LatencyCounts":
        """Returns the sum of both histograms."""
        both = LatencyCounts()
        both._counts = list(map(operator.add, self._counts, other._counts))
        both._total = self._total + other._total
        return both

    def quantile_s(self, quantile: float) -> float:
        """Returns the upper end of the bucket that contains a quantile."""
        wanted = quantile * self._total
        seen = enumerate(itertools.accumulate(self._counts))
        bucket = next(bucket for bucket, count in seen if count >= wanted)
        return SHORTEST_S * math.exp2((bucket + 1) / BUCKETS_PER_DOUBLING)


class ShortWindows:
    """Two short windows, which drop a burst of slow replies within seconds.

    A window begins with its first reply. The quickest replies of a query come first,
    and a window that ended right after them would contain no others.
    """

    def __init__(self) -> None:
        self._current = LatencyCounts()
        self._previous = LatencyCounts()
        self._started_at_s = 0.0

    def add(self, bucket: int, now_s: float) -> None:
        """Counts one time by its bucket."""
        self._rotate(now_s)
        if self._current.total == 0:
            self._started_at_s = now_s
        self._current.add(bucket)

    def quantile_s(self, quantile: float, now_s: float) -> float | None:
        """Returns a quantile of both windows, None while they have too few replies."""
        self._rotate(now_s)
        both = self._current.merged_with(self._previous)
        if both.total < SHORT_SAMPLES_MIN:
            return None
        return both.quantile_s(quantile)

    def _rotate(self, now_s: float) -> None:
        age_s = now_s - self._started_at_s
        if age_s >= WINDOW_S:
            self._previous = LatencyCounts()
            self._current = LatencyCounts()
        elif age_s >= SHORT_WINDOW_S and self._current.total >= SHORT_SAMPLES_MIN:
            self._previous = self._current
            self._current = LatencyCounts()


@dataclass(frozen=True, slots=True)
class LatencyEstimate:
    """Estimated reply times of an index.

    Attributes:
        quickest_s: Nine in ten replies take longer than this.
        straggler_s: A reply counts as late after this time.
        recent_straggler_s: The same over the last seconds, at most `straggler_s`.
        cap_s: An attempt is given up for another replica after this time.
    """

    quickest_s: float
    straggler_s: float
    recent_straggler_s: float
    cap_s: float


class IndexTiming:
    """Reply times of one index over the last two windows."""

    def __init__(self, now_s: float) -> None:
        self._current = LatencyCounts()
        self._previous = LatencyCounts()
        self._short = ShortWindows()
        self._rotate_at_s = now_s + WINDOW_S
        self._estimate: LatencyEstimate | None = None
        self._refresh_at_s = 0.0

    @property
    def last_estimate(self) -> LatencyEstimate | None:
        """The estimate that `estimate` returned last."""
        return self._estimate

    def observe(self, latency_s: float, now_s: float) -> None:
        """Records the latency of a reply."""
        self._rotate(now_s)
        bucket = _bucket_of(latency_s)
        self._current.add(bucket)
        self._short.add(bucket, now_s)

    def estimate(self, quantile: float, now_s: float) -> LatencyEstimate | None:
        """Returns the estimate, None while too few replies were timed.

        The estimate is recomputed at most once in `REFRESH_INTERVAL_S`.

        Args:
            quantile: Quantile of the reply times above which a reply is late.
            now_s: Present time.
        """
        self._rotate(now_s)
        if now_s >= self._refresh_at_s:
            self._refresh_at_s = now_s + REFRESH_INTERVAL_S
            self._estimate = self._calculate(quantile, now_s)
        return self._estimate

    def _calculate(self, quantile: float, now_s: float) -> LatencyEstimate | None:
        both = self._current.merged_with(self._previous)
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
        self._previous = self._current if is_recent else LatencyCounts()
        self._current = LatencyCounts()
        self._rotate_at_s = now_s + WINDOW_S


def _bucket_of(latency_s: float) -> int:
    doublings = math.log2(max(latency_s, SHORTEST_S) / SHORTEST_S)
    return min(BUCKETS - 1, int(doublings * BUCKETS_PER_DOUBLING))


class Timings:
    """Reply times of all indexes, as this daemon observes them."""

    def __init__(self) -> None:
        self._by_index: dict[IndexName, IndexTiming] = {}

    @property
    def last_estimates(self) -> dict[IndexName, LatencyEstimate]:
        """The last estimate of each index that has one."""
        estimates = {
            index: timing.last_estimate for index, timing in self._by_index.items()
        }
        return {index: known for index, known in estimates.items() if known is not None}

    def retain_only(self, indexes: frozenset[IndexName]) -> None:
        """Discards indexes that are no longer in the configuration."""
        for index in [name for name in self._by_index if name not in indexes]:
            del self._by_index[index]

    def timing_of(self, index: IndexName, now_s: float) -> IndexTiming:
        """Returns the timing of a configured index, creating it if needed."""
        timing = self._by_index.get(index)
        if timing is None:
            timing = self._by_index[index] = IndexTiming(now_s)
        return timing
