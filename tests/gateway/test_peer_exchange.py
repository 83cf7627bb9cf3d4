"""Tests of `lavendertide.gateway.peer_exchange`."""

from collections.abc import Iterable
from typing import cast

from prometheus_client import CollectorRegistry

from lavendertide.evacuation.evacuated_domains import EvacuatedDomains
from lavendertide.fleet.gossip import Gossip
from lavendertide.fleet.peer_connection import PeerConnection
from lavendertide.fleet.peer_server import Outbox
from lavendertide.fleet.peers import Peers
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.forwarding.poison import CrashEvidence, TargetProcess
from lavendertide.forwarding.target_view import TargetViews
from lavendertide.gateway.capacity_exchange import CapacityExchange
from lavendertide.gateway.cold_parts import ColdParts
from lavendertide.gateway.evacuation_broadcast import EvacuationBroadcast
from lavendertide.gateway.leaving_broadcast import LeavingBroadcast
from lavendertide.gateway.peer_exchange import STALLS_PERIOD_S, PeerExchange
from lavendertide.ids import (
    CallerRequestId,
    DaemonId,
    FailureDomain,
    Fingerprint,
    ShardNumber,
    TargetId,
)
from lavendertide.messages import (
    Frame,
    MemberRecord,
    RegistryPull,
    RegistryPush,
    StallNotices,
    Verdict,
    VerdictKind,
    Verdicts,
)
from lavendertide.overload.byte_budget import ByteBudget
from lavendertide.poison.quarantine import Quarantine
from lavendertide.registry.record import TargetRun
from lavendertide.registry.registry import TargetRegistry
from lavendertide.runtime import clock, tasks
from lavendertide.warmup.allowance import ColdBounds
from tests.fleet.members import later_run, member, roster_of
from tests.virtual_time import VirtualTimeTestCase


class RecordingPeers:
    """Links to peers that record the frames that are sent."""

    def __init__(self) -> None:
        self.sent: list[Frame] = []
        self.sent_to_member: list[tuple[DaemonId, Frame]] = []

    def broadcast_to(self, members: Iterable[MemberRecord], frame: Frame) -> None:
        """Records a frame to some members."""
        self.sent.append(frame)

    def broadcast(self, frame: Frame) -> None:
        """Records a frame."""
        self.sent.append(frame)

    def is_linked(self, member: MemberRecord) -> bool:
        """Returns whether there is a link, which there is to all but the last one."""
        return member.daemon != "c"

    def link_to(self, member: MemberRecord) -> "RecordingLink":
        """Returns the link to one member."""
        return RecordingLink(member, self.sent_to_member)


class RecordingLink:
    """A link to one member that records the frames that are sent."""

    def __init__(
        self, member: MemberRecord, sent: list[tuple[DaemonId, Frame]]
    ) -> None:
        self._member = member
        self._sent = sent

    def send(self, frame: Frame) -> bool:
        """Records a frame."""
        self._sent.append((self._member.daemon, frame))
        return True


class FakePeer:
    """The peer at the other end of a connection."""

    daemon = DaemonId("b")


def suspect(fingerprint: str, crashes: int = 1) -> Verdict:
    """Returns a verdict that a request may have crashed targets."""
    return Verdict(
        Fingerprint(fingerprint), ShardNumber(0), VerdictKind.SUSPECT, crashes, 60_000
    )


def fail_on_pull(pull: RegistryPull) -> RegistryPush:
    """Fails, as no test pulls the registry."""
    raise AssertionError(pull)


class PeerExchangeTest(VirtualTimeTestCase):
    """Sets up an exchange whose peers record frames instead of sending them."""

    def setUp(self) -> None:
        self.peers = RecordingPeers()
        self.roster = roster_of(3)
        self.crashes = CrashEvidence(Quarantine())
        self.registry = TargetRegistry()
        self.views = TargetViews(FailureDomain("zone"))
        self.leaving = LeavingBroadcast(
            self.registry, self.roster, cast(Peers, self.peers)
        )
        self.exchange = PeerExchange(
            self.roster,
            cast(Peers, self.peers),
            cast(Gossip, None),
            self.views,
            self.crashes,
            self.leaving,
            EvacuationBroadcast(
                EvacuatedDomains(), self.roster, cast(Peers, self.peers)
            ),
            CapacityExchange(
                self.registry,
                self.roster,
                cast(Peers, self.peers),
                self.views,
                ForwardingMetrics(CollectorRegistry()),
                True,
            ),
            ColdParts(
                self.roster.own.daemon,
                lambda _: None,
                ColdBounds(),
                CollectorRegistry(),
            ).make_exchange(
                self.registry, self.roster, cast(Peers, self.peers), ByteBudget()
            ),
            fail_on_pull,
        )


