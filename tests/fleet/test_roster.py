"""Tests of `lavendertide.fleet.roster`."""

import unittest
from dataclasses import replace

from lavendertide.fleet.digests import BUCKETS
from lavendertide.fleet.roster import REMOVED_KEPT_S, SILENCE_S
from lavendertide.messages import MemberState
from tests.fleet.members import later_run, member, roster_of

OTHER = member(1)
SUSPECT = replace(OTHER, state=MemberState.SUSPECT)


class PrecedenceTest(unittest.TestCase):
    """The later of two records wins, in whichever order they come."""

    def test_a_suspicion_is_refuted_by_a_higher_refutation(self) -> None:
        roster = roster_of(2)
        roster.suspect(OTHER.daemon, 1.0)
        self.assertFalse(roster.apply_records((OTHER,), 2.0))
        self.assertTrue(roster.apply_records((replace(OTHER, refutation=1),), 2.0))
        self.assertFalse(roster.apply_records((SUSPECT,), 3.0))
        self.assertEqual(roster.serving[1].refutation, 1)

    def test_a_removed_member_returns_only_as_a_later_run_or_by_refuting(self) -> None:
        roster = roster_of(2)
        roster.remove(OTHER.daemon, 1.0)
        self.assertFalse(roster.apply_records((OTHER, SUSPECT), 2.0))
        self.assertTrue(roster.apply_records((later_run(OTHER),), 2.0))
        self.assertEqual(len(roster.members), 2)

    def test_a_daemon_refutes_what_others_say_of_it(self) -> None:
        roster = roster_of(2)
        own = roster.own
        for state in (MemberState.SUSPECT, MemberState.REMOVED):
            roster.apply_records((replace(roster.own, state=state),), 1.0)
            self.assertIs(roster.own.state, MemberState.SERVING)
        self.assertEqual(roster.own.incarnation, own.incarnation)
        self.assertEqual(roster.own.refutation, 2)

    def test_a_daemon_outbids_a_run_of_its_name_with_a_clock_ahead(self) -> None:
        roster = roster_of(2)
        ahead = later_run(later_run(roster.own))
        roster.apply_records((ahead,), 1.0)
        self.assertGreater(roster.own.incarnation, ahead.incarnation)

    def test_removed_members_are_forgotten_after_a_while(self) -> None:
        roster = roster_of(2)
        roster.remove(OTHER.daemon, 1.0)
        roster.forget_removed(REMOVED_KEPT_S)
        self.assertIsNotNone(roster.find(OTHER.daemon))
        roster.forget_removed(REMOVED_KEPT_S + 2)
        self.assertIsNone(roster.find(OTHER.daemon))


class ReachabilityTest(unittest.TestCase):
    """Own evidence and the fleet's suspicion both stop work from being sent."""

    def test_a_member_that_is_never_contacted_is_reachable(self) -> None:
        self.assertTrue(roster_of(2).is_reachable(OTHER.daemon, SILENCE_S, 1e6))

    def test_an_unanswered_heartbeat_makes_a_member_silent_until_it_answers(
        self,
    ) -> None:
        roster = roster_of(2)
        roster.contacts.expect(OTHER.daemon, 1.0)
        roster.contacts.expect(OTHER.daemon, 2.0)
        self.assertTrue(roster.is_reachable(OTHER.daemon, SILENCE_S, 2.4))
        self.assertFalse(roster.is_reachable(OTHER.daemon, SILENCE_S, 2.6))
        roster.contacts.note_answer(OTHER.daemon, 1.0, 2.7)
        self.assertTrue(roster.is_reachable(OTHER.daemon, SILENCE_S, 9.0))

    def test_a_broken_link_and_a_suspicion_count_at_once(self) -> None:
        roster = roster_of(3)
        roster.contacts.record_disconnect(OTHER.daemon)
        roster.suspect(member(2).daemon, 1.0)
        for number in (1, 2):
            daemon = member(number).daemon
            self.assertFalse(roster.is_reachable(daemon, SILENCE_S, 1.0))

    def test_a_later_run_starts_with_a_clean_sheet(self) -> None:
        roster = roster_of(2)
        roster.contacts.record_disconnect(OTHER.daemon)
        roster.apply_records((later_run(OTHER),), 1.0)
        self.assertTrue(roster.is_reachable(OTHER.daemon, SILENCE_S, 1.0))

    def test_a_lease_runs_from_the_sending_of_the_newest_answered_heartbeat(
        self,
    ) -> None:
        contacts = roster_of(2).contacts
        contacts.note_answer(OTHER.daemon, 5.0, 5.2)
        contacts.note_answer(OTHER.daemon, 4.0, 5.3)
        self.assertEqual(contacts.answered_sent_at_s(OTHER.daemon), 5.0)


class NewsTest(unittest.TestCase):
    """News is bounded and reaches whoever missed it."""

    def test_a_frame_carries_a_bounded_number_and_each_change_several_times(
        self,
    ) -> None:
        roster = roster_of(100)
        frames = [roster.news_for(None) for _ in range(1_000)]
        self.assertLessEqual(max(map(len, frames)), 8)
        told = {record.daemon for frame in frames for record in frame}
        self.assertEqual(len(told), 100)
        self.assertEqual(roster.news_for(None), ())

    def test_a_suspect_is_always_told(self) -> None:
        roster = roster_of(2)
        roster.suspect(OTHER.daemon, 1.0)
        for _ in range(100):
            roster.news_for(None)
        self.assertIn(SUSPECT, roster.news_for(OTHER.daemon))

    def test_digests_are_equal_for_equal_rosters_and_find_what_differs(self) -> None:
        first, second = roster_of(50, own=0), roster_of(50, own=1)
        self.assertEqual(first.digests.whole, second.digests.whole)
        first.suspect(member(9).daemon, 1.0)
        self.assertNotEqual(first.digests.whole, second.digests.whole)
        sent = first.differing(second.digests.buckets)
        self.assertLess(len(sent), 50 / BUCKETS * 20)
        second.apply_records(sent, 2.0)
        self.assertEqual(first.digests.whole, second.digests.whole)


class ChangeTest(unittest.TestCase):
    """Whoever rests on the members hears of each change."""

    def test_each_change_is_told_and_nothing_else(self) -> None:
        roster, told = roster_of(3), []
        roster.on_change(lambda: told.append(roster.generation))
        roster.apply_records((OTHER,), 1.0)
        self.assertEqual(told, [])
        roster.suspect(OTHER.daemon, 1.0)
        roster.announce(MemberState.LEAVING, 2.0)
        self.assertEqual(told, [roster.generation - 1, roster.generation])
