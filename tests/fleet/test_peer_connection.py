"""Tests of `lavendertide.fleet.peer_connection`, over loopback."""

import contextlib
import socket
import threading
import time
import unittest
from dataclasses import replace
from unittest import mock

from lavendertide.encodings import peer_socket
from lavendertide.encodings.compression import Deflater
from lavendertide.encodings.peer_frames import COMPRESSED_FLAG, LENGTH
from lavendertide.encodings.peer_socket import PeerSocket
from lavendertide.fleet import peer_connection
from lavendertide.fleet.link_faults import LinkFaults
from lavendertide.fleet.peer_connection import (
    HANDSHAKE_FRAME_MAX_BYTES,
    PeerConnection,
    PeerConnector,
)
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
from tests.runtime.loop_thread import LoopThread

KEY = "fleet-key"
NOTICED_WITHIN_S = 10
LIMIT_S = 0.4
BUSY_AFTER_S = 0.15
BUSY_S = 0.8
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


class UnprovenPeerTest(unittest.TestCase):
    """Guards against what a peer can take before it has proved the fleet's key."""

    def setUp(self) -> None:
        self.listener = sockets.listen(Address("127.0.0.1:0"))
        self.addCleanup(self.listener.close)
        self.address = Address(f"127.0.0.1:{self.listener.getsockname()[1]}")
        self.connector = PeerConnector(KEY, roster_of(2), LinkFaults(), PeerSocket)

    def test_a_long_frame_is_refused_by_its_length(self) -> None:
        """Otherwise each connection holds 8 MiB, and its decoded records far more."""
        for flag in (0, COMPRESSED_FLAG):
            with self.subTest(flag=flag):
                results: tasks.Mailbox[PeerConnection | None] = tasks.Mailbox()

                def accept(into: tasks.Mailbox[PeerConnection | None]) -> None:
                    into.send(self.connector.accept(self.listener.accept()[0]))

                tasks.spawn(accept, results)
                dialled = sockets.connect(self.address, 1.0)
                self.addCleanup(dialled.close)
                size = HANDSHAKE_FRAME_MAX_BYTES + 1
                dialled.sendall(LENGTH.pack(size | flag))
                # Without a refusal it waits for the rest of the frame.
                dialled.settimeout(0.5)
                self.assertEqual(dialled.recv(1), b"")
                self.assertIsNone(results.receive(1.0))

    def test_a_frame_that_expands_is_refused(self) -> None:
        """Otherwise a few compressed bytes become 8 MiB."""
        results: tasks.Mailbox[PeerConnection | None] = tasks.Mailbox()
        tasks.spawn(
            lambda: results.send(self.connector.accept(self.listener.accept()[0]))
        )
        dialled = sockets.connect(self.address, 1.0)
        self.addCleanup(dialled.close)
        body = Deflater().compress(bytes(HANDSHAKE_FRAME_MAX_BYTES + 1))
        with self.assertLogs("lavendertide.encodings.peer_socket", "WARNING") as logs:
            dialled.sendall(LENGTH.pack(len(body) | COMPRESSED_FLAG) + body)
            self.assertEqual(dialled.recv(1), b"")
        self.assertIn("expands", logs.records[0].__dict__["problem"])
        self.assertIsNone(results.receive(1.0))

    def test_a_dial_ends_although_bytes_arrive_one_by_one(self) -> None:
        """Otherwise the link to that address is never dialled again."""
        is_dialled: tasks.Mailbox[bool] = tasks.Mailbox()

        def drip(accepted: socket.socket) -> None:
            accepted.sendall(LENGTH.pack(HANDSHAKE_FRAME_MAX_BYTES))
            with contextlib.suppress(OSError):
                for _ in range(400):
                    accepted.sendall(b"x")
                    tasks.sleep(0.02)

        with mock.patch.object(peer_connection, "HANDSHAKE_S", 0.2):
            tasks.spawn(
                lambda: is_dialled.send(self.connector.dial(self.address) is not None)
            )
            accepted, _ = self.listener.accept()
            self.addCleanup(accepted.close)
            tasks.spawn(drip, accepted)
            # The bytes go on for 8 s.
            self.assertIs(is_dialled.receive(3.0), False)


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


class BusyProcessTest(unittest.TestCase):
    """A handshake that has arrived is read, although the process was busy meanwhile.

    Guards against links that break after a stall, so that the sub-requests on them are
    declined.
    """

    def setUp(self) -> None:
        self.loop, self.peer_loop = (self.enterContext(LoopThread()) for _ in range(2))
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.enterContext(
            mock.patch.object(peer_connection, "HANDSHAKE_TIMEOUT_S", LIMIT_S)
        )

    def connector(self) -> PeerConnector:
        """Returns a connector of a member."""
        return PeerConnector(KEY, roster_of(2), LinkFaults(), PeerSocket)

    def test_a_reply_to_a_dial(self) -> None:
        host, port = self.listener.getsockname()
        address = Address(f"{host}:{port}")
        dialled = self.loop.start(lambda: self.connector().dial(address))
        accepted, _ = self.listener.accept()
        time.sleep(BUSY_AFTER_S)
        self.loop.stall(BUSY_S)
        time.sleep(BUSY_AFTER_S)
        self.peer_loop.start(lambda: self.connector().accept(accepted))
        connection = dialled.result(10.0)
        assert connection is not None
        self.addCleanup(connection.close)

    def test_a_silent_peer_is_closed(self) -> None:
        host, port = self.listener.getsockname()
        address = Address(f"{host}:{port}")
        dialled = self.loop.start(lambda: self.connector().dial(address))
        began_s = time.monotonic()
        self.assertIsNone(dialled.result(10.0))
        self.assertLess(time.monotonic() - began_s, 10 * LIMIT_S)
