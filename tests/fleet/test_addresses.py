"""Tests of `lavendertide.fleet.addresses`."""

import unittest
from collections import Counter

from lavendertide.fleet.addresses import ADDRESSES_PER_LIST, AddressBook
from lavendertide.fleet.roster import Roster
from lavendertide.ids import CallerKey, FailureDomain, Region
from lavendertide.messages import MemberState
from tests.fleet.members import DOMAINS, member, roster_of

NORTH = Region("north")


def addresses_of(roster: Roster, key: str, domain: str = DOMAINS[0]) -> tuple[str, ...]:
    """Returns the addresses that are listed for a caller."""
    book = AddressBook(roster, str, 10.0)
    return book.addresses_for(
        CallerKey(key), NORTH, FailureDomain(domain), 0.0
    ).addresses


class AddressBookTest(unittest.TestCase):
    """Callers get the addresses of a few nearby hosts that serve."""

    def test_all_hosts_list_the_same_addresses_for_a_caller(self) -> None:
        lists = {addresses_of(roster_of(60, own), "key") for own in range(5)}
        self.assertEqual(len(lists), 1)
        self.assertEqual(len(lists.pop()), ADDRESSES_PER_LIST)

    def test_hosts_of_the_callers_own_domain_come_first(self) -> None:
        roster = roster_of(60)
        for domain in DOMAINS:
            near = {m.caller_address for m in roster.serving if domain in str(m)}
            self.assertTrue(set(addresses_of(roster, "key", domain)) <= near)

    def test_callers_are_distributed_evenly(self) -> None:
        roster = roster_of(60)
        first = Counter(addresses_of(roster, f"key-{n}")[0] for n in range(2_000))
        self.assertEqual(len(first), 20)
        self.assertLess(max(first.values()), 1.5 * 2_000 / 20)

    def test_a_removed_host_affects_only_its_own_callers(self) -> None:
        full_roster, smaller_roster = roster_of(60), roster_of(60)
        removed = member(3)
        smaller_roster.suspect(removed.daemon, 1.0)
        for number in range(200):
            before = addresses_of(full_roster, f"key-{number}")
            if removed.caller_address not in before:
                self.assertEqual(addresses_of(smaller_roster, f"key-{number}"), before)

    def test_leaving_suspect_and_silent_hosts_are_not_listed(self) -> None:
        roster = roster_of(6)
        roster.apply_records((member(1, MemberState.LEAVING),), 1.0)
        roster.suspect(member(2).daemon, 1.0)
        roster.contacts.record_disconnect(member(3).daemon)
        roster.record_leaving_hosts(frozenset({member(4).host}))
        remaining = {member(0).caller_address, member(5).caller_address}
        self.assertEqual(set(addresses_of(roster, "key")), remaining)

    def test_all_hosts_agree_on_which_members_are_listed_at_any_location(self) -> None:
        keys = [CallerKey("shop"), CallerKey("desk")]
        roster = roster_of(60)
        listed_members = AddressBook(roster, str, 10.0).members_listed_for(keys, 0.0)
        addresses = {
            m.caller_address for m in roster.members if m.daemon in listed_members
        }
        listed = {
            each for k in keys for d in DOMAINS for each in addresses_of(roster, k, d)
        }
        self.assertEqual(addresses, listed)
        other = AddressBook(roster_of(60, 7), str, 10.0).members_listed_for(keys, 0.0)
        self.assertEqual(other, listed_members)
