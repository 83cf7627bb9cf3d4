"""Tests of `lavendertide.fleet.peer_link` without a network."""

import math
from typing import Any, cast

from bench.codec import build_frame
from lavendertide.fleet.gossip import Gossip
from lavendertide.fleet.peer_connection import PeerConnector
from lavendertide.fleet.peer_link import PeerLink
from lavendertide.ids import Address, DaemonId, ExchangeId
from lavendertide.messages import (
    Cancels,
    Declined,
    DeclineReason,
    Frame,
    Heartbeat,
    LossReason,
    Lost,
    ReachRequest,
    RegistryPull,
    SubReplies,
    SubReply,
    SubRequests,
)
from lavendertide.runtime import tasks
from standins.forwarding_records import at
from tests.fleet.members import member, roster_of
from tests.virtual_time import VirtualTimeTestCase

SUB_REQUEST = build_frame(1).items[0]
HEARTBEAT_S = 0.02
REPLY_TIMEOUT_S = 0.3


class SilentConnection:
    """A connection to a peer that never replies."""

    def __init__(self) -> None:
        self.daemon = member(1).daemon
        self.member = member(1)
        self.sent: list[Frame] = []

    def send(self, frame: Frame) -> None:
        """Records a frame."""
        self.sent.append(frame)

    def receive(self) -> Frame | None:
        """Waits for longer than the tests run."""
        tasks.sleep(60.0)
        return None

    def close(self) -> None:
        """Does nothing."""


class SingleConnectionConnector:
    """Returns the same connection from every dial."""

    def __init__(self, connection: SilentConnection) -> None:
        self._connection = connection

    def dial(self, address: Address) -> SilentConnection:
        """Returns the connection."""
        return self._connection


class EmptyGossip:
    """Builds heartbeats without records."""

    def next_heartbeat(self, peer: DaemonId, now_s: float) -> Heartbeat:
        """Returns an empty heartbeat."""
        return Heartbeat(1, (), cast(Any, 1))


class PeerLinkTest(VirtualTimeTestCase):
    """Guards against needless heartbeats while a long poll is pending."""

    def setUp(self) -> None:
        self.connection = SilentConnection()
        roster = roster_of(2)
        while roster.has_pending_gossip:
            roster.gossip_for(None)
        self.link = PeerLink(
            Address("127.0.0.1:1"),
            cast(PeerConnector, SingleConnectionConnector(self.connection)),
            roster,
            cast(Gossip, EmptyGossip()),
            HEARTBEAT_S,
        )
        self.addCleanup(self.link.close)

    def heartbeat_count(self) -> int:
        """Returns the number of heartbeats that were sent."""
        return sum(isinstance(frame, Heartbeat) for frame in self.connection.sent)

    def test_a_long_poll_does_not_shorten_the_heartbeat_interval(self) -> None:
        """All hosts of a failure domain have a pull pending at the same reader."""
        pull = RegistryPull(ExchangeId("x"), at(1))
        self.assertIsNone(self.link.pull_registry(pull, REPLY_TIMEOUT_S))
        self.assertIn(pull, self.connection.sent)
        self.assertLessEqual(self.heartbeat_count(), 1)

    def test_a_request_with_an_immediate_reply_shortens_the_interval(self) -> None:
        self.assertFalse(self.link.request_reach(member(0).daemon, REPLY_TIMEOUT_S))
        requests = [each for each in self.connection.sent if type(each) is ReachRequest]
        self.assertEqual(len(requests), 1)
        self.assertGreaterEqual(
            self.heartbeat_count(), math.floor(REPLY_TIMEOUT_S / HEARTBEAT_S) - 1
        )


class UnsendableFrame:
    """A frame that can't be encoded."""


class BrokenConnection(SilentConnection):
    """A connection on which one frame can't be encoded and one can't be handled."""

    def __init__(self, received: list[Frame]) -> None:
        super().__init__()
        self._received = received

    def send(self, frame: Frame) -> None:
        """Raises for a frame that can't be encoded, and records the others."""
        if isinstance(frame, UnsendableFrame):
            raise UnicodeEncodeError("utf-8", "\ud800", 0, 1, "surrogates not allowed")
        super().send(frame)

    def receive(self) -> Frame | None:
        """Returns the prepared frames, then waits."""
        return self._received.pop() if self._received else super().receive()


