"""The roster, the links to peers and the membership of one gateway."""

from collections.abc import Callable
from typing import Final

from lavendertide.encodings.peer_socket import PeerSocket
from lavendertide.fleet.gossip import Gossip
from lavendertide.fleet.link_faults import LinkFaults
from lavendertide.fleet.membership import Membership
from lavendertide.fleet.peer_connection import PeerConnector
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.readiness import Readiness
from lavendertide.fleet.roster import Roster
from lavendertide.gateway.options import GatewayOptions
from lavendertide.ids import (
    NO_VERSION,
    ConfigurationVersion,
    DaemonId,
    Incarnation,
)
from lavendertide.messages import MemberRecord, MemberState
from lavendertide.routes.active_routes import ActiveRoutes
from lavendertide.routes.replication import RouteReplication
from lavendertide.runtime import clock

# Interval between heartbeats; a silent peer is detected after a few of them.
HEARTBEAT_S: Final = 0.25
# A member that is silent for this long is removed, as no list of hosts is published.
REMOVAL_S: Final = 30.0
MEMBERSHIP_ROUND_S: Final = 0.25


class ServableRoutes:
    """The version of the routes that this host is able to serve.

    A host that knows the routes but no targets would refuse every request, so it must
    not count as serving.

    Args:
        active_routes: The routes in force.
        knows_targets: Returns whether the targets were read.
    """

    def __init__(
        self, active_routes: ActiveRoutes, knows_targets: Callable[[], bool]
    ) -> None:
        self._active_routes = active_routes
        self._knows_targets = knows_targets

    @property
    def version(self) -> ConfigurationVersion:
        """The version in force, or zero while the targets are unknown."""
        return self._active_routes.version if self._knows_targets() else NO_VERSION


class FleetLinks:
    """Wires the roster, the links and the membership of one gateway together.

    Args:
        knows_targets: Returns whether the targets were read.
    """

    def __init__(
        self,
        options: GatewayOptions,
        active_routes: ActiveRoutes,
        knows_targets: Callable[[], bool],
        route_replication: RouteReplication,
        readiness: Readiness,
    ) -> None:
        self._roster = Roster(_own_record(options))
        self._connector = PeerConnector(
            options.fleet_key, self._roster, LinkFaults(), PeerSocket
        )
        self._gossip = Gossip(
            self._roster,
            ServableRoutes(active_routes, knows_targets),
            route_replication,
            lambda: self._peers.wake_watched_links(),
        )
        self._peers = Peers(
            self._roster, self._connector, self._gossip, options.seeds, HEARTBEAT_S
        )
        self._membership = Membership(
            self._roster,
            self._peers,
            self._gossip,
            readiness,
            MEMBERSHIP_ROUND_S,
            REMOVAL_S,
            is_listed=False,
        )

    @property
    def roster(self) -> Roster:
        """All hosts that this one knows."""
        return self._roster

    @property
    def connector(self) -> PeerConnector:
        """Opens connections to peers and proves the fleet's key."""
        return self._connector

    @property
    def gossip(self) -> Gossip:
        """Exchanges members and the versions of routes with peers."""
        return self._gossip

    @property
    def peers(self) -> Peers:
        """The links to peers."""
        return self._peers

    @property
    def membership(self) -> Membership:
        """Notices members that are silent, and the end of this host's own pauses."""
        return self._membership


def _own_record(options: GatewayOptions) -> MemberRecord:
    return MemberRecord(
        daemon=DaemonId(options.host),
        host=options.host,
        region=options.region,
        failure_domain=options.failure_domain,
        peer_address=options.peers,
        caller_address=options.callers,
        incarnation=Incarnation(int(clock.wall_s() * 1_000)),
        state=MemberState.JOINING,
        capacity=round(100 * options.processor_share),
    )
