"""Tests of `lavendertide.fleet.lease_book`."""

import unittest
from unittest import mock

from lavendertide.configuration.catalog import TargetPlace
from lavendertide.fleet.holders import HolderTable
from lavendertide.fleet.lease import LeaseTiming, SlotLease
from lavendertide.fleet.lease_book import LeaseBook
from lavendertide.ids import (
    Address,
    DaemonId,
    FailureDomain,
    IndexName,
    OwnerId,
    Region,
    TargetId,
)
from lavendertide.messages import MemberState
from tests.fleet.members import DOMAINS, member, roster_of

TARGETS = 60
MEMBERS = 30
TIMING = LeaseTiming(lease_s=2.0, attempt_s=1.0, margin_s=0.5)


def place(number: int) -> TargetPlace:
    """Returns a target in one of the failure domains."""
    return TargetPlace(
        target=TargetId(f"target-{number}"),
        owner=OwnerId("owner"),
        index=IndexName("index"),
        address=Address("127.0.0.1:1"),
        region=Region("north"),
        failure_domain=FailureDomain(DOMAINS[number % len(DOMAINS)]),
        slots=2,
        connections=25,
    )


class LeaseBookTest(unittest.TestCase):
    """A daemon spends its ticks on what it holds, not on all targets."""

    def setUp(self) -> None:
        self.roster = roster_of(MEMBERS)
        self.places = [place(number) for number in range(TARGETS)]
        table = HolderTable(self.roster)
        self.book = LeaseBook(self.roster, table, TIMING, True, 0.0)
        self.book.follow(self.places, 0.0)

    def held(self) -> set[TargetId]:
        """Returns the targets that the daemon holds."""
        return {p.target for p in self.places if self.book.holds(p.target)}

    def test_a_tick_looks_at_held_targets_only(self) -> None:
        self.assertGreater(self.book.held, 0)
        self.assertLess(self.book.held, TARGETS / 2)
        with mock.patch.object(SlotLease, "keep", autospec=True) as kept:
            self.book.keep(1.0)
        self.assertEqual(kept.call_count, self.book.held)

    def test_what_it_holds_follows_the_members(self) -> None:
        before = self.held()
        others = [n for n in range(1, MEMBERS) if n % len(DOMAINS) == 0]
        leaving = [member(number, MemberState.LEAVING) for number in others]
        self.roster.learn(leaving, 1.0)
        self.book.follow(self.places, 1.0)
        own_domain = {p.target for p in self.places[:: len(DOMAINS)]}
        self.assertLess(before & own_domain, own_domain)
        self.assertLessEqual(own_domain, self.held())
        self.assertEqual(self.book.held, len(self.held()))

    def test_what_it_no_longer_holds_is_not_claimed(self) -> None:
        claimed_at_s = 1.0 + TIMING.span_s
        self.roster.contacts.note_answer(DaemonId("daemon-1"), 1.0, 1.0)
        self.assertNotEqual(self.book.claims(claimed_at_s), {})
        self.book.follow([], claimed_at_s)
        self.assertEqual(self.book.claims(claimed_at_s), {})
        self.assertEqual((self.book.held, self.book.partners), (0, set()))


if __name__ == "__main__":
    unittest.main()
