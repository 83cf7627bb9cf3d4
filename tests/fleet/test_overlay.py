"""Tests of `lavendertide.fleet.overlay`."""

import unittest

from lavendertide.fleet.overlay import RINGS, watched_by
from tests.fleet.members import member


class OverlayTest(unittest.TestCase):
    """Each member is watched by a few others, and gossip needs few hops."""

    def test_in_a_small_fleet_each_member_watches_all_others(self) -> None:
        members = [member(number) for number in range(9)]
        watched = watched_by(members[0].daemon, members)
        self.assertEqual(watched, {m.daemon for m in members[1:]})

    def test_each_member_is_watched_by_at_most_one_other_per_ring(self) -> None:
        members = [member(number) for number in range(200)]
        watching = {m.daemon: watched_by(m.daemon, members) for m in members}
        for each in members:
            self.assertLessEqual(len(watching[each.daemon]), RINGS)
            watchers = sum(each.daemon in watched for watched in watching.values())
            self.assertTrue(1 <= watchers <= RINGS)

    def test_gossip_reaches_all_members_within_a_few_hops(self) -> None:
        members = [member(number) for number in range(200)]
        watching = {m.daemon: watched_by(m.daemon, members) for m in members}
        reached = {members[0].daemon}
        hops = 0
        while len(reached) < len(members):
            successors = {other for daemon in reached for other in watching[daemon]}
            watchers_of_reached = {
                d for d, watched in watching.items() if watched & reached
            }
            reached |= successors | watchers_of_reached
            hops += 1
        self.assertLessEqual(hops, 6)

    def test_a_removed_member_affects_only_its_watchers(self) -> None:
        members = [member(number) for number in range(200)]
        removed = members[7].daemon
        rest = [m for m in members if m.daemon != removed]
        for each in rest:
            before = watched_by(each.daemon, members)
            if removed not in before:
                self.assertEqual(watched_by(each.daemon, rest), before)
