"""Tests of `lavendertide.fleet.lease`."""

import itertools
import unittest
from dataclasses import dataclass, field

from hypothesis import given, settings, strategies as st

from lavendertide.fleet.holders import Holders, holders_from_ranking
from lavendertide.fleet.lease import LeaseTiming, Role, SlotLease
from lavendertide.fleet.pause_detector import PauseDetector
from lavendertide.ids import (
    Address,
    DaemonId,
    FailureDomain,
    HostId,
    Incarnation,
    Region,
)
from lavendertide.messages import MemberRecord, MemberState

TIMING = LeaseTiming(lease_s=2.0, attempt_s=1.0, margin_s=0.5)
SLOTS = 3
STEP_S = 0.25


def member(name: str) -> MemberRecord:
    """Returns a member on a host of its own."""
    return MemberRecord(
        DaemonId(name),
        HostId(name),
        Region("r"),
        FailureDomain("d"),
        Address("127.0.0.1:1"),
        Address("127.0.0.1:2"),
        Incarnation(1),
        MemberState.SERVING,
    )


A, B, C = member("a"), member("b"), member("c")


def ranked_holders(*members: MemberRecord) -> Holders | None:
    """Returns the holders for members in this rank order."""
    return holders_from_ranking(list(members))


@dataclass
class ScriptedContacts:
    """Contact times that a test sets."""

    acked: dict[DaemonId, float] = field(default_factory=dict)
    granted: dict[DaemonId, float] = field(default_factory=dict)

    def acked_sent_at_s(self, daemon: DaemonId) -> float | None:
        """Returns when the newest acknowledged heartbeat was sent."""
        return self.acked.get(daemon)

    def lease_granted_at_s(self, daemon: DaemonId) -> float | None:
        """Returns when a heartbeat was last acknowledged."""
        return self.granted.get(daemon)


class HolderProcess:
    """A daemon with one lease that always uses all slots that it may.

    Args:
        own: The daemon.
        now_s: When it starts.
        sends_all_heartbeats: Whether it also sends heartbeats that no lease needs.
    """

    def __init__(
        self, own: MemberRecord, now_s: float, sends_all_heartbeats: bool
    ) -> None:
        self.own = own
        self.sends_all_heartbeats = sends_all_heartbeats
        self.contacts = ScriptedContacts()
        self.lease = SlotLease(own.daemon, SLOTS, TIMING, now_s)
        self.pause_detector = PauseDetector(TIMING.lease_s, now_s)
        self.is_frozen = False
        self.running: list[float] = []

    def run_step(self, now_s: float) -> None:
        """Ends attempts that are over and starts new ones of the longest duration."""
        self.running = [ends_s for ends_s in self.running if ends_s > now_s]
        if self.is_frozen:
            return
        if self.pause_detector.detect_pause(now_s):
            self.lease.record_pause(now_s)
        self.lease.detect_gap(self.contacts, now_s)
        free_slots = self.lease.allowance(self.contacts, now_s) - len(self.running)
        self.running += [now_s + TIMING.attempt_s] * max(0, free_slots)

    def send_heartbeat(
        self, other: "HolderProcess", is_lost: bool, is_ack_lost: bool, now_s: float
    ) -> None:
        """Sends a heartbeat, which the other acknowledges unless a frame is lost.

        Only a primary or claimant has to send heartbeats, and only to its backup.
        """
        is_needed = self.lease.role in (Role.PRIMARY, Role.CLAIMING)
        if not (
            self.sends_all_heartbeats
            or (is_needed and self.lease.partner == other.own.daemon)
        ):
            return
        if self.is_frozen or other.is_frozen or is_lost:
            return
        other.contacts.granted[self.own.daemon] = now_s
        if not is_ack_lost:
            self.contacts.acked[other.own.daemon] = now_s


