"""Tests of `lavendertide.fleet.peer_connection`, over loopback."""

import socket
import threading
import unittest
from dataclasses import replace
from unittest import mock

from lavendertide.encodings import peer_socket
from lavendertide.encodings.peer_socket import PeerSocket
from lavendertide.fleet.link_faults import LinkFaults
from lavendertide.fleet.peer_connection import PeerConnection, PeerConnector
from lavendertide.ids import Address, AttemptId, ExchangeId
from lavendertide.messages import (
    Cancels,
    Challenge,
    Frame,
    Hello,
    ReachReply,
    RosterPush,
)
from lavendertide.runtime import sockets, tasks
from tests.fleet.members import member, roster_of

KEY = "fleet-key"
NOTICED_WITHIN_S = 10
RECORDS = RosterPush(tuple(member(number) for number in range(50)))


class UncompressedSocket(PeerSocket):
    """The stream of an older release that can't read compressed frames."""

    def send(self, frame: Frame, is_compressed: bool = False) -> None:
        """Sends a frame, declaring that compressed frames are not read."""
        match frame:
            case Hello() | Challenge():
                frame = replace(frame, accepts_compressed=False)
        super().send(frame, is_compressed)


class DeadConnectionTest(unittest.TestCase):
    """Guards against a link that goes silent for good and is never dialled again.

    Heartbeats on it would stay unanswered while the peer is well. The options are
    checked, as a connection on loopback can't be made to go silent.
    """

    def test_the_system_notices_it_on_both_sides_in_bounded_time(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            dialled = socket.create_connection(listener.getsockname())
            accepted, _ = listener.accept()
        for connection in (dialled, accepted):
            self.addCleanup(PeerSocket(connection).close)
            keeps_alive = connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            self.assertTrue(keeps_alive)
            idle_s, interval_s, probes, unacknowledged_ms = (
                connection.getsockopt(socket.IPPROTO_TCP, option)
                for option in (
                    socket.TCP_KEEPIDLE,
                    socket.TCP_KEEPINTVL,
                    socket.TCP_KEEPCNT,
                    socket.TCP_USER_TIMEOUT,
                )
            )
            self.assertLessEqual(idle_s + interval_s * probes, NOTICED_WITHIN_S)
            self.assertLessEqual(unacknowledged_ms, 1_000 * NOTICED_WITHIN_S)


class SlowPeerTest(unittest.TestCase):
    """Guards against a peer that reads a few bytes now and then.

    Each of them started the time limit of a write again, if there was one at all, so
    that the frames for the peer stayed in memory.
    """

    def test_its_connection_fails_in_time(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            dialled = socket.create_connection(listener.getsockname())
            accepted, _ = listener.accept()
        self.addCleanup(accepted.close)
        peer = PeerSocket(dialled)
        self.addCleanup(peer.close)
        # What both systems accept counts as progress.
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        dialled.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        ended = threading.Event()

        def read() -> None:
            while not ended.wait(0.01):
                accepted.recv(500)

        reading = threading.Thread(target=read)
        reading.start()
        self.addCleanup(reading.join)
        self.addCleanup(ended.set)
        with (
            mock.patch.object(peer_socket, "WRITE_BASE_S", 0.3),
            self.assertRaises(TimeoutError),
        ):
            for _ in range(10_000):
                peer.send(RECORDS)


class PeerConnectionTest(unittest.TestCase):
    """Control frames are compressed if the peer can read that; data never is."""

    def connect(
        self, dialler: type[PeerSocket], acceptor: type[PeerSocket]
    ) -> tuple[PeerConnection, PeerConnection]:
        """Returns both ends of a connection between two releases."""
        listener = sockets.listen(Address("127.0.0.1:0"))
        self.addCleanup(listener.close)
        accepting = PeerConnector(KEY, roster_of(2), LinkFaults(), acceptor)
        dialling = PeerConnector(KEY, roster_of(2), LinkFaults(), dialler)
        accepted: tasks.Mailbox[PeerConnection | None] = tasks.Mailbox()
        tasks.spawn(lambda: accepted.send(accepting.accept(listener.accept()[0])))
        dialled = dialling.dial(Address(f"127.0.0.1:{listener.getsockname()[1]}"))
        other = accepted.receive(2.0)
        assert dialled is not None and other is not None
        self.addCleanup(dialled.close)
        self.addCleanup(other.close)
        return dialled, other

    def exchanged_bytes(
        self, ends: tuple[PeerConnection, PeerConnection], sent: Frame
    ) -> int:
        """Sends a frame both ways; returns the larger number of bytes sent."""
        sizes = []
        for here, there in (ends, ends[::-1]):
            before = here.bytes_sent
            here.send(sent)
            self.assertEqual(there.receive(), sent)
            sizes.append(here.bytes_sent - before)
        return max(sizes)

    def test_control_frames_shrink_between_new_releases(self) -> None:
        plain = self.exchanged_bytes(
            self.connect(UncompressedSocket, UncompressedSocket), RECORDS
        )
        ends = self.connect(PeerSocket, PeerSocket)
        self.assertLess(self.exchanged_bytes(ends, RECORDS), plain / 3)

    def test_frames_to_an_older_release_are_not_compressed(self) -> None:
        for dialler, acceptor in (
            (PeerSocket, UncompressedSocket),
            (UncompressedSocket, PeerSocket),
        ):
            with self.subTest(dialler=dialler, acceptor=acceptor):
                self.exchanged_bytes(self.connect(dialler, acceptor), RECORDS)

    def test_data_between_compressed_frames_is_not_compressed(self) -> None:
        cancels = Cancels(tuple(AttemptId("q.1") for _ in range(100)))
        ends = self.connect(PeerSocket, PeerSocket)
        self.exchanged_bytes(ends, ReachReply(ExchangeId("x"), True))
        self.assertGreater(self.exchanged_bytes(ends, cancels), 300)
        self.exchanged_bytes(ends, ReachReply(ExchangeId("y"), True))
