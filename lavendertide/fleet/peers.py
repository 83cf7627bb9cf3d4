"""The links to peers, one task each.

A daemon keeps links to the peers that it watches and to those that its leases rest
on. Any other link is opened at its first use and closes when it is idle.
"""

from collections.abc import Iterable
from typing import Final

from lavendertide.fleet.gossip import Gossip
from lavendertide.fleet.overlay import watched_by
from lavendertide.fleet.peer_connection import PeerEdge
from lavendertide.fleet.peer_link import PeerLink
from lavendertide.fleet.roster import Roster
from lavendertide.ids import Address, AttemptId, DaemonId
from lavendertide.messages import Frame, MemberRecord, PlanClaims, PlanGrants

WATCH_BEATS: Final = 4
RETRIES_PER_TICK: Final = 4


class Peers:
    """This daemon's links.

    Args:
        heartbeat_s: Time between two heartbeats to a peer that a lease rests on. The
            others that are watched are sent one every `WATCH_BEATS` of it.
    """

    def __init__(
        self,
        roster: Roster,
        edge: PeerEdge,
        news: Gossip,
        seeds: tuple[Address, ...],
        heartbeat_s: float,
    ) -> None:
        self._roster = roster
        self._edge = edge
        self._news = news
        self._seeds = seeds
        self._heartbeat_s = heartbeat_s
        self._links: dict[Address, PeerLink] = {}
        self._lease_partners: frozenset[DaemonId] = frozenset()
        self._watched: frozenset[DaemonId] = frozenset()
        self._followed = -1

    @property
    def links(self) -> list[PeerLink]:
        """All links."""
        return list(self._links.values())

    @property
    def watched(self) -> frozenset[DaemonId]:
        """The members that this daemon watches as a part of the fleet."""
        return self._watched

    def update_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Names other peers to ask while no member is known."""
        self._seeds = seeds
        self._watch_links()

    def link_to(self, member: MemberRecord) -> PeerLink:
        """Returns the link to a member, opened at its first use."""
        link = self._open(member.peer_address)
        link.lead_to(member.daemon)
        return link

    def request_plan_grants(
        self, member: MemberRecord, claims: PlanClaims, timeout_s: float
    ) -> PlanGrants | None:
        """Claims shares of plans from a member; none if it did not answer in time."""
        return self.link_to(member).request_plan_grants(claims, timeout_s)

    def update_lease_partners(self, daemons: set[DaemonId]) -> None:
        """Names the peers whose answered heartbeats this daemon's leases rest on."""
        partners = frozenset(daemons) - {self._roster.own.daemon}
        if partners == self._lease_partners:
            return
        self._lease_partners = partners
        self._watch_links()

    def follow_roster(self) -> None:
        """Watches whom the roster asks for and drops links to removed members."""
        if self._followed == self._roster.generation:
            return
        self._followed = self._roster.generation
        members = self._roster.members
        self._watched = watched_by(self._roster.own.daemon, members)
        self._watch_links()
        known = {member.peer_address for member in members}
        for address in set(self._links) - known - set(self._seeds):
            self._links.pop(address).close()

    def wake_watched_links(self) -> None:
        """Lets the links to watched members beat faster while there is news."""
        for link in self._links.values():
            if link.is_connected:
                link.wake()

    def broadcast(self, frame: Frame) -> None:
        """Sends a frame to all connected peers."""
        for link in self._links.values():
            if link.is_connected:
                link.send(frame)

    def broadcast_to(self, members: Iterable[MemberRecord], frame: Frame) -> None:
        """Sends a frame to some members; links to them are opened as needed."""
        for member in members:
            if member.daemon != self._roster.own.daemon:
                self.link_to(member).send(frame)

    def broadcast_heartbeat(self) -> None:
        """Sends a heartbeat with the newest news to all connected peers at once."""
        for link in self._links.values():
            if link.is_connected:
                link.poke()

    def retry_broken(self) -> None:
        """Dials some members that could not be reached and are not suspected."""
        broken = sorted(self._roster.contacts.broken)[:RETRIES_PER_TICK]
        for daemon in broken:
            member = self._roster.find(daemon)
            if member is not None and member in self._roster.members:
                self.link_to(member).poke()

    def cancel(self, attempts: list[AttemptId]) -> None:
        """Passes a cancellation to whichever peers carry the attempts."""
        for link in self._links.values():
            link.cancel(attempts)

    def _watch_links(self) -> None:
        intervals = dict.fromkeys(self._watched, WATCH_BEATS * self._heartbeat_s)
        intervals |= dict.fromkeys(self._lease_partners, self._heartbeat_s)
        wanted: dict[Address, float] = {}
        for daemon, interval_s in intervals.items():
            member = self._roster.find(daemon)
            if member is not None and member in self._roster.members:
                self.link_to(member)
                wanted[member.peer_address] = interval_s
        for address in self._unknown_seeds():
            wanted.setdefault(address, WATCH_BEATS * self._heartbeat_s)
            self._open(address)
        for address, link in self._links.items():
            link.watch(wanted.get(address))

    def _unknown_seeds(self) -> list[Address]:
        """Returns the seeds to dial for as long as no other member is known."""
        if len(self._roster.members) > 1:
            return []
        own = self._roster.own.peer_address
        return [seed for seed in self._seeds if seed != own]

    def _open(self, address: Address) -> PeerLink:
        link = self._links.get(address)
        if link is None:
            link = PeerLink(
                address, self._edge, self._roster, self._news, self._heartbeat_s
            )
            self._links[address] = link
        return link
