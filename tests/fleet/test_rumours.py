"""Tests of `lavendertide.fleet.rumours`."""

import unittest

from lavendertide.fleet.overlay import watched_by
from lavendertide.fleet.roster import Roster
from lavendertide.fleet.rumours import PER_FRAME_MAX, Rumours, idle_frames_max
from lavendertide.ids import DaemonId
from lavendertide.messages import MemberState
from tests.fleet.members import roster_of

A, B, C = DaemonId("a"), DaemonId("b"), DaemonId("c")
FLEET = 60


class RumoursTest(unittest.TestCase):
    """A change goes once to each peer."""

    def setUp(self) -> None:
        self.rumours = Rumours()

    def test_a_peer_is_told_once(self) -> None:
        self.rumours.add(A)
        self.assertEqual(self.rumours.next_frame(B, FLEET), [A])
        self.assertEqual(self.rumours.next_frame(B, FLEET), [])
        self.assertEqual(self.rumours.next_frame(C, FLEET), [A])

    def test_a_newer_change_is_told_again(self) -> None:
        self.rumours.add(A)
        self.rumours.next_frame(B, FLEET)
        self.rumours.add(A)
        self.assertEqual(self.rumours.next_frame(B, FLEET), [A])

    def test_what_does_not_fit_comes_in_the_next_frame(self) -> None:
        names = {DaemonId(f"m{n}") for n in range(PER_FRAME_MAX + 3)}
        for name in names:
            self.rumours.add(name)
        first = self.rumours.next_frame(B, FLEET)
        second = self.rumours.next_frame(B, FLEET)
        self.assertEqual(len(first), PER_FRAME_MAX)
        self.assertEqual(set(first) | set(second), names)
        self.assertEqual(self.rumours.next_frame(B, FLEET), [])

    def test_it_counts_as_told_after_some_frames(self) -> None:
        self.rumours.add(A)
        for _ in range(1 + idle_frames_max(FLEET)):
            self.assertEqual(len(self.rumours), 1)
            self.rumours.next_frame(B, FLEET)
        self.assertEqual(len(self.rumours), 0)


class RestartOfAllTest(unittest.TestCase):
    """All learn of all without the same record coming again and again.

    The pattern: all hosts start at once, and each says that it serves.
    """

    def test_everyone_knows_everyone_and_each_link_carries_a_record_once(self) -> None:
        rosters = {r.own.daemon: r for r in (roster_of(FLEET, n) for n in range(FLEET))}
        for roster in rosters.values():
            self.quiet(roster)
            roster.announce(MemberState.LEAVING, 0.0)
        sent = 0
        for _ in range(40):
            for roster in rosters.values():
                for peer in watched_by(roster.own.daemon, roster.members):
                    sent += self.tell(roster, rosters[peer])
                    sent += self.tell(rosters[peer], roster)
        digests = {roster.digests.whole for roster in rosters.values()}
        self.assertEqual(len(digests), 1)
        links = sum(len(watched_by(d, r.members)) for d, r in rosters.items())
        self.assertLessEqual(sent, 2 * links * FLEET)

    def quiet(self, roster: Roster) -> None:
        """Lets a roster tell all that it has learned before."""
        while roster.has_news:
            roster.news_for(None)

    def tell(self, teller: Roster, hearer: Roster) -> int:
        """Passes on one frame; returns how many records it held."""
        news = teller.news_for(hearer.own.daemon)
        hearer.apply_records(news, 1.0)
        return len(news)
