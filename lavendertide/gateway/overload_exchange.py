"""Exchanges with peers what requests show about the queues of their targets.

Each host sends to the same few peers, so the number of links is bounded in every fleet,
and each host hears of about as many others. Peers that are not named to callers admit
few requests, so they get no notices.
"""

import random
from typing import Final

from lavendertide.fleet.addresses import select_with_headroom
from lavendertide.fleet.overlay import watched_by
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.roster import Roster
from lavendertide.forwarding.capacity import RouteAdmission
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.ids import DaemonId
from lavendertide.messages import MemberRecord, OverloadNotices
from lavendertide.overload.shared_overload import (
    INTERVAL_S,
    ITEMS_MAX,
    OverloadObservation,
    OverloadSharing,
)
from lavendertide.runtime import clock, tasks

# Interval between looks at what was observed. The first notice after a quiet time
# leaves this soon, and later ones after `INTERVAL_S`.
LOOK_INTERVAL_S: Final = INTERVAL_S / 2
# Rings of all hosts, in each of which a host sends to its successor. Four of them are
# those of the heartbeats, so in a fleet of equal hosts half of the links are open.
RINGS: Final = 8


class OverloadExchange:
    """Sends this host's observations and records those of peers.

    Args:
        admission: Observes and uses the delays; its groups are empty where the
            deployment does not admit by priority.
    """

    def __init__(
        self,
        roster: Roster,
        peers: Peers,
        admission: RouteAdmission,
        metrics: ForwardingMetrics,
    ) -> None:
        self._roster = roster
        self._peers = peers
        self._admission = admission
        self._metrics = metrics
        self._sharing = OverloadSharing(random.Random(random.getrandbits(64)))

    def run(self) -> None:
        """Sends what is due until the process ends."""
        while True:
            tasks.sleep(LOOK_INTERVAL_S)
            now_s = clock.monotonic_s()
            self._admission.log_changes(now_s)
            self.send_due(now_s)

    def send_due(self, now_s: float) -> None:
        """Sends own observations to the successors on the rings."""
        if not self._admission.has_delays_to_share(now_s):
            return
        recipients = self.recipients()
        items, reached = self._sharing.select(
            self._admission.shared_overloads(), len(recipients), now_s
        )
        if items:
            chosen = random.sample(recipients, reached)
            self._peers.broadcast_to(chosen, OverloadNotices(items))
            self._metrics.overloads_shared.inc(len(items))

    def apply_notices(
        self, peer: DaemonId, items: tuple[OverloadObservation, ...], now_s: float
    ) -> None:
        """Records what a peer has observed."""
        for item in items[:ITEMS_MAX]:
            if self._admission.record_from_peer(peer, item, now_s):
                self._metrics.overloads_received.inc()

    def recipients(self) -> list[MemberRecord]:
        """Returns the peers that are sent this host's observations."""
        own = self._roster.own.daemon
        named = select_with_headroom(list(self._roster.serving))
        chosen = watched_by(own, named, RINGS)
        return [member for member in named if member.daemon in chosen]
