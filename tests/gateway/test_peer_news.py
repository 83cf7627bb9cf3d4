"""Tests of `lavendertide.gateway.peer_news`."""

import unittest
from typing import cast

from lavendertide.fleet.news import FleetNews
from lavendertide.fleet.peer_connection import PeerConnection
from lavendertide.fleet.peer_server import Outbox
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.roster import Roster
from lavendertide.forwarding.poison import CrashEvidence
from lavendertide.forwarding.target_view import TargetViews
from lavendertide.gateway.peer_news import PeerNews
from lavendertide.ids import DaemonId, FailureDomain, Fingerprint, ShardNumber
from lavendertide.messages import (
    Frame,
    RegistryPull,
    RegistryPush,
    Verdict,
    VerdictKind,
    Verdicts,
)
from lavendertide.poison.quarantine import Quarantine


class NotedPeers:
    """Links that note what they are told."""

    def __init__(self) -> None:
        self.told: list[Frame] = []

    def tell_all(self, frame: Frame) -> None:
        """Notes a frame."""
        self.told.append(frame)


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


class VerdictsTest(unittest.TestCase):
    """Suspected requests cost a link one frame a period, however many they are.

    The pattern: the targets of many shards close connections at once, so that all
    searches in flight become suspects on all hosts, dozens of times.
    """

    def setUp(self) -> None:
        self.peers = NotedPeers()
        self.news = PeerNews(
            cast(Roster, None),
            cast(Peers, self.peers),
            cast(FleetNews, None),
            TargetViews(FailureDomain("zone")),
            CrashEvidence(Quarantine()),
            no_registry,
        )

    def hear(self, *verdicts: Verdict) -> None:
        """Takes in a frame of a peer."""
        peer = cast(PeerConnection, FakePeer())
        self.news.take(peer, Verdicts(verdicts), cast(Outbox, None))

    def test_all_that_came_up_in_a_period_shares_a_frame(self) -> None:
        for number in range(40):
            self.news.tell_verdict(suspect(f"request-{number}"))
        self.news.tell_verdicts()
        self.assertEqual(len(self.peers.told), 1)

    def test_of_a_request_only_the_newest_verdict_is_told(self) -> None:
        for crashes in range(1, 4):
            self.news.tell_verdict(suspect("request", crashes))
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
