"""Tests of `lavendertide.fleet.addresses`."""

import unittest
from collections import Counter

from lavendertide.fleet.addresses import ANSWER_SIZE, AddressBook
from lavendertide.fleet.roster import Roster
from lavendertide.ids import CallerKey, FailureDomain, Region
from lavendertide.messages import MemberState
from tests.fleet.members import DOMAINS, member, roster_of

NORTH = Region("north")


def ask(roster: Roster, key: str, domain: str = DOMAINS[0]) -> tuple[str, ...]:
    """Returns the addresses that a caller is given."""
    book = AddressBook(roster, str, 10.0)
    return book.addresses_for(
        CallerKey(key), NORTH, FailureDomain(domain), 0.0
    ).addresses


class AddressBookTest(unittest.TestCase):
    """Callers are sent to a few near hosts that serve."""

    def test_one_caller_is_given_the_same_few_by_everyone(self) -> None:
        answers = {ask(roster_of(60, own), "key") for own in range(5)}
        self.assertEqual(len(answers), 1)
        self.assertEqual(len(answers.pop()), ANSWER_SIZE)

    def test_hosts_of_the_callers_own_domain_come_first(self) -> None:
        roster = roster_of(60)
        for domain in DOMAINS:
            near = {m.caller_address for m in roster.serving if domain in str(m)}
            self.assertTrue(set(ask(roster, "key", domain)) <= near)

    def test_callers_are_spread_evenly(self) -> None:
        roster = roster_of(60)
        first = Counter(ask(roster, f"key-{n}")[0] for n in range(2_000))
        self.assertEqual(len(first), 20)
        self.assertLess(max(first.values()), 1.5 * 2_000 / 20)

    def test_one_that_goes_moves_only_its_own_callers(self) -> None:
        whole, less = roster_of(60), roster_of(60)
        gone = member(3)
        less.suspect(gone.daemon, 1.0)
        for number in range(200):
            before = ask(whole, f"key-{number}")
            if gone.caller_address not in before:
                self.assertEqual(ask(less, f"key-{number}"), before)

    def test_leaving_suspect_silent_and_hinted_hosts_vanish(self) -> None:
        roster = roster_of(6)
        roster.apply_records((member(1, MemberState.LEAVING),), 1.0)
        roster.suspect(member(2).daemon, 1.0)
        roster.contacts.record_disconnect(member(3).daemon)
        roster.hint_leaving(frozenset({member(4).host}))
        left = {member(0).caller_address, member(5).caller_address}
        self.assertEqual(set(ask(roster, "key")), left)

    def test_all_hosts_agree_on_who_is_named_to_callers_anywhere(self) -> None:
        keys = [CallerKey("shop"), CallerKey("desk")]
        roster = roster_of(60)
        named = AddressBook(roster, str, 10.0).members_listed_for(keys, 0.0)
        addresses = {m.caller_address for m in roster.members if m.daemon in named}
        told = {each for k in keys for d in DOMAINS for each in ask(roster, k, d)}
        self.assertEqual(addresses, told)
        other = AddressBook(roster_of(60, 7), str, 10.0).members_listed_for(keys, 0.0)
        self.assertEqual(other, named)