class SlotLeaseTest(unittest.TestCase):
    """Guards against use of slots that the lease does not grant."""

    def setUp(self) -> None:
        self.contacts = ScriptedContacts()

    def lease_of(self, own: MemberRecord, *ranked: MemberRecord) -> SlotLease:
        """Returns the lease of a daemon that started at second zero."""
        lease = SlotLease(own.daemon, SLOTS, TIMING, 0.0)
        lease.assign(ranked_holders(*ranked), 0.0)
        return lease

    def primary(self) -> SlotLease:
        """Returns the lease of a primary whose claim was released to it."""
        lease = self.lease_of(A, A, B)
        lease.apply_release(B.daemon, lease.serial, 1.0)
        return lease

    def test_a_new_incarnation_uses_nothing_until_earlier_attempts_have_ended(
        self,
    ) -> None:
        lease = self.primary()
        self.contacts.acked[B.daemon] = 1.4
        self.assertEqual(lease.allowance(self.contacts, 1.4), 0)
        self.assertEqual(lease.allowance(self.contacts, 1.5), SLOTS)

    def test_a_primary_without_acknowledgements_keeps_the_larger_half(self) -> None:
        lease = self.primary()
        self.acknowledge_each_second(lease, 1.0, 8.0)
        self.assertEqual(lease.allowance(self.contacts, 9.9), SLOTS)
        self.assertEqual(lease.allowance(self.contacts, 10.0), 2)

    def test_a_primary_waits_for_attempts_that_the_backup_started(self) -> None:
        lease = self.primary()
        self.acknowledge_each_second(lease, 1.0, 8.0)
        self.acknowledge_each_second(lease, 11.0, 12.0)
        self.assertEqual(lease.allowance(self.contacts, 12.0), 2)
        self.acknowledge_each_second(lease, 12.0, 14.0)
        self.assertEqual(lease.allowance(self.contacts, 14.0), SLOTS)

    def acknowledge_each_second(
        self, lease: SlotLease, from_s: float, to_s: float
    ) -> None:
        """Has the backup acknowledge one heartbeat each second."""
        now_s = from_s
        while now_s <= to_s:
            self.contacts.acked[B.daemon] = now_s
            lease.detect_gap(self.contacts, now_s)
            now_s += 1.0

    def test_a_backup_gets_the_smaller_half_after_the_release_timeout(self) -> None:
        lease = self.lease_of(B, A, B)
        self.contacts.granted[A.daemon] = 10.0
        self.assertEqual(lease.allowance(self.contacts, 13.4), 0)
        self.assertEqual(lease.allowance(self.contacts, 13.5), 1)

    def test_a_claimant_waits_for_the_release_by_the_previous_holder(self) -> None:
        lease = self.lease_of(A, A, B)
        self.assertEqual(lease.claim_recipient(2.0), B.daemon)
        lease.apply_release(C.daemon, lease.serial, 2.0)
        lease.apply_release(B.daemon, lease.serial - 1, 2.0)
        self.assertEqual(lease.allowance(self.contacts, 2.0), 0)
        lease.apply_release(B.daemon, lease.serial, 2.0)
        self.assertIs(lease.role, Role.PRIMARY)

    def test_a_holder_releases_only_unused_slots_and_only_to_the_primary(self) -> None:
        lease = self.lease_of(B, A, B)
        self.assertFalse(lease.try_release_to(A.daemon, 1, 9.0))
        self.assertFalse(lease.try_release_to(C.daemon, 0, 9.0))
        self.assertTrue(lease.try_release_to(A.daemon, 0, 9.0))

    def test_after_a_pause_a_primary_waits_for_a_new_acknowledgement(self) -> None:
        lease = self.primary()
        self.acknowledge_each_second(lease, 1.0, 9.0)
        lease.record_pause(10.0)
        self.assertEqual(lease.allowance(self.contacts, 10.0), 0)
        self.contacts.acked[B.daemon] = 10.1
        self.assertEqual(lease.allowance(self.contacts, 10.2), SLOTS)

    def test_a_member_that_is_neither_primary_nor_backup_uses_nothing(self) -> None:
        lease = self.lease_of(C, A, B, C)
        self.assertEqual(lease.allowance(self.contacts, 100.0), 0)


