"""Tests of `lavendertide.fleet.lease_book`."""

import itertools
import unittest
from unittest import mock

from lavendertide.fleet.holders import HolderTable
from lavendertide.fleet.lease import LeaseTiming, SlotLease
from lavendertide.fleet.lease_book import LeaseBook
from lavendertide.ids import (
    DaemonId,
    TargetId,
)
from lavendertide.messages import MemberState, SlotClaim, SlotClaims, SlotReleases
from lavendertide.targets.place import TargetPlace
from tests.fleet.members import DOMAINS, member, place, roster_of

TARGETS = 60
MEMBERS = 30
TIMING = LeaseTiming(lease_s=2.0, attempt_s=1.0, margin_s=0.5)


class LeaseBookTest(unittest.TestCase):
    """Guards against ticks whose cost grows with all targets of the region."""

    def setUp(self) -> None:
        self.roster = roster_of(MEMBERS)
        self.places = [place(number) for number in range(TARGETS)]
        table = HolderTable(self.roster)
        self.book = LeaseBook(self.roster, table, TIMING, True, 0.0)
        self.book.update(self.places, 0.0)

    def held(self) -> set[TargetId]:
        """Returns the targets for which the daemon has a role."""
        return {p.target for p in self.places if self.book.holds(p.target)}

    def test_a_tick_checks_only_held_targets(self) -> None:
        self.assertGreater(self.book.held_count, 0)
        self.assertLess(self.book.held_count, TARGETS / 2)
        with mock.patch.object(SlotLease, "detect_gap", autospec=True) as detect_gap:
            self.book.detect_gaps(1.0)
        self.assertEqual(detect_gap.call_count, self.book.held_count)

    def test_held_targets_follow_changes_of_the_members(self) -> None:
        before = self.held()
        others = [n for n in range(1, MEMBERS) if n % len(DOMAINS) == 0]
        leaving = [member(number, MemberState.LEAVING) for number in others]
        self.roster.apply_records(leaving, 1.0)
        self.book.update(self.places, 1.0)
        own_domain = {p.target for p in self.places[:: len(DOMAINS)]}
        self.assertLess(before & own_domain, own_domain)
        self.assertLessEqual(own_domain, self.held())
        self.assertEqual(self.book.held_count, len(self.held()))

    def test_only_a_primary_sends_heartbeats_for_its_leases(self) -> None:
        places = [place(number) for number in range(10 * TARGETS)]
        table = HolderTable(self.roster)
        held = [found for p in places if (found := table.holders_of(p)) is not None]
        own = self.roster.own.daemon
        backups = {
            h.backup.daemon for h in held if h.primary.daemon == own and h.backup
        }
        primaries = {
            h.primary.daemon for h in held if h.backup and h.backup.daemon == own
        }
        self.assertNotEqual(primaries - backups, set())
        self.book.update(places, 0.0)
        self.assertEqual(self.book.partners, backups)

    def test_targets_that_are_no_longer_held_are_not_claimed(self) -> None:
        claimed_at_s = 1.0 + TIMING.release_timeout_s
        self.roster.contacts.record_heartbeat_ack(DaemonId("daemon-1"), 1.0, 1.0)
        self.assertNotEqual(self.book.due_claims(claimed_at_s), {})
        self.book.update([], claimed_at_s)
        self.assertEqual(self.book.due_claims(claimed_at_s), {})
        self.assertEqual((self.book.held_count, self.book.partners), (0, set()))


class ReleaseTest(unittest.TestCase):
    """Guards against a release while others may still run attempts.

    A holder that loses its role after a gap waits with the release until attempts that
    others have started in the gap have ended.
    """

    def test_a_gap_that_ends_with_a_change_of_members_delays_the_release(
        self,
    ) -> None:
        roster = roster_of(2)
        table = HolderTable(roster)
        book = LeaseBook(roster, table, TIMING, True, 0.0)
        target = place(0)
        book.update([target], 0.0)
        partner, claimed_at_s = DaemonId("daemon-1"), TIMING.drain_s
        roster.contacts.record_heartbeat_ack(partner, claimed_at_s, claimed_at_s)
        claimed = book.due_claims(claimed_at_s)[partner]
        book.apply_releases(SlotReleases(partner, claimed.items), claimed_at_s)
        self.assertEqual(book.allowance(target.target, claimed_at_s), target.slots)
        gap_ends_at_s = claimed_at_s + TIMING.lease_s
        book.detect_gaps(gap_ends_at_s - 0.1)
        new_members = (member(number) for number in itertools.count(3, len(DOMAINS)))
        while (primary := _primary(table, target)) == roster.own.daemon:
            roster.apply_records((next(new_members),), gap_ends_at_s)
        book.update([target], gap_ends_at_s)
        claims = SlotClaims(primary, (SlotClaim(target.target, 1),))
        for at_s, released in ((gap_ends_at_s, 0), (gap_ends_at_s + TIMING.drain_s, 1)):
            releases = book.handle_claims(claims, lambda _: 0, at_s)
            self.assertEqual(len(releases.items), released)


def _primary(table: HolderTable, target: TargetPlace) -> DaemonId:
    holders = table.holders_of(target)
    assert holders is not None
    return holders.primary.daemon


if __name__ == "__main__":
    unittest.main()
