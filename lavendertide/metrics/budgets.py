"""Exports the budgets of owners without counting anything twice."""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping

from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from lavendertide.ids import OwnerId
from lavendertide.metrics.labels import BoundedLabel


class SpentCollector(Collector):
    """Reads what owners have spent when the metrics are asked for.

    Args:
        sources: For each metric's name what each owner has spent.
        owners: The bound on the label.
    """

    def __init__(
        self,
        sources: Mapping[str, Callable[[], dict[OwnerId, int]]],
        owners: BoundedLabel,
    ) -> None:
        self._sources = sources
        self._owners = owners

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Returns one family for each metric."""
        for name, read in self._sources.items():
            spent: Counter[str] = Counter()
            for owner, count in read().items():
                spent[self._owners.value(owner)] += count
            family = CounterMetricFamily(
                name, "Extra attempts, within a budget of the owner.", labels=["owner"]
            )
            for label, count in spent.items():
                family.add_metric([label], count)
            yield family