class TwoHoldersTest(unittest.TestCase):
    """Guards against overuse by primary and backup after faults.

    Random phases of lost frames, paused processes and crashes must never make the two,
    together with attempts that outlive a crash, use more than all slots.
    """

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["run", "run", "freeze a", "freeze b", "crash a"]),
                st.integers(1, 24),
                st.booleans(),
                st.booleans(),
            ),
            max_size=12,
        ),
        st.booleans(),
    )
    def test_losses_pauses_and_crashes_never_overrun_the_slots(
        self, phases: list[tuple[str, int, bool, bool]], sends_all_heartbeats: bool
    ) -> None:
        now_s = 0.0
        holders = {
            "a": HolderProcess(A, now_s, sends_all_heartbeats),
            "b": HolderProcess(B, now_s, sends_all_heartbeats),
        }
        for process in holders.values():
            process.lease.assign(ranked_holders(A, B), now_s)
        orphaned: list[float] = []
        for event, steps, is_lost, is_ack_lost in phases:
            if event == "crash a":
                orphaned += holders["a"].running
                holders["a"] = HolderProcess(A, now_s, sends_all_heartbeats)
                holders["a"].lease.assign(ranked_holders(A, B), now_s)
            for name, process in holders.items():
                process.is_frozen = event == f"freeze {name}"
            for _ in range(steps):
                now_s += STEP_S
                a, b = holders["a"], holders["b"]
                a.send_heartbeat(b, is_lost, is_ack_lost, now_s)
                b.send_heartbeat(a, is_ack_lost, is_lost, now_s)
                self.transfer_slots(a, b, is_lost or is_ack_lost, now_s)
                for process in holders.values():
                    process.run_step(now_s)
                orphaned = [ends_s for ends_s in orphaned if ends_s > now_s]
                used = len(a.running) + len(b.running) + len(orphaned)
                self.assertLessEqual(used, SLOTS)

    def transfer_slots(
        self, a: HolderProcess, b: HolderProcess, is_lost: bool, now_s: float
    ) -> None:
        """Transfers a claim and its release, unless a frame is lost."""
        if is_lost or a.is_frozen or b.is_frozen:
            return
        if a.lease.claim_recipient(now_s) == b.own.daemon:
            serial = a.lease.serial
            if b.lease.try_release_to(a.own.daemon, len(b.running), now_s):
                a.lease.apply_release(b.own.daemon, serial, now_s)


class JoiningHolderTest(unittest.TestCase):
    """Guards against overuse while a new primary takes over the slots.

    Members apply a change of the holders at different times. In between they must not
    use more than all slots, and in the end exactly all are used.
    """

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(
        st.lists(st.integers(0, 12), min_size=3, max_size=3),
        st.booleans(),
        st.booleans(),
    )
    def test_members_that_learn_of_it_at_different_times_never_overrun(
        self,
        learn_delays_steps: list[int],
        leaves_again: bool,
        sends_all_heartbeats: bool,
    ) -> None:
        now_s = 0.0
        processes = [
            HolderProcess(own, now_s, sends_all_heartbeats) for own in (A, B, C)
        ]
        for process in processes[:2]:
            process.lease.assign(ranked_holders(A, B), now_s)
        views = [(20, ranked_holders(C, A, B))]
        if leaves_again:
            views.append((60, ranked_holders(A, B, C)))
        for step in range(100):
            now_s += STEP_S
            for at_step, holders in views:
                for process, delay_steps in zip(
                    processes, learn_delays_steps, strict=True
                ):
                    if step == at_step + delay_steps:
                        process.lease.assign(holders, now_s)
            for process, other in itertools.permutations(processes, 2):
                process.send_heartbeat(other, False, False, now_s)
                self.transfer_slots(process, other, now_s)
            for process in processes:
                process.run_step(now_s)
            used = sum(len(process.running) for process in processes)
            self.assertLessEqual(used, SLOTS)
        self.assertEqual(used, SLOTS)

    def transfer_slots(
        self, claimant: HolderProcess, other: HolderProcess, now_s: float
    ) -> None:
        """Transfers a claim and its release."""
        if claimant.lease.claim_recipient(now_s) == other.own.daemon:
            serial = claimant.lease.serial
            in_use = len(other.running)
            if other.lease.try_release_to(claimant.own.daemon, in_use, now_s):
                claimant.lease.apply_release(other.own.daemon, serial, now_s)
