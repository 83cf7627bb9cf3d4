"""Manages the links to peers, each of which has a task of its own.

A daemon keeps links open to the peers that it watches and to those that its leases
depend on. Any other link is opened at its first use and closes when it is idle.
"""

from collections.abc import Iterable
from typing import Final

from lavendertide.fleet.gossip import Gossip
from lavendertide.fleet.overlay import watched_by
from lavendertide.fleet.peer_connection import PeerConnector
from lavendertide.fleet.peer_link import PeerLink
from lavendertide.fleet.roster import Roster
from lavendertide.ids import Address, AttemptId, DaemonId
from lavendertide.messages import Frame, MemberRecord, PlanClaims, PlanGrants

WATCH_INTERVAL_HEARTBEATS: Final = 4
# Members with a broken connection that are dialled in one round.
RETRIES_PER_TICK: Final = 4


class Peers:
    """Holds this daemon's links by the address of the peer.

    Args:
        roster: The members of the fleet.
        connector: Opens the connections of the links.
        gossip: Builds heartbeats and handles control frames.
        seeds: Addresses to dial while no other member is known.
        heartbeat_s: Interval of heartbeats to peers that a lease depends on. For other
            watched peers it is multiplied by `WATCH_INTERVAL_HEARTBEATS`.
    """

    def __init__(
        self,
        roster: Roster,
        connector: PeerConnector,
        gossip: Gossip,
        seeds: tuple[Address, ...],
        heartbeat_s: float,
    ) -> None:
        self._roster = roster
        self._connector = connector
        self._gossip = gossip
        self._seeds = seeds
        self._heartbeat_s = heartbeat_s
        self._links: dict[Address, PeerLink] = {}
        self._lease_partners: frozenset[DaemonId] = frozenset()
        self._watched: frozenset[DaemonId] = frozenset()
        self._followed_generation = -1

    @property
    def links(self) -> list[PeerLink]:
        """All links, whether connected or not."""
        return list(self._links.values())

    @property
    def connections(self) -> int:
        """Number of connections that this daemon has dialled."""
        return sum(link.has_connection for link in self._links.values())

    @property
    def watched(self) -> frozenset[DaemonId]:
        """The members that this daemon watches as its part of failure detection."""
        return self._watched

    def update_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replaces the addresses to dial while no other member is known."""
        self._seeds = seeds
        self._update_watched_links()

    def link_to(self, member: MemberRecord) -> PeerLink:
        """Returns the link to a member; it dials at its first use."""
        link = self._link_at(member.peer_address)
        link.set_expected_daemon(member.daemon)
        return link

    def is_linked(self, member: MemberRecord) -> bool:
        """Returns whether there is a connected link to a member."""
        link = self._links.get(member.peer_address)
        return link is not None and link.is_connected

    def request_plan_grants(
        self, member: MemberRecord, claims: PlanClaims, timeout_s: float
    ) -> PlanGrants | None:
        """Claims shares of plans from a member; none without a reply in time."""
        return self.link_to(member).request_plan_grants(claims, timeout_s)

    def update_lease_partners(self, daemons: set[DaemonId]) -> None:
        """Sets the peers whose acknowledged heartbeats this daemon's leases need."""
        partners = frozenset(daemons) - {self._roster.own.daemon}
        if partners == self._lease_partners:
            return
        self._lease_partners = partners
        self._update_watched_links()

    def follow_roster(self) -> None:
        """Opens and closes links after a change of the roster."""
        if self._followed_generation == self._roster.generation:
            return
        self._followed_generation = self._roster.generation
        members = self._roster.members
        self._watched = watched_by(self._roster.own.daemon, members)
        self._update_watched_links()
        known = {member.peer_address for member in members}
        for address in set(self._links) - known - set(self._seeds):
            self._links.pop(address).close()

    def wake_watched_links(self) -> None:
        """Wakes the watched links, so that pending gossip shortens their interval."""
        for link in self._links.values():
            if link.is_connected:
                link.wake()

    def broadcast(self, frame: Frame) -> None:
        """Sends a frame to all connected peers."""
        for link in self._links.values():
            if link.is_connected:
                link.send(frame)

    def broadcast_to(self, members: Iterable[MemberRecord], frame: Frame) -> None:
        """Sends a frame to some members, opening links to them as needed."""
        for member in members:
            if member.daemon != self._roster.own.daemon:
                self.link_to(member).send(frame)

    def broadcast_heartbeat(self) -> None:
        """Sends a heartbeat with pending gossip to all connected peers at once."""
        for link in self._links.values():
            if link.is_connected:
                link.send_heartbeat()

    def retry_broken(self) -> None:
        """Dials some present members whose connection broke or could not be opened.

        At most `RETRIES_PER_TICK` of them are dialled in one call.
        """
        broken = sorted(self._roster.contacts.broken)[:RETRIES_PER_TICK]
        for daemon in broken:
            member = self._roster.find(daemon)
            if member is not None and member in self._roster.members:
                self.link_to(member).send_heartbeat()

    def cancel(self, attempts: list[AttemptId]) -> None:
        """Cancels attempts at the peers that execute them."""
        for link in self._links.values():
            link.cancel(attempts)

    def _update_watched_links(self) -> None:
        intervals = dict.fromkeys(
            self._watched, WATCH_INTERVAL_HEARTBEATS * self._heartbeat_s
        )
        intervals |= dict.fromkeys(self._lease_partners, self._heartbeat_s)
        wanted: dict[Address, float] = {}
        for daemon, interval_s in intervals.items():
            member = self._roster.find(daemon)
            if member is not None and member in self._roster.members:
                self.link_to(member)
                wanted[member.peer_address] = interval_s
        for address in self._unknown_seeds():
            wanted.setdefault(address, WATCH_INTERVAL_HEARTBEATS * self._heartbeat_s)
            self._link_at(address)
        for address, link in self._links.items():
            link.set_heartbeat_interval(wanted.get(address))

    def _unknown_seeds(self) -> list[Address]:
        """Returns the seeds to dial, none once another member is known."""
        if len(self._roster.members) > 1:
            return []
        own = self._roster.own.peer_address
        return [seed for seed in self._seeds if seed != own]

    def _link_at(self, address: Address) -> PeerLink:
        link = self._links.get(address)
        if link is None:
            link = PeerLink(
                address, self._connector, self._roster, self._gossip, self._heartbeat_s
            )
            self._links[address] = link
        return link
