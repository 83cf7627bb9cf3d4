"""Prometheus gauges of evacuated failure domains.

Requests that are refused because of an evacuation are counted by the forwarder, under
the outcome `evacuated`.
"""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Gauge

from lavendertide.evacuation.evacuated_domains import EvacuatedDomains
from lavendertide.ids import FailureDomain


class EvacuationMetrics:
    """Gauges that are computed when the metrics are read.

    Args:
        registry: Receives the gauges.
        evacuated: The evacuations that this host knows.
        count_calls: Returns how many calls of this host to the targets of a domain have
            no reply yet.
    """

    def __init__(
        self,
        registry: CollectorRegistry,
        evacuated: EvacuatedDomains,
        count_calls: Callable[[FailureDomain], int],
    ) -> None:
        domains = Gauge(
            "lavendertide_evacuated_domains",
            "Failure domains whose targets get no requests.",
            registry=registry,
        )
        domains.set_function(lambda: len(evacuated.evacuated))
        calls = Gauge(
            "lavendertide_evacuated_calls_in_flight",
            "Calls without a reply to targets of evacuated failure domains.",
            registry=registry,
        )
        calls.set_function(
            lambda: sum(count_calls(each.domain) for each in evacuated.evacuated)
        )
