"""Exports the causes of withheld hedges and the delays after which one is due."""

from collections import Counter
from collections.abc import Callable, Iterator

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from lavendertide.ids import IndexName, OwnerId
from lavendertide.metrics import names
from lavendertide.metrics.labels import OTHER, BoundedLabel
from lavendertide.queries.hedging import WithheldCause
from lavendertide.queries.timing import LatencyEstimate


class HedgingCollector(Collector):
    """Reads the hedging state at each scrape.

    Args:
        withheld: Returns each owner's hedges that were due but not sent, by cause.
        estimates: Returns the latency estimate of each index.
        owners: Bounds the values of the label `owner`.
        indexes: Bounds the values of the label `index`; indexes above the bound have no
            series.
    """

    def __init__(
        self,
        withheld: Callable[[], dict[OwnerId, Counter[WithheldCause]]],
        estimates: Callable[[], dict[IndexName, LatencyEstimate]],
        owners: BoundedLabel,
        indexes: BoundedLabel,
    ) -> None:
        self._withheld = withheld
        self._estimates = estimates
        self._owners = owners
        self._indexes = indexes

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        """Returns the counter of withheld hedges and the gauge of hedging delays."""
        yield self._collect_withheld()
        yield self._collect_stragglers()

    def _collect_withheld(self) -> CounterMetricFamily:
        counts: Counter[tuple[str, str]] = Counter()
        for owner, by_cause in self._withheld().items():
            for cause, count in by_cause.items():
                counts[self._owners.value(owner), cause.value] += count
        family = CounterMetricFamily(
            names.HEDGES_WITHHELD,
            "Times that a hedge was due and not sent.",
            labels=["owner", "cause"],
        )
        for labels, count in counts.items():
            family.add_metric(labels, count)
        return family

    def _collect_stragglers(self) -> GaugeMetricFamily:
        family = GaugeMetricFamily(
            names.STRAGGLER_SECONDS,
            "After how long a reply of the index counts as late.",
            labels=["index", "window"],
        )
        for index, estimate in self._estimates().items():
            label = self._indexes.value(index)
            if label != OTHER:
                family.add_metric([label, "long"], estimate.straggler_s)
                family.add_metric([label, "recent"], estimate.recent_straggler_s)
        return family
