"""Exports counters by owner that aggregates already keep.

They are read at each scrape, so that nothing is counted in two places.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from lavendertide.ids import OwnerId
from lavendertide.metrics.labels import BoundedLabel


@dataclass(frozen=True, slots=True)
class OwnerCounts:
    """A counter by owner that an aggregate keeps.

    Attributes:
        name: The metric's name, without the suffix `_total`.
        help_text: The metric's help text.
        read: Returns the count of each owner since the start.
    """

    name: str
    help_text: str
    read: Callable[[], dict[OwnerId, int]]


class OwnerCountsCollector(Collector):
    """Reads counters by owner at each scrape.

    Args:
        sources: The counters to export.
        owners: Bounds the values of the label `owner`.
    """

    def __init__(self, sources: tuple[OwnerCounts, ...], owners: BoundedLabel) -> None:
        self._sources = sources
        self._owners = owners

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Returns one metric family for each source."""
        for source in self._sources:
            counts: Counter[str] = Counter()
            for owner, count in source.read().items():
                counts[self._owners.value(owner)] += count
            family = CounterMetricFamily(
                source.name, source.help_text, labels=["owner"]
            )
            for label, count in counts.items():
                family.add_metric([label], count)
            yield family
