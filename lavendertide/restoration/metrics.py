"""Prometheus metrics of how far a host has read the store's history."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Gauge
from prometheus_client.core import CounterMetricFamily

from lavendertide.restoration.position import Position
from lavendertide.restoration.restorations import Restorations


class RestorationMetrics:
    """Gauges of the position, and the number of restorations.

    Args:
        registry: Receives the metrics.
        restorations: The eras that this host has seen.
        find_position: Returns the position up to which this host has read.
    """

    def __init__(
        self,
        registry: CollectorRegistry,
        restorations: Restorations,
        find_position: Callable[[], Position],
    ) -> None:
        self._restorations = restorations
        era = Gauge(
            "lavendertide_store_position_era",
            "Era of the store's history up to which this host has read.",
            registry=registry,
        )
        era.set_function(lambda: find_position().era)
        revision = Gauge(
            "lavendertide_store_position_revision",
            "Revision within the era up to which this host has read.",
            registry=registry,
        )
        revision.set_function(lambda: find_position().revision)
        registry.register(self)

    def collect(self) -> list[CounterMetricFamily]:
        """Returns the counter of restorations, for the library."""
        counter = CounterMetricFamily(
            "lavendertide_store_restorations",
            "How often the store was restored from a copy since this host started.",
        )
        counter.add_metric([], self._restorations.count)
        return [counter]
