"""Exports what aggregates count for each owner, without counting it twice."""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from lavendertide.ids import OwnerId
from lavendertide.metrics.labels import BoundedLabel


@dataclass(frozen=True, slots=True)
class OwnerCounts:
    """A counter by owner that lives in an aggregate.

    Attributes:
        name: The metric's name.
        text: What it counts.
        read: Returns the count of each owner since the start.
    """

    name: str
    text: str
    read: Callable[[], dict[OwnerId, int]]


class OwnerCountsCollector(Collector):
    """Reads the counts when the metrics are asked for.

    Args:
        sources: The counters.
        owners: The bound on the label.
    """

    def __init__(self, sources: tuple[OwnerCounts, ...], owners: BoundedLabel) -> None:
        self._sources = sources
        self._owners = owners

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Returns one family for each metric."""
        for source in self._sources:
            counts: Counter[str] = Counter()
            for owner, count in source.read().items():
                counts[self._owners.value(owner)] += count
            family = CounterMetricFamily(source.name, source.text, labels=["owner"])
            for label, count in counts.items():
                family.add_metric([label], count)
            yield family
