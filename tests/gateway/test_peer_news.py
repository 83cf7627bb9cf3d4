"""Tests of `lavendertide.gateway.peer_news`."""

from collections.abc import Iterable
from typing import cast

from lavendertide.fleet.gossip import Gossip
from lavendertide.fleet.peer_connection import PeerConnection
from lavendertide.fleet.peer_server import Outbox
from lavendertide.fleet.peers import Peers
from lavendertide.forwarding.poison import CrashEvidence
from lavendertide.forwarding.target_view import TargetViews
from lavendertide.gateway.peer_news import STALLS_PERIOD_S, PeerNews
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
from lavendertide.poison.quarantine import Quarantine
from lavendertide.runtime import clock, tasks
from tests.fleet.members import later_run, member, roster_of
from tests.virtual_time import VirtualTimeTestCase


class NotedPeers:
    """Links that note what they are told."""

    def __init__(self) -> None:
        self.told: list[Frame] = []
        self.greeted: list[tuple[DaemonId, Frame]] = []

    def broadcast_to(self, members: Iterable[MemberRecord], frame: Frame) -> None:
        """Notes a frame to some members."""
        self.told.append(frame)

    def broadcast(self, frame: Frame) -> None:
        """Notes a frame."""
        self.told.append(frame)

    def link_to(self, member: MemberRecord) -> "NotedLink":
        """Returns the link to one member."""
        return NotedLink(member, self.greeted)


class NotedLink:
    """A link that notes what it is given."""

    def __init__(
        self, member: MemberRecord, sent: list[tuple[DaemonId, Frame]]
    ) -> None:
        self._member = member
        self._sent = sent

    def send(self, frame: Frame) -> bool:
        """Notes a frame."""
        self._sent.append((self._member.daemon, frame))
        return True


class FakePeer:
    """The other end of a link."""

    daemon = DaemonId("b")


def suspect(fingerprint: str, crashes: int = 1) -> Verdict:
    """Returns the verdict on a request that may have crashed targets."""
    return Verdict(
        Fingerprint(fingerprint), ShardNumber(0), VerdictKind.SUSPECT, crashes, 60_000
    )


def no_registry(pull: RegistryPull) -> RegistryPush:
    """Answers no question of the registry."""
    raise AssertionError(pull)


class PeerNewsTest(VirtualTimeTestCase):
    """News without a network."""

    def setUp(self) -> None:
        self.peers = NotedPeers()
        self.roster = roster_of(3)
        self.crashes = CrashEvidence(Quarantine())
        self.news = PeerNews(
            self.roster,
            cast(Peers, self.peers),
            cast(Gossip, None),
            TargetViews(FailureDomain("zone")),
            self.crashes,
            no_registry,
        )


class StallsTest(PeerNewsTest):
    """Targets that stall together cost a peer one frame.

    The pattern: a fault slows many targets at once, and a search over all shards finds
    dozens of them late in the same moment.
    """

    def test_stalls_of_one_moment_share_a_frame(self) -> None:
        targets = tuple(TargetId(f"t{number}") for number in range(30))
        for target in targets:
            self.news.broadcast_stall(target)
        tasks.sleep(3 * STALLS_PERIOD_S)
        self.assertEqual(self.peers.told, [StallNotices(targets)])

    def test_a_later_stall_is_told_later(self) -> None:
        for name in ("t1", "t2"):
            self.news.broadcast_stall(TargetId(name))
            tasks.sleep(3 * STALLS_PERIOD_S)
        self.assertEqual(len(self.peers.told), 2)


class VerdictsTest(PeerNewsTest):
    """Suspected requests cost a link one frame a period, however many they are.

    The pattern: the targets of many shards close connections at once, so that all
    searches in flight become suspects on all hosts, dozens of times.
    """

    def hear(self, *verdicts: Verdict) -> None:
        """Takes in a frame of a peer."""
        peer = cast(PeerConnection, FakePeer())
        self.news.handle(peer, Verdicts(verdicts), cast(Outbox, None))

    def test_all_that_came_up_in_a_period_shares_a_frame(self) -> None:
        for number in range(40):
            self.news.broadcast_verdict(suspect(f"request-{number}"))
        self.news.tell_verdicts()
        self.assertEqual(len(self.peers.told), 1)

    def test_of_a_request_only_the_newest_verdict_is_told(self) -> None:
        for crashes in range(1, 4):
            self.news.broadcast_verdict(suspect("request", crashes))
        self.news.tell_verdicts()
        self.assertEqual(self.peers.told, [Verdicts((suspect("request", 3),))])

    def test_what_a_peer_reports_is_passed_on_once(self) -> None:
        self.hear(suspect("request"))
        self.hear(suspect("request"))
        self.news.tell_verdicts()
        self.news.tell_verdicts()
        self.assertEqual(self.peers.told, [Verdicts((suspect("request"),))])

    def test_nothing_is_told_without_news(self) -> None:
        self.news.tell_verdicts()
        self.assertEqual(self.peers.told, [])


class JoinersTest(PeerNewsTest):
    """A host that starts after a verdict is told of it.

    The pattern: hosts are restarted in turn while a caller goes on sending a request
    that crashes whatever runs it.
    """

    def condemn(self) -> Fingerprint:
        """Returns a request that has crashed three targets."""
        poison = Fingerprint("poison")
        for number in range(3):
            request = CallerRequestId(f"r{number}")
            target, now_s = TargetId(f"t{number}"), clock.monotonic_s()
            self.crashes.record_crash(poison, request, target, 1, now_s)
        return poison

    def test_a_host_that_has_restarted_does_not_send_it_again(self) -> None:
        self.news.greet_joiners()
        poison = self.condemn()
        self.news.greet_joiners()
        self.assertEqual(self.peers.greeted, [])
        restarted = later_run(member(1))
        self.roster.apply_records((restarted,), 1.0)
        self.news.greet_joiners()
        self.news.greet_joiners()
        ((told, frame),) = self.peers.greeted
        self.assertEqual(told, restarted.daemon)
        assert isinstance(frame, Verdicts)
        joiner, now_s = CrashEvidence(Quarantine()), clock.monotonic_s()
        self.assertFalse(joiner.is_quarantined(poison, now_s))
        joiner.apply_verdicts(frame.items, now_s)
        self.assertTrue(joiner.is_quarantined(poison, now_s))

    def test_without_verdicts_nobody_is_told(self) -> None:
        self.roster.apply_records((later_run(member(1)),), 1.0)
        self.news.greet_joiners()
        self.assertEqual(self.peers.greeted, [])
