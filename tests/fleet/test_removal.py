"""Tests of `lavendertide.fleet.removal`."""

import unittest

from lavendertide.fleet.removal import (
    PublishedHosts,
    max_simultaneous_losses,
    may_suspect,
    select_removals,
)
from lavendertide.fleet.roster import Roster
from tests.fleet.members import member, roster_of

SUSPECTED_S = 10.0


def published(numbers: list[int]) -> PublishedHosts:
    """Returns a published list that names some hosts."""
    hosts = PublishedHosts()
    hosts.replace({member(number).host: "live" for number in numbers})
    return hosts


class RemovalTest(unittest.TestCase):
    """Guards against the removal of members that are only cut off."""

    def suspects(self, count: int, fleet: int = 12) -> Roster:
        roster = roster_of(fleet)
        for number in range(1, count + 1):
            roster.suspect(member(number).daemon, 0.0)
        return roster

    def test_a_suspect_that_is_no_longer_listed_is_removed_in_time(self) -> None:
        roster, hosts = self.suspects(1), published([0, 2, 3])
        self.assertEqual(select_removals(roster, hosts, SUSPECTED_S, 9.9).daemons, ())
        due = select_removals(roster, hosts, SUSPECTED_S, 10.0)
        self.assertEqual(due.daemons, (member(1).daemon,))

    def test_a_suspect_that_is_still_listed_stays(self) -> None:
        due = select_removals(self.suspects(1), published([0, 1]), SUSPECTED_S, 1e6)
        self.assertEqual(due.daemons, ())

    def test_a_list_without_the_own_host_is_not_trusted(self) -> None:
        for hosts in (published([]), published([4, 5])):
            due = select_removals(self.suspects(1), hosts, SUSPECTED_S, 1e6)
            self.assertEqual(due.daemons, ())

    def test_a_member_that_nobody_suspects_is_never_removed(self) -> None:
        due = select_removals(self.suspects(0), published([0]), SUSPECTED_S, 1e6)
        self.assertEqual(due.daemons, ())

    def test_many_that_vanish_together_are_held_back(self) -> None:
        due = select_removals(self.suspects(3), published([0]), SUSPECTED_S, 1e6)
        self.assertEqual(len(due.daemons), 3)
        due = select_removals(self.suspects(4), published([0]), SUSPECTED_S, 1e6)
        self.assertEqual((due.daemons, due.held_back), ((), 4))

    def test_suspicion_stops_at_a_share_of_the_fleet(self) -> None:
        self.assertTrue(may_suspect(self.suspects(2)))
        self.assertFalse(may_suspect(self.suspects(3)))
        self.assertEqual(max_simultaneous_losses(4), 2)
