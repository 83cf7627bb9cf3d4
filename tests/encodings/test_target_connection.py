"""Tests of `lavendertide.encodings.target_connection`, on real connections."""

import contextlib
import socket
import time
import unittest
from collections.abc import Callable
from concurrent.futures import Future
from typing import Final

from lavendertide.encodings.target_connection import (
    ExchangeFailure,
    HttpReply,
    TargetConnection,
)
from lavendertide.ids import Address
from tests.runtime.loop_thread import LoopThread

LIMIT_S: Final = 0.4
BUSY_AFTER_S: Final = 0.15
BUSY_S: Final = 0.8
ARRIVES_AFTER_S: Final = 0.1
PIECE_PAUSE_S: Final = 0.05
BODY: Final = b"found"
HEAD: Final = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(BODY)
REPLY: Final = HEAD + b"\r\n" + BODY


class TargetConnectionTestCase(unittest.TestCase):
    """Runs exchanges in an event loop of its own, with a target on a socket."""

    def setUp(self) -> None:
        self.loop = self.enterContext(LoopThread())
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        host, port = self.listener.getsockname()
        self.connection = TargetConnection(Address(f"{host}:{port}"), 1_000)
        self.addCleanup(self.connection.close)

    def start_exchange(self) -> Future[HttpReply | ExchangeFailure]:
        """Starts an exchange on the connection."""
        return self.loop.start(
            lambda: self.connection.exchange("POST", "/v1/run", b"{}", LIMIT_S)
        )

    def accept(self) -> socket.socket:
        """Accepts the connection and reads a request."""
        target, _ = self.listener.accept()
        self.addCleanup(target.close)
        target.recv(65_536)
        return target


class BusyProcessTest(TargetConnectionTestCase):
    """A reply that has arrived is used, although the process was busy at its limit.

    Guards against replies of targets that are taken for lost. A query would lack the
    shard, and an execution that has run would be unknown.
    """

    def exchange_beside_stall(
        self, act: Callable[[socket.socket], object]
    ) -> HttpReply | ExchangeFailure:
        """Runs an exchange; the target acts while the process is busy at the limit."""
        result = self.start_exchange()
        target = self.accept()
        time.sleep(BUSY_AFTER_S)
        self.loop.stall(BUSY_S)
        time.sleep(ARRIVES_AFTER_S)
        act(target)
        return result.result(10.0)

    def test_a_reply_is_used(self) -> None:
        reply = self.exchange_beside_stall(lambda target: target.sendall(REPLY))
        self.assertEqual(reply, HttpReply(200, BODY))

    def test_a_reply_in_pieces_is_used(self) -> None:
        def send_pieces(target: socket.socket) -> None:
            for piece in (REPLY[:9], REPLY[9:40], REPLY[40:]):
                target.sendall(piece)
                time.sleep(PIECE_PAUSE_S)

        self.assertEqual(self.exchange_beside_stall(send_pieces), HttpReply(200, BODY))

    def test_a_closed_connection_is_noticed(self) -> None:
        def close(target: socket.socket) -> None:
            target.close()

        self.assertIs(self.exchange_beside_stall(close), ExchangeFailure.CLOSED)

    def test_nothing_has_arrived(self) -> None:
        failure = self.exchange_beside_stall(lambda _: None)
        self.assertIs(failure, ExchangeFailure.TIMED_OUT)


class TimeLimitTest(TargetConnectionTestCase):
    """An exchange has one time limit, however its reply arrives.

    A limit for each byte would let a target in trouble hold its slot without end.
    """

    def test_a_trickled_reply_ends_at_the_limit(self) -> None:
        for name, piece in (("head", b"H"), ("body", HEAD + b"\r\n")):
            with self.subTest(name):
                result = self.start_exchange()
                target = self.accept()
                began_s = time.monotonic()
                with contextlib.suppress(OSError):
                    while not result.done():
                        target.sendall(piece)
                        piece = piece[-1:]
                        time.sleep(PIECE_PAUSE_S if name == "head" else LIMIT_S / 4)
                self.assertIs(result.result(), ExchangeFailure.TIMED_OUT)
                self.assertLess(time.monotonic() - began_s, 2 * LIMIT_S)

    def test_a_reply_that_ends_with_its_connection_is_read(self) -> None:
        result = self.start_exchange()
        target = self.accept()
        target.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + BODY[:2])
        time.sleep(PIECE_PAUSE_S)
        target.sendall(BODY[2:])
        target.close()
        expected = HttpReply(200, BODY, is_delimited=False)
        self.assertEqual(result.result(10.0), expected)

    def test_a_connection_is_used_again(self) -> None:
        result = self.start_exchange()
        target = self.accept()
        target.sendall(REPLY)
        self.assertEqual(result.result(10.0), HttpReply(200, BODY))
        result = self.start_exchange()
        target.recv(65_536)
        target.sendall(REPLY)
        self.assertEqual(result.result(10.0), HttpReply(200, BODY))
