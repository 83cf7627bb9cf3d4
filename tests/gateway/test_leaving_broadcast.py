"""Tests of `lavendertide.gateway.leaving_broadcast`."""

import unittest
from typing import cast

from lavendertide.fleet.peers import Peers
from lavendertide.gateway.leaving_broadcast import (
    PLATFORM_DELAY_S,
    RUNS_PER_FRAME,
    LeavingBroadcast,
)
from lavendertide.ids import DaemonId, TargetId
from lavendertide.messages import LeavingNotices
from lavendertide.registry.record import TargetRun, TargetState
from lavendertide.registry.registry import TargetRegistry
from standins.forwarding_records import DESK, target
from tests.fleet.members import later_run, member, roster_of
from tests.gateway.test_peer_exchange import RecordingPeers

PEER = DaemonId("b")


class LeavingBroadcastTest(unittest.TestCase):
    """Peers are told of a leaving target only if the platform doesn't say so in time.

    Without the broadcasts, each host would send to the targets that left during an
    outage of the platform until it has had a reply, or a failure, of its own. With
    broadcasts of all leaving targets, a release of hundreds of targets would cost each
    link kilobytes that the platform's reads carry anyway.
    """

    def setUp(self) -> None:
        self.registry = TargetRegistry()
        self.peers = RecordingPeers()
        self.roster = roster_of(3)
        self.broadcast = LeavingBroadcast(
            self.registry, self.roster, cast(Peers, self.peers)
        )
        self.registry.put(target("a"), target("b"))

    def test_what_the_platform_reports_in_time_is_not_sent(self) -> None:
        self.broadcast.record_leaving(target("a").run, 1.0)
        self.registry.put(target("a", state=TargetState.DRAINING))
        self.broadcast.record_leaving(target("b").run, 1.0)
        self.registry.remove(TargetId("b"), 1.5)
        self.broadcast.broadcast_due(1.0 + PLATFORM_DELAY_S)
        self.assertEqual(self.peers.sent, [])

    def test_what_is_still_published_as_ready_is_sent_once(self) -> None:
        for _ in range(2):
            self.broadcast.record_leaving(target("a").run, 1.0)
        self.broadcast.broadcast_due(1.0 + PLATFORM_DELAY_S - 0.1)
        self.assertEqual(self.peers.sent, [])
        for _ in range(2):
            self.broadcast.broadcast_due(1.0 + PLATFORM_DELAY_S)
        self.assertEqual(self.peers.sent, [LeavingNotices((target("a").run,))])

    def test_a_notice_of_a_peer_counts_and_is_passed_on_once(self) -> None:
        for _ in range(2):
            self.broadcast.apply_notices((target("a").run,), PEER, 1.0)
            self.broadcast.broadcast_due(1.0)
        ready = self.registry.ready_targets(DESK, 1.0)
        self.assertEqual([record.target for record in ready], ["b"])
        self.assertEqual(self.peers.sent, [LeavingNotices((target("a").run,))])

    def test_a_notice_about_an_earlier_run_does_not_concern_the_present_one(
        self,
    ) -> None:
        self.registry.put(target("a", started_at_ms=2))
        self.broadcast.apply_notices((target("a").run,), PEER, 1.0)
        self.broadcast.broadcast_due(1.0)
        self.assertEqual(len(self.registry.ready_targets(DESK, 1.0)), 2)
        self.assertEqual(self.peers.sent, [])

    def test_a_host_that_starts_hears_of_draining_that_a_restored_store_lacks(
        self,
    ) -> None:
        """Guards against a host that knows the copy alone and uses the target."""
        undated = target("u", state=TargetState.DRAINING, started_at_ms=0)
        self.registry.put(target("a", state=TargetState.DRAINING), undated)
        self.registry.record_restoration(1.0)
        copy = target("a"), target("b"), target("u", started_at_ms=0)
        self.registry.replace(copy, 1.0)
        self.broadcast.send_to_new_members(1.0)
        started = later_run(member(1))
        self.roster.apply_records((started,), 1.5)
        self.broadcast.send_to_new_members(1.6)
        expected = started.daemon, LeavingNotices((target("a").run,))
        self.assertEqual(self.peers.sent_to_member[-1], expected)

    def test_a_notice_that_comes_before_the_entry_counts_for_it(self) -> None:
        """A host that has just started gets notices before it has read the targets."""
        self.broadcast.apply_notices((target("c").run,), PEER, 1.0)
        self.registry.put(target("c"))
        ready = self.registry.ready_targets(DESK, 1.0)
        self.assertEqual([record.target for record in ready], ["a", "b"])

    def test_a_wave_is_sent_in_bounded_frames(self) -> None:
        runs = [TargetRun(TargetId(f"t{number}"), 1) for number in range(300)]
        self.registry.put(*(target(run.target) for run in runs))
        for run in runs:
            self.broadcast.record_leaving(run, 1.0)
        for _ in range(4):
            self.broadcast.broadcast_due(3.0)
        sizes = [len(cast(LeavingNotices, frame).runs) for frame in self.peers.sent]
        self.assertEqual(
            sizes, [RUNS_PER_FRAME, RUNS_PER_FRAME, 300 - 2 * RUNS_PER_FRAME]
        )

    def test_a_new_member_is_sent_what_is_in_force(self) -> None:
        self.broadcast.send_to_new_members(1.0)
        self.broadcast.record_leaving(target("a").run, 1.0)
        restarted = later_run(member(1))
        self.roster.apply_records((restarted,), 1.0)
        self.broadcast.send_to_new_members(1.1)
        self.assertEqual(
            self.peers.sent_to_member,
            [(restarted.daemon, LeavingNotices((target("a").run,)))],
        )