class StallsTest(PeerExchangeTest):
    """Targets that stall together are broadcast in one frame.

    Guards against a flood of frames when a fault slows many targets at once, and a
    search over all shards detects dozens of them at the same moment.
    """

    def test_stalls_of_one_moment_share_a_frame(self) -> None:
        targets = tuple(TargetId(f"t{number}") for number in range(30))
        for target in targets:
            self.exchange.broadcast_stall(target)
        tasks.sleep(3 * STALLS_PERIOD_S)
        self.assertEqual(self.peers.sent, [StallNotices(targets)])

    def test_a_later_stall_is_sent_in_another_frame(self) -> None:
        for name in ("t1", "t2"):
            self.exchange.broadcast_stall(TargetId(name))
            tasks.sleep(3 * STALLS_PERIOD_S)
        self.assertEqual(len(self.peers.sent), 2)


class VerdictsTest(PeerExchangeTest):
    """Each link carries at most one frame of verdicts a period.

    Guards against a flood of frames when the targets of many shards close connections
    at once: all searches in flight become suspect on all hosts, dozens of times.
    """

    def receive(self, *verdicts: Verdict) -> None:
        """Handles a frame with these verdicts from a peer."""
        peer = cast(PeerConnection, FakePeer())
        self.exchange.handle(peer, Verdicts(verdicts), cast(Outbox, None))

    def test_all_verdicts_of_a_period_share_a_frame(self) -> None:
        for number in range(40):
            self.exchange.queue_verdict(suspect(f"request-{number}"))
        self.exchange.broadcast_verdicts()
        self.assertEqual(len(self.peers.sent), 1)

    def test_only_the_newest_verdict_of_a_request_is_sent(self) -> None:
        for crashes in range(1, 4):
            self.exchange.queue_verdict(suspect("request", crashes))
        self.exchange.broadcast_verdicts()
        self.assertEqual(self.peers.sent, [Verdicts((suspect("request", 3),))])

    def test_a_verdict_of_a_peer_is_forwarded_once(self) -> None:
        self.receive(suspect("request"))
        self.receive(suspect("request"))
        self.exchange.broadcast_verdicts()
        self.exchange.broadcast_verdicts()
        self.assertEqual(self.peers.sent, [Verdicts((suspect("request"),))])

    def test_nothing_is_sent_without_new_verdicts(self) -> None:
        self.exchange.broadcast_verdicts()
        self.assertEqual(self.peers.sent, [])


class NewMembersTest(PeerExchangeTest):
    """A host that starts after a verdict receives it.

    Otherwise, while hosts are restarted in turn, a caller that goes on sending a
    request that crashes its targets could crash more of them through the new hosts.
    """

    def quarantine(self) -> Fingerprint:
        """Returns a request that has crashed three targets."""
        poison = Fingerprint("poison")
        for number in range(3):
            request = CallerRequestId(f"r{number}")
            run, now_s = TargetRun(TargetId(f"t{number}"), 1), clock.monotonic_s()
            self.crashes.record_crash(poison, request, TargetProcess(run), 1, now_s)
        return poison

    def test_a_host_that_has_restarted_does_not_send_it_again(self) -> None:
        self.exchange.send_to_new_members()
        poison = self.quarantine()
        self.exchange.send_to_new_members()
        self.assertEqual(self.peers.sent_to_member, [])
        restarted = later_run(member(1))
        self.roster.apply_records((restarted,), 1.0)
        self.exchange.send_to_new_members()
        self.exchange.send_to_new_members()
        ((receiver, frame),) = self.peers.sent_to_member
        self.assertEqual(receiver, restarted.daemon)
        assert isinstance(frame, Verdicts)
        new_host, now_s = CrashEvidence(Quarantine()), clock.monotonic_s()
        self.assertFalse(new_host.is_quarantined(poison, now_s))
        new_host.apply_verdicts(frame.items, now_s)
        self.assertTrue(new_host.is_quarantined(poison, now_s))

    def test_nothing_is_sent_to_new_members_without_verdicts(self) -> None:
        self.roster.apply_records((later_run(member(1)),), 1.0)
        self.exchange.send_to_new_members()
        self.assertEqual(self.peers.sent_to_member, [])
