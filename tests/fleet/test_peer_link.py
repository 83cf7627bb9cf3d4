"""Tests of `lavendertide.fleet.peer_link`, on a connection without a network."""

import math
from typing import Any, cast

from lavendertide.fleet.gossip import Gossip
from lavendertide.fleet.peer_connection import PeerEdge
from lavendertide.fleet.peer_link import PeerLink
from lavendertide.ids import Address, DaemonId, ExchangeId
from lavendertide.messages import Frame, Heartbeat, ReachRequest, RegistryPull
from lavendertide.runtime import tasks
from tests.fleet.members import member, roster_of
from tests.virtual_time import VirtualTimeTestCase

HEARTBEAT_S = 0.02
WAITS_S = 0.3


class SilentConnection:
    """A connection to a peer that answers nothing."""

    def __init__(self) -> None:
        self.daemon = member(1).daemon
        self.member = member(1)
        self.sent: list[Frame] = []

    def send(self, frame: Frame) -> None:
        """Notes a frame."""
        self.sent.append(frame)

    def receive(self) -> Frame | None:
        """Waits for good."""
        tasks.sleep(60.0)
        return None

    def close(self) -> None:
        """Ends nothing."""


class OneEdge:
    """Dials the same connection again and again."""

    def __init__(self, connection: SilentConnection) -> None:
        self._connection = connection

    def dial(self, address: Address) -> SilentConnection:
        """Returns the connection."""
        return self._connection


class FewNews:
    """Writes empty heartbeats."""

    def next_heartbeat(self, peer: DaemonId, now_s: float) -> Heartbeat:
        """Returns a heartbeat."""
        return Heartbeat(1, (), cast(Any, 1))


class PeerLinkTest(VirtualTimeTestCase):
    """Heartbeats come faster only while an answer is awaited at once."""

    def setUp(self) -> None:
        self.connection = SilentConnection()
        roster = roster_of(2)
        while roster.has_news:
            roster.news_for(None)
        self.link = PeerLink(
            Address("127.0.0.1:1"),
            cast(PeerEdge, OneEdge(self.connection)),
            roster,
            cast(Gossip, FewNews()),
            HEARTBEAT_S,
        )
        self.addCleanup(self.link.close)

    def heartbeats(self) -> int:
        """Returns how many heartbeats were sent."""
        return sum(isinstance(frame, Heartbeat) for frame in self.connection.sent)

    def test_a_question_that_waits_for_news_hurries_no_heartbeat(self) -> None:
        """The pattern: all hosts of a failure domain ask its reader all the time."""
        pull = RegistryPull(ExchangeId("x"), 1)
        self.assertIsNone(self.link.pull_registry(pull, WAITS_S))
        self.assertIn(pull, self.connection.sent)
        self.assertLessEqual(self.heartbeats(), 1)

    def test_a_question_that_is_answered_at_once_does(self) -> None:
        self.assertFalse(self.link.ask_reach(member(0).daemon, WAITS_S))
        asked = [each for each in self.connection.sent if type(each) is ReachRequest]
        self.assertEqual(len(asked), 1)
        self.assertGreaterEqual(
            self.heartbeats(), math.floor(WAITS_S / HEARTBEAT_S) - 1
        )
