"""Exchanges with peers which targets are slow or fast at present.

Peers that are not named to callers send few requests, so they get no notices, and no
link is opened for one.
"""

import random

from lavendertide.fleet.addresses import select_with_headroom
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.roster import Roster
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.forwarding.target_view import TargetViews
from lavendertide.messages import CapacityNotices
from lavendertide.overload.capacity_sharing import (
    BYTES_PER_S,
    INTERVAL_S,
    ITEMS_MAX,
    CapacityObservation,
    CapacitySharing,
    record_observation,
)
from lavendertide.registry.registry import TargetRegistry
from lavendertide.runtime import clock, tasks

# Interval between looks at what has changed. The first notice after a quiet time leaves
# this soon, and later ones after `INTERVAL_S`.
LOOK_INTERVAL_S = INTERVAL_S / 5


class CapacityExchange:
    """Sends this host's observations and records those of peers.

    Args:
        is_enabled: Whether this deployment shares observations.
        bytes_per_s: Bytes that may be sent in any second, to all peers together.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        roster: Roster,
        peers: Peers,
        views: TargetViews,
        metrics: ForwardingMetrics,
        is_enabled: bool,
        bytes_per_s: int = BYTES_PER_S,
    ) -> None:
        self._registry = registry
        self._roster = roster
        self._peers = peers
        self._views = views
        self._metrics = metrics
        self._is_enabled = is_enabled
        self._sharing = CapacitySharing(bytes_per_s)

    def run(self) -> None:
        """Sends what is due until the process ends."""
        while True:
            tasks.sleep(LOOK_INTERVAL_S)
            self.send_due(clock.monotonic_s())

    def send_due(self, now_s: float) -> None:
        """Sends what deviates to linked peers that are named to callers."""
        recipients = [
            member
            for member in select_with_headroom(list(self._roster.serving))
            if member.daemon != self._roster.own.daemon
            and self._peers.is_linked(member)
        ]
        items, reached = self._sharing.select(
            self._views.capacities, len(recipients), now_s
        )
        if items:
            self._peers.broadcast_to(
                random.sample(recipients, reached), CapacityNotices(items)
            )
            self._metrics.capacities_shared.inc(len(items))

    def apply_notices(
        self, items: tuple[CapacityObservation, ...], now_s: float
    ) -> None:
        """Records what a peer has observed of registered targets."""
        if not self._is_enabled:
            return
        for item in items[:ITEMS_MAX]:
            if self._registry.is_registered(item.target):
                capacity = self._views.view_of(item.target).capacity
                if record_observation(capacity, item, now_s):
                    self._metrics.capacities_received.inc()
