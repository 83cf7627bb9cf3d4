"""Prometheus metrics of cold targets."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge


class ColdMetrics:
    """Gauge and counters of one host's cold targets."""

    def __init__(
        self,
        registry: CollectorRegistry,
        count_targets: Callable[[], int],
        takes_part: Callable[[], bool],
    ) -> None:
        targets = Gauge(
            "lavendertide_cold_targets",
            "Targets that are known to be cold.",
            registry=registry,
        )
        targets.set_function(count_targets)
        part = Gauge(
            "lavendertide_cold_takes_part",
            "Whether this host may send to cold targets with an allowance.",
            registry=registry,
        )
        part.set_function(takes_part)
        self._sent = Counter(
            "lavendertide_cold_sent",
            "Requests sent to cold targets with an allowance.",
            registry=registry,
        )
        self.asked = Counter(
            "lavendertide_cold_asked",
            "Requests to cold targets for which other hosts were asked.",
            registry=registry,
        )
        self.given = Counter(
            "lavendertide_cold_given",
            "Requests to cold targets that were left to other hosts.",
            registry=registry,
        )
        self.received = Counter(
            "lavendertide_cold_received",
            "Requests to cold targets that other hosts have left to this one.",
            registry=registry,
        )
        self._withheld = Counter(
            "lavendertide_cold_withheld",
            "Requests not sent to the chosen cold target, as its allowance was used.",
            registry=registry,
        )

    def record(self, is_sent: bool) -> None:
        """Records a request that was sent to a cold target, or was withheld from it."""
        (self._sent if is_sent else self._withheld).inc()