class CountingConnector:
    """Returns a new connection from every dial."""

    def __init__(self, received: list[Frame]) -> None:
        self._received = received
        self.connections: list[BrokenConnection] = []

    def dial(self, address: Address) -> BrokenConnection:
        """Returns a connection."""
        self.connections.append(BrokenConnection(self._received))
        return self.connections[-1]


class UnexpectedErrorTest(VirtualTimeTestCase):
    """An unexpected error ends one connection and not the link.

    Otherwise one odd frame would leave the peer unreachable for good.
    """

    def make(self, *received: Frame) -> tuple[PeerLink, CountingConnector]:
        """Returns a link to a peer that sends these frames."""
        roster, connector = roster_of(2), CountingConnector(list(received))
        link = PeerLink(
            Address("127.0.0.1:1"),
            cast(PeerConnector, connector),
            roster,
            cast(Gossip, EmptyGossip()),
            HEARTBEAT_S,
        )
        self.addCleanup(link.close)
        return link, connector

    def check_dials_again(self, link: PeerLink, connector: CountingConnector) -> None:
        """Checks that a frame goes out on a second connection."""
        tasks.sleep(5.0)
        link.request_reach(member(0).daemon, REPLY_TIMEOUT_S)
        sent = [frame for each in connector.connections for frame in each.sent]
        self.assertTrue(any(isinstance(frame, ReachRequest) for frame in sent))
        self.assertGreater(len(connector.connections), 1)

    def test_a_frame_that_cannot_be_encoded(self) -> None:
        link, connector = self.make()
        with self.assertLogs("lavendertide.fleet.peer_link", "ERROR"):
            link.send(cast(Frame, UnsendableFrame()))
            tasks.sleep(0.1)
        self.check_dials_again(link, connector)

    def test_a_frame_that_cannot_be_handled(self) -> None:
        # This gossip handles no replies.
        link, connector = self.make(Heartbeat(1, (), cast(Any, 1)))
        with self.assertLogs("lavendertide.fleet.peer_link", "ERROR"):
            link.send(ReachRequest(ExchangeId("x"), member(0).daemon))
            tasks.sleep(0.1)
        self.check_dials_again(link, connector)


class ClosedConnection(SilentConnection):
    """A connection to a peer that has replied and closed; writes fail from then on.

    Its replies are read a little later than the next write fails.
    """

    def __init__(self, replies: list[Frame]) -> None:
        super().__init__()
        self._replies = replies
        self._requested = tasks.Signal()

    def send(self, frame: Frame) -> None:
        """Accepts frames until a request was among them."""
        if self._requested.is_set:
            raise ConnectionResetError
        super().send(frame)
        if isinstance(frame, SubRequests):
            self._requested.set()

    def receive(self) -> Frame | None:
        """Returns the replies, then none."""
        if not self._replies:
            return None
        self._requested.wait()
        tasks.sleep(1.5 * HEARTBEAT_S)
        return self._replies.pop()


class LastRepliesTest(VirtualTimeTestCase):
    """What a peer has replied before its end is delivered.

    Guards against sub-requests that are taken for lost because a write has failed
    before their replies were read.
    """

    def reply_of(self, connection: SilentConnection) -> SubReply | None:
        """Relays a sub-request on a connection; returns the reply."""
        link = PeerLink(
            Address("127.0.0.1:1"),
            cast(PeerConnector, SingleConnectionConnector(connection)),
            roster_of(2),
            cast(Gossip, EmptyGossip()),
            HEARTBEAT_S,
        )
        self.addCleanup(link.close)
        inbox: tasks.Mailbox[SubReply] = tasks.Mailbox()
        link.relay(SUB_REQUEST, inbox)
        return inbox.receive(REPLY_TIMEOUT_S)

    def test_a_reply_that_has_arrived_is_delivered(self) -> None:
        declined = Declined(SUB_REQUEST.attempt, DeclineReason.SHED)
        reply = self.reply_of(ClosedConnection([SubReplies((declined,))]))
        self.assertEqual(reply, declined)

    def test_without_a_reply_the_sub_request_is_lost(self) -> None:
        reply = self.reply_of(ClosedConnection([Cancels(())]))
        self.assertEqual(reply, Lost(SUB_REQUEST.attempt, LossReason.PEER_LOST))
