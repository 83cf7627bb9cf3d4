"""Tests of `lavendertide.gateway.listed_check`."""

import unittest
from typing import cast

from lavendertide.fleet.addresses import AddressBook
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.readiness import Readiness
from lavendertide.fleet.removal import max_simultaneous_losses
from lavendertide.gateway.host_shares import HostShares
from lavendertide.gateway.listed_check import CONTACTS_PER_CHECK, select_unconfirmed
from lavendertide.ids import CallerKey, DaemonId, FailureDomain, Region
from lavendertide.messages import MemberRecord
from lavendertide.routes.active_routes import ActiveRoutes
from lavendertide.warmup.cold_share import ColdShare
from standins.forwarding_records import route, table
from tests.fleet.members import DOMAINS, member, roster_of
from tests.gateway.test_following import OPTIONS

HOSTS = 33
# Updates of the shares between the suspicions, about 4 s after the hosts have ended,
# and 8 s, with the time for a reply.
CHECKS = 2


class DialledPeers:
    """Links of which those to ended hosts break when they are used."""

    def __init__(self, ended: frozenset[DaemonId]) -> None:
        self.roster = roster_of(HOSTS)
        self._ended = ended
        self._daemon = DaemonId("")

    def link_to(self, record: MemberRecord) -> "DialledPeers":
        """Returns the link to a host."""
        self._daemon = record.daemon
        return self

    def send_heartbeat(self) -> None:
        """Dials the host."""
        if self._daemon in self._ended:
            self.roster.contacts.record_disconnect(self._daemon)
        else:
            self.roster.contacts.record_reply(self._daemon, 5.0)


class LostDomainTest(unittest.TestCase):
    """Guards against addresses of ended hosts when a failure domain is lost."""

    def setUp(self) -> None:
        ended = [m for m in roster_of(HOSTS).members if m.failure_domain == DOMAINS[1]]
        self.ended = frozenset(m.caller_address for m in ended)
        self.peers = DialledPeers(frozenset(m.daemon for m in ended))
        self.roster = self.peers.roster
        for each in ended[: max_simultaneous_losses(HOSTS)]:
            self.roster.suspect(each.daemon, 4.0)
        self.book = AddressBook(self.roster, str, 10.0, 3)

    def named(self) -> set[str]:
        """Returns the addresses for callers of the lost domain."""
        key, domain = CallerKey("shop.example"), FailureDomain(DOMAINS[1])
        listing = self.book.addresses_for(key, Region("north"), domain, 5.0)
        return set(listing.addresses)

    def test_no_ended_host_is_named_after_the_checks(self) -> None:
        self.assertTrue(self.named() & self.ended)
        routes = ActiveRoutes()
        routes.adopt(table(1, route()), "platform", 0.0)
        shares = HostShares(
            OPTIONS,
            self.roster,
            cast(Peers, self.peers),
            self.book,
            routes,
            Readiness(2.0, 0.0),
            ColdShare(self.roster.own.daemon),
            0.0,
        )
        for number in range(CHECKS):
            shares.update(5.0 + number)
        self.assertEqual(len(self.named()), 3)
        self.assertFalse(self.named() & self.ended)


class UndisturbedTest(unittest.TestCase):
    """Guards against links to all hosts of a fleet in which few have ended."""

    def test_nobody_is_contacted_while_suspicions_are_allowed(self) -> None:
        roster = roster_of(HOSTS)
        roster.suspect(member(3).daemon, 1.0)
        self.assertEqual(select_unconfirmed(roster, (), 2.0), [])

    def test_one_check_contacts_a_bounded_number(self) -> None:
        roster = roster_of(510)
        for number in range(1, max_simultaneous_losses(510) + 1):
            roster.suspect(member(number).daemon, 1.0)
        listed = member(400).daemon
        chosen = select_unconfirmed(roster, {listed}, 2.0)
        self.assertEqual(len(chosen), CONTACTS_PER_CHECK)
        self.assertEqual(chosen[0].daemon, listed)
