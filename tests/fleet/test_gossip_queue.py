"""Tests of `lavendertide.fleet.gossip_queue`."""

import unittest

from lavendertide.fleet.gossip_queue import (
    RECORDS_PER_FRAME_MAX,
    GossipQueue,
    idle_frames_max,
)
from lavendertide.fleet.overlay import watched_by
from lavendertide.fleet.roster import Roster
from lavendertide.ids import DaemonId
from lavendertide.messages import MemberState
from tests.fleet.members import roster_of

A, B, C = DaemonId("a"), DaemonId("b"), DaemonId("c")
FLEET = 60


class GossipQueueTest(unittest.TestCase):
    """Guards against a change that a peer misses or receives more than once."""

    def setUp(self) -> None:
        self.queue = GossipQueue()

    def test_a_peer_is_sent_a_change_once(self) -> None:
        self.queue.add(A)
        self.assertEqual(self.queue.select_next(B, FLEET), [A])
        self.assertEqual(self.queue.select_next(B, FLEET), [])
        self.assertEqual(self.queue.select_next(C, FLEET), [A])

    def test_a_newer_change_is_sent_again(self) -> None:
        self.queue.add(A)
        self.queue.select_next(B, FLEET)
        self.queue.add(A)
        self.assertEqual(self.queue.select_next(B, FLEET), [A])

    def test_records_beyond_the_limit_go_into_the_next_frame(self) -> None:
        names = {DaemonId(f"m{n}") for n in range(RECORDS_PER_FRAME_MAX + 3)}
        for name in names:
            self.queue.add(name)
        first = self.queue.select_next(B, FLEET)
        second = self.queue.select_next(B, FLEET)
        self.assertEqual(len(first), RECORDS_PER_FRAME_MAX)
        self.assertEqual(set(first) | set(second), names)
        self.assertEqual(self.queue.select_next(B, FLEET), [])

    def test_a_change_leaves_the_queue_after_some_idle_frames(self) -> None:
        self.queue.add(A)
        for _ in range(1 + idle_frames_max(FLEET)):
            self.assertEqual(len(self.queue), 1)
            self.queue.select_next(B, FLEET)
        self.assertEqual(len(self.queue), 0)


class RestartOfAllTest(unittest.TestCase):
    """Guards against records that circulate without end when all hosts restart.

    All hosts start at once, and each announces a change of its own state. Every roster
    has to receive every record, and each link may carry a record only once in each
    direction.
    """

    def test_all_rosters_agree_and_each_link_carries_a_record_once(self) -> None:
        rosters = {r.own.daemon: r for r in (roster_of(FLEET, n) for n in range(FLEET))}
        for roster in rosters.values():
            self.drain_gossip(roster)
            roster.announce(MemberState.LEAVING, 0.0)
        sent = 0
        for _ in range(40):
            for roster in rosters.values():
                for peer in watched_by(roster.own.daemon, roster.members):
                    sent += self.send_gossip(roster, rosters[peer])
                    sent += self.send_gossip(rosters[peer], roster)
        digests = {roster.digests.full for roster in rosters.values()}
        self.assertEqual(len(digests), 1)
        links = sum(len(watched_by(d, r.members)) for d, r in rosters.items())
        self.assertLessEqual(sent, 2 * links * FLEET)

    def drain_gossip(self, roster: Roster) -> None:
        """Empties a roster's gossip queue of the records of its construction."""
        while roster.has_pending_gossip:
            roster.gossip_for(None)

    def send_gossip(self, sender: Roster, receiver: Roster) -> int:
        """Transfers one frame of gossip; returns its number of records."""
        records = sender.gossip_for(receiver.own.daemon)
        receiver.apply_records(records, 1.0)
        return len(records)
