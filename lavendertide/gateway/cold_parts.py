"""The parts of one host that handle cold targets: allowances, metrics and exchange."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry

from lavendertide.fleet.peers import Peers
from lavendertide.fleet.roster import Roster
from lavendertide.gateway.cold_exchange import ColdExchange
from lavendertide.ids import DaemonId, ServiceName
from lavendertide.overload.byte_budget import ByteBudget
from lavendertide.registry.registry import TargetRegistry
from lavendertide.routes.route import Service
from lavendertide.runtime import clock
from lavendertide.warmup.allowance import ColdBounds
from lavendertide.warmup.cold_share import ColdShare
from lavendertide.warmup.cold_targets import ColdTargets
from lavendertide.warmup.metrics import ColdMetrics


class ColdParts:
    """Wires what a host knows of cold targets to its share of their allowances.

    Args:
        own: This host.
        service_of: Returns the settings of a service, if there are any.
        bounds: How far the hosts may exceed what a cold target can take.
        metrics: Receives the metrics.
    """

    def __init__(
        self,
        own: DaemonId,
        service_of: Callable[[ServiceName], Service | None],
        bounds: ColdBounds,
        metrics: CollectorRegistry,
    ) -> None:
        self.share = ColdShare(own)
        self.targets = ColdTargets(service_of, self.share.requests_of, bounds)
        self._metrics = ColdMetrics(
            metrics,
            lambda: self.targets.count(clock.monotonic_s()),
            lambda: self.share.takes_part(clock.monotonic_s()),
        )
        self.targets.set_sent_listener(self._metrics.record)

    def make_exchange(
        self,
        registry: TargetRegistry,
        roster: Roster,
        peers: Peers,
        budget: ByteBudget,
    ) -> ColdExchange:
        """Returns the exchange of unused requests with peers."""
        return ColdExchange(
            self.targets, self.share, registry, roster, peers, self._metrics, budget
        )
