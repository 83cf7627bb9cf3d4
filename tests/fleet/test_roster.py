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
    """Guards against an outdated record that overrides a newer one."""

    def test_a_suspicion_is_refuted_by_a_higher_refutation(self) -> None:
        roster = roster_of(2)
        roster.suspect(OTHER.daemon, 1.0)
        self.assertFalse(roster.apply_records((OTHER,), 2.0))
        self.assertTrue(roster.apply_records((replace(OTHER, refutation=1),), 2.0))
        self.assertFalse(roster.apply_records((SUSPECT,), 3.0))
        self.assertEqual(roster.serving[1].refutation, 1)

    def test_a_removed_member_returns_only_by_a_restart_or_a_refutation(self) -> None:
        roster = roster_of(2)
        roster.remove(OTHER.daemon, 1.0)
        self.assertFalse(roster.apply_records((OTHER, SUSPECT), 2.0))
        self.assertTrue(roster.apply_records((later_run(OTHER),), 2.0))
        self.assertEqual(len(roster.members), 2)

    def test_a_daemon_refutes_suspicions_and_removals_of_itself(self) -> None:
        roster = roster_of(2)
        own = roster.own
        for state in (MemberState.SUSPECT, MemberState.REMOVED):
            roster.apply_records((replace(roster.own, state=state),), 1.0)
            self.assertIs(roster.own.state, MemberState.SERVING)
        self.assertEqual(roster.own.incarnation, own.incarnation)
        self.assertEqual(roster.own.refutation, 2)

    def test_a_daemon_exceeds_a_higher_incarnation_of_its_own_name(self) -> None:
        """An earlier run of the name may have started with a clock that was ahead."""
        roster = roster_of(2)
        ahead = later_run(later_run(roster.own))
        roster.apply_records((ahead,), 1.0)
        self.assertGreater(roster.own.incarnation, ahead.incarnation)

    def test_removed_members_expire(self) -> None:
        roster = roster_of(2)
        roster.remove(OTHER.daemon, 1.0)
        roster.expire_removed(REMOVED_KEPT_S)
        self.assertIsNotNone(roster.find(OTHER.daemon))
        roster.expire_removed(REMOVED_KEPT_S + 2)
        self.assertIsNone(roster.find(OTHER.daemon))


class ReachabilityTest(unittest.TestCase):
    """Guards against requests to members that are silent or suspect."""

    def test_a_member_that_is_never_contacted_is_reachable(self) -> None:
        self.assertTrue(roster_of(2).is_reachable(OTHER.daemon, SILENCE_S, 1e6))

    def test_a_heartbeat_without_reply_makes_a_member_silent_until_it_replies(
        self,
    ) -> None:
        roster = roster_of(2)
        roster.contacts.record_sent(OTHER.daemon, 1.0)
        roster.contacts.record_sent(OTHER.daemon, 2.0)
        self.assertTrue(roster.is_reachable(OTHER.daemon, SILENCE_S, 2.4))
        self.assertFalse(roster.is_reachable(OTHER.daemon, SILENCE_S, 2.6))
        roster.contacts.record_heartbeat_ack(OTHER.daemon, 1.0, 2.7)
        self.assertTrue(roster.is_reachable(OTHER.daemon, SILENCE_S, 9.0))

    def test_a_broken_link_and_a_suspicion_take_effect_at_once(self) -> None:
        roster = roster_of(3)
        roster.contacts.record_disconnect(OTHER.daemon)
        roster.suspect(member(2).daemon, 1.0)
        for number in (1, 2):
            daemon = member(number).daemon
            self.assertFalse(roster.is_reachable(daemon, SILENCE_S, 1.0))

    def test_evidence_about_a_member_is_discarded_after_its_restart(self) -> None:
        roster = roster_of(2)
        roster.contacts.record_disconnect(OTHER.daemon)
        roster.apply_records((later_run(OTHER),), 1.0)
        self.assertTrue(roster.is_reachable(OTHER.daemon, SILENCE_S, 1.0))

    def test_a_lease_runs_from_the_sending_of_the_newest_acknowledged_heartbeat(
        self,
    ) -> None:
        contacts = roster_of(2).contacts
        contacts.record_heartbeat_ack(OTHER.daemon, 5.0, 5.2)
        contacts.record_heartbeat_ack(OTHER.daemon, 4.0, 5.3)
        self.assertEqual(contacts.acked_sent_at_s(OTHER.daemon), 5.0)


class GossipTest(unittest.TestCase):
    """Guards against unbounded frames and against records that are never sent."""

    def test_frames_are_bounded_and_carry_every_change(
        self,
    ) -> None:
        roster = roster_of(100)
        frames = [roster.gossip_for(None) for _ in range(1_000)]
        self.assertLessEqual(max(map(len, frames)), 8)
        gossiped = {record.daemon for frame in frames for record in frame}
        self.assertEqual(len(gossiped), 100)
        self.assertEqual(roster.gossip_for(None), ())

    def test_a_frame_to_a_suspect_always_carries_the_suspicion(self) -> None:
        roster = roster_of(2)
        roster.suspect(OTHER.daemon, 1.0)
        for _ in range(100):
            roster.gossip_for(None)
        self.assertIn(SUSPECT, roster.gossip_for(OTHER.daemon))

    def test_digests_are_equal_for_equal_rosters_and_show_where_others_differ(
        self,
    ) -> None:
        first, second = roster_of(50, own=0), roster_of(50, own=1)
        self.assertEqual(first.digests.full, second.digests.full)
        first.suspect(member(9).daemon, 1.0)
        self.assertNotEqual(first.digests.full, second.digests.full)
        sent = first.records_differing_from(second.digests.buckets)
        self.assertLess(len(sent), 50 / BUCKETS * 20)
        second.apply_records(sent, 2.0)
        self.assertEqual(first.digests.full, second.digests.full)


class ChangeTest(unittest.TestCase):
    """Guards against missed and against needless notifications of changes."""

    def test_only_changes_are_notified(self) -> None:
        roster, generations = roster_of(3), []
        roster.on_change(lambda: generations.append(roster.generation))
        roster.apply_records((OTHER,), 1.0)
        self.assertEqual(generations, [])
        roster.suspect(OTHER.daemon, 1.0)
        roster.announce(MemberState.LEAVING, 2.0)
        self.assertEqual(generations, [roster.generation - 1, roster.generation])
