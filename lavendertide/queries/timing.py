"""How long the targets of an index usually take, learned from their replies.

Each index has counts of reply times in logarithmic buckets, over two windows that
rotate, so that an estimate forgets what is older than two windows. Memory is constant
for each index.
"""

import math
from dataclasses import dataclass
from typing import Final

from lavendertide.ids import IndexName

SHORTEST_S: Final = 0.000_25
BUCKETS_PER_DOUBLING: Final = 8
BUCKETS: Final = 18 * BUCKETS_PER_DOUBLING
WINDOW_S: Final = 10.0
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

    def add(self, latency_s: float) -> None:
        """Counts one time."""
        doublings = math.log2(max(latency_s, SHORTEST_S) / SHORTEST_S)
        bucket = min(BUCKETS - 1, int(doublings * BUCKETS_PER_DOUBLING))
        self._counts[bucket] += 1
        self._total += 1

    def quantile_s(self, quantile: float, other: "LatencyCounts") -> float:
        """Returns the upper end of the bucket in which a quantile of both lies."""
        wanted = quantile * (self._total + other._total)
        seen = 0
        for bucket, count in enumerate(self._counts):
            seen += count + other._counts[bucket]
            if seen >= wanted:
                break
        return SHORTEST_S * math.exp2((bucket + 1) / BUCKETS_PER_DOUBLING)


@dataclass(frozen=True, slots=True)
class Estimate:
    """What is known of an index's reply times.

    Attributes:
        quickest_s: Nine in ten replies take longer.
        straggler_s: The quantile after which a reply counts as late.
        cap_s: After this long an attempt is given up for another replica.
    """

    quickest_s: float
    straggler_s: float
    cap_s: float


class IndexTiming:
    """The reply times of one index over the last two windows."""

    def __init__(self, now_s: float) -> None:
        self._current = LatencyCounts()
        self._last = LatencyCounts()
        self._rotate_at_s = now_s + WINDOW_S
        self._estimate: Estimate | None = None
        self._refresh_at_s = 0.0

    def observe(self, latency_s: float, now_s: float) -> None:
        """Takes in how long a reply took."""
        self._rotate(now_s)
        self._current.add(latency_s)

    def estimate(self, quantile: float, now_s: float) -> Estimate | None:
        """Returns what is known, none while too few replies were timed.

        Args:
            quantile: After which a reply counts as late.
            now_s: Present time.
        """
        self._rotate(now_s)
        if now_s >= self._refresh_at_s:
            self._refresh_at_s = now_s + REFRESH_S
            self._estimate = self._calculate(quantile)
        return self._estimate

    def _calculate(self, quantile: float) -> Estimate | None:
        current, last = self._current, self._last
        if current.total + last.total < SAMPLES_MIN:
            return None
        slowest_s = current.quantile_s(SLOWEST_QUANTILE, last)
        return Estimate(
            quickest_s=current.quantile_s(QUICKEST_QUANTILE, last),
            straggler_s=current.quantile_s(quantile, last),
            cap_s=max(CAP_FLOOR_S, CAP_FACTOR * slowest_s),
        )

    def _rotate(self, now_s: float) -> None:
        if now_s < self._rotate_at_s:
            return
        is_recent = now_s < self._rotate_at_s + WINDOW_S
        self._last = self._current if is_recent else LatencyCounts()
        self._current = LatencyCounts()
        self._rotate_at_s = now_s + WINDOW_S


class Timings:
    """The reply times of all indexes, as this daemon sees them."""

    def __init__(self) -> None:
        self._by_index: dict[IndexName, IndexTiming] = {}

    def of(self, index: IndexName, now_s: float) -> IndexTiming:
        """Returns the timing of an index that the configuration names."""
        timing = self._by_index.get(index)
        if timing is None:
            timing = self._by_index[index] = IndexTiming(now_s)
        return timing
