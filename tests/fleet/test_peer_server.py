"""Tests of `lavendertide.fleet.peer_server` without a network."""

import socket
from typing import cast

from lavendertide.fleet.peer_connection import (
    HANDSHAKE_S,
    PeerConnection,
    PeerConnector,
)
from lavendertide.fleet.peer_server import (
    OUTBOX_MAX,
    UNPROVEN_MAX,
    FrameHandler,
    Outbox,
    PeerServer,
)
from lavendertide.messages import Cancels, Frame, MemberRecord, SubReply
from lavendertide.runtime import tasks
from tests.fleet.members import member, roster_of
from tests.virtual_time import VirtualTimeTestCase


class OneFramePeer:
    """A peer that sends one frame and then waits."""

    def __init__(self) -> None:
        self.frames: list[Frame] = [Cancels(())]
        self.is_closed = False

    @property
    def member(self) -> MemberRecord:
        """The member at the other end."""
        return member(1)

    def receive(self) -> Frame | None:
        """Returns the frame, then waits for longer than the tests run."""
        if self.frames:
            return self.frames.pop()
        tasks.sleep(60.0)
        return None

    def close(self) -> None:
        """Records the end of the connection."""
        self.is_closed = True


class FailingHandler:
    """Fails to handle frames, or to write replies."""

    def __init__(self, fails_to_write: bool) -> None:
        self._fails_to_write = fails_to_write

    def handle(self, peer: PeerConnection, frame: Frame, outbox: Outbox) -> None:
        """Replies with the frame, or fails."""
        if not self._fails_to_write:
            raise KeyError("unexpected")
        outbox.send(frame)

    def write(
        self, peer: PeerConnection, outbox: Outbox, first: SubReply | Frame
    ) -> None:
        """Fails like a frame that can't be encoded."""
        raise UnicodeEncodeError("utf-8", "\ud800", 0, 1, "surrogates not allowed")


class OnePeerConnector:
    """Accepts each connection as that of one peer."""

    def __init__(self, peer: OneFramePeer) -> None:
        self._peer = peer

    def accept(self, connection: socket.socket) -> OneFramePeer:
        """Returns the peer."""
        return self._peer


class OneConnectionListener:
    """A listener with one connection, that is closed afterwards."""

    def __init__(self) -> None:
        self._connections = [socket.socket()]

    def accept(self) -> tuple[socket.socket, str]:
        """Returns the connection, then fails like a closed listener."""
        if not self._connections:
            raise OSError(22, "Invalid argument")
        return self._connections.pop(), ""


class SilentConnector:
    """Accepts connections that never prove the fleet's key."""

    def accept(self, connection: socket.socket) -> None:
        """Waits for longer than the tests run."""
        tasks.sleep(60.0)


class ManyConnectionsListener:
    """A listener with some connections, that is closed afterwards."""

    def __init__(self, count: int) -> None:
        self.connections = [socket.socket() for _ in range(count)]
        self._left = list(self.connections)

    def accept(self) -> tuple[socket.socket, str]:
        """Returns the next connection; fails like a closed listener after the last."""
        if not self._left:
            raise OSError(22, "Invalid argument")
        return self._left.pop(0), ""


class StuckHandler:
    """Replies to a frame with more than a peer may leave unread."""

    def handle(self, peer: PeerConnection, frame: Frame, outbox: Outbox) -> None:
        """Puts many replies into the outbox."""
        for _ in range(OUTBOX_MAX):
            outbox.send(frame)

    def write(
        self, peer: PeerConnection, outbox: Outbox, first: SubReply | Frame
    ) -> None:
        """Waits like a connection whose peer reads nothing."""
        tasks.sleep(60.0)


class SlowPeersTest(VirtualTimeTestCase):
    """Guards against peers that take memory or descriptors without end."""

    def test_a_peer_that_sends_without_reading_is_closed(self) -> None:
        peer = OneFramePeer()
        server = PeerServer(
            cast(PeerConnector, OnePeerConnector(peer)),
            roster_of(2),
            cast(FrameHandler, StuckHandler()),
        )
        with self.assertLogs("lavendertide.fleet.peer_server", "WARNING"):
            server.serve(cast(socket.socket, OneConnectionListener()))
            tasks.sleep(0.1)
        self.assertTrue(peer.is_closed)

    def test_connections_that_prove_no_key_are_bounded_in_number_and_time(self) -> None:
        listener = ManyConnectionsListener(UNPROVEN_MAX + 1)
        server = PeerServer(
            cast(PeerConnector, SilentConnector()),
            roster_of(2),
            cast(FrameHandler, StuckHandler()),
        )
        server.serve(cast(socket.socket, listener))
        *kept, refused = listener.connections
        self.assertEqual(refused.fileno(), -1)
        self.assertTrue(all(each.fileno() != -1 for each in kept))
        tasks.sleep(HANDSHAKE_S + 0.1)
        self.assertTrue(all(each.fileno() == -1 for each in kept))

    def test_connections_are_accepted_up_to_the_descriptors_for_peers(self) -> None:
        listener = ManyConnectionsListener(3)
        server = PeerServer(
            cast(PeerConnector, SilentConnector()),
            roster_of(2),
            cast(FrameHandler, StuckHandler()),
            lambda: 2,
        )
        server.serve(cast(socket.socket, listener))
        self.assertEqual(
            [each.fileno() == -1 for each in listener.connections], [False, False, True]
        )
        tasks.sleep(HANDSHAKE_S + 0.1)
        more = ManyConnectionsListener(1)
        server.serve(cast(socket.socket, more))
        self.assertNotEqual(more.connections[0].fileno(), -1)
        tasks.sleep(HANDSHAKE_S + 0.1)


class UnexpectedErrorTest(VirtualTimeTestCase):
    """An unexpected error closes the connection, so that the peer dials again.

    Otherwise the peer would go on sending frames that nobody reads, or wait for replies
    that nobody writes.
    """

    def test_the_connection_is_closed(self) -> None:
        for fails_to_write in (False, True):
            with self.subTest(fails_to_write=fails_to_write):
                peer = OneFramePeer()
                server = PeerServer(
                    cast(PeerConnector, OnePeerConnector(peer)),
                    roster_of(2),
                    cast(FrameHandler, FailingHandler(fails_to_write)),
                )
                with self.assertLogs("lavendertide.runtime.tasks", "ERROR"):
                    server.serve(cast(socket.socket, OneConnectionListener()))
                    tasks.sleep(0.1)
                self.assertTrue(peer.is_closed)
