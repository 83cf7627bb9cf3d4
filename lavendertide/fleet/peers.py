"""The links to all peers, one task each."""

from lavendertide.fleet.news import FleetNews
from lavendertide.fleet.peer_link import PeerLink
from lavendertide.fleet.roster import Roster
from lavendertide.ids import Address, AttemptId, DaemonId
from lavendertide.messages import MemberRecord


class Peers:
    """Keeps a link to each peer that the roster or the settings name."""

    def __init__(
        self,
        roster: Roster,
        news: FleetNews,
        seeds: tuple[Address, ...],
        heartbeat_s: float,
    ) -> None:
        self._roster = roster
        self._news = news
        self._seeds = seeds
        self._heartbeat_s = heartbeat_s
        self._lease_partners: frozenset[DaemonId] = frozenset()
        self._links: dict[Address, PeerLink] = {}

    @property
    def links(self) -> list[PeerLink]:
        """All links."""
        return list(self._links.values())

    def link_to(self, member: MemberRecord) -> PeerLink:
        """Returns the link to a member, opened at its first use."""
        return self._open(member.peer_address)

    def keep_beating(self, daemons: set[DaemonId]) -> None:
        """Names the peers whose answered heartbeats this daemon's leases rest on."""
        self._lease_partners = frozenset(daemons)

    def follow_roster(self) -> None:
        """Opens links to new members and closes those to removed ones."""
        wanted = {member.peer_address for member in self._roster.members}
        wanted.update(self._seeds)
        wanted.discard(self._roster.own.peer_address)
        for address in wanted:
            self._open(address)
        for address in set(self._links) - wanted:
            self._links.pop(address).close()

    def cancel(self, attempts: list[AttemptId]) -> None:
        """Passes a cancellation to whichever peers carry the attempts."""
        for link in self._links.values():
            link.cancel(attempts)

    def _open(self, address: Address) -> PeerLink:
        link = self._links.get(address)
        if link is None:
            link = PeerLink(address, self._news, self._heartbeat_s)
            self._links[address] = link
        return link
