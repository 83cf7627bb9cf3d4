"""Applies the division of a host's descriptors to its fleet and its connections."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Gauge

from lavendertide.fleet.peers import Peers
from lavendertide.fleet.roster import Roster
from lavendertide.forwarding.connection_slots import ConnectionSlots
from lavendertide.overload.descriptor_shares import DescriptorShares


class Descriptors:
    """The bounds on the connections of one host.

    Args:
        files_max: Descriptors that the process may have open; without it only the
            bounds of each target, listener and fleet apply.
        callers_max: Connections that a front serves if files don't matter.
        roster: The hosts of the fleet.
        peers: The links to them.
        registry: Gets the metrics.
    """

    def __init__(
        self,
        files_max: int | None,
        callers_max: int,
        roster: Roster,
        peers: Peers,
        registry: CollectorRegistry,
    ) -> None:
        self._shares = (
            None if files_max is None else DescriptorShares(files_max, callers_max)
        )
        self._roster = roster
        self._peers = peers
        self._slots = ConnectionSlots(self._bound(DescriptorShares.targets_max))
        for name, text, read in (
            (
                "lavendertide_target_connections",
                "Connections to targets that are open or being opened.",
                lambda: len(self._slots),
            ),
            (
                "lavendertide_target_connections_awaited",
                "Sub-requests that wait until one more may be open on this host.",
                lambda: self._slots.waiting,
            ),
        ):
            Gauge(name, text, registry=registry).set_function(read)

    @property
    def callers_max(self) -> int | None:
        """Connections of callers that may be open; unbounded if none."""
        return None if self._shares is None else self._shares.callers_max

    @property
    def slots(self) -> ConnectionSlots:
        """Bounds the connections to all targets together."""
        return self._slots

    @property
    def find_accepted_peers_max(self) -> Callable[[], int] | None:
        """Returns how many connections of peers may be open; unbounded if none."""
        find_max = self._bound(DescriptorShares.peers_max)
        if find_max is None:
            return None
        return lambda: find_max() - self._peers.connections

    def _bound(
        self, bound: Callable[[DescriptorShares, int], int]
    ) -> Callable[[], int] | None:
        shares = self._shares
        if shares is None:
            return None
        return lambda: bound(shares, len(self._roster.members))
