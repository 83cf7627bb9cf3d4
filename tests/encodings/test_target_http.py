"""Tests of `lavendertide.encodings.target_http`."""

import json
import socket
import threading
import unittest
from collections.abc import Callable
from unittest import mock

from bench.codec import build_frame
from lavendertide.encodings.target_http import HttpTargetExchange
from lavendertide.ids import (
    Address,
    FailureDomain,
    IndexName,
    OwnerId,
    Region,
    TargetId,
)
from lavendertide.messages import Answered, Declined, DeclineReason, LossReason, Lost
from lavendertide.targets.place import TargetPlace
from standins.target import expected_reply

TIMEOUT_S = 5.0
SHORT_TIMEOUT_S = 0.05
REQUEST = build_frame(1).items[0]
Behaviour = Callable[[socket.socket], None]


def reply_once(connection: socket.socket) -> None:
    """Reads a request and sends a valid reply."""
    head, _, body = connection.recv(65_536).partition(b"\r\n\r\n")
    while len(body) < int(_content_length(head)):
        body += connection.recv(65_536)
    reply = json.dumps(expected_reply(json.loads(body))).encode()
    length = f"Content-Length: {len(reply)}".encode()
    connection.sendall(b"HTTP/1.1 200 OK\r\n" + length + b"\r\n\r\n" + reply)


def _content_length(head: bytes) -> bytes:
    lines = head.lower().split(b"\r\n")
    return next(line for line in lines if line.startswith(b"content-length"))[15:]


def read_and_close(connection: socket.socket) -> None:
    """Reads a request and closes the connection, as a crash does."""
    connection.recv(65_536)


def read_and_wait(connection: socket.socket) -> None:
    """Reads a request and sends nothing until the other side closes."""
    while connection.recv(65_536):
        pass


def send_part_and_close(connection: socket.socket) -> None:
    """Sends less than the announced length and closes, as a crash does."""
    connection.recv(65_536)
    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")


class HttpTargetExchangeTest(unittest.TestCase):
    """An exchange reports whether a sub-request ran, did not run, or may have run.

    A request that may have run but is reported as not run could be executed twice.
    """

    def setUp(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        host, port = self.listener.getsockname()
        self.place = TargetPlace(
            target=TargetId("t"),
            owner=OwnerId("o"),
            index=IndexName("i"),
            address=Address(f"{host}:{port}"),
            region=Region("r"),
            failure_domain=FailureDomain("d"),
            slots=1,
            connections=2,
        )
        self.exchange = HttpTargetExchange(self.place)
        self.addCleanup(self.exchange.close)

    def serve(self, *behaviours: Behaviour) -> threading.Thread:
        """Accepts one connection for each behaviour, one after the other."""

        def accept_all() -> None:
            for behaviour in behaviours:
                connection, _ = self.listener.accept()
                with connection:
                    behaviour(connection)

        server = threading.Thread(target=accept_all, daemon=True)
        server.start()
        return server

    def test_a_valid_reply_is_decoded(self) -> None:
        self.serve(reply_once)
        reply = self.exchange.run(REQUEST, TIMEOUT_S)
        self.assertIsInstance(reply, Answered)

    def test_a_refused_connection_means_not_run(self) -> None:
        self.listener.close()
        reply = self.exchange.run(REQUEST, TIMEOUT_S)
        self.assertEqual(reply, Declined(REQUEST.attempt, DeclineReason.UNREACHABLE))

    def test_a_crash_during_the_request_means_unknown(self) -> None:
        self.serve(read_and_close)
        reply = self.exchange.run(REQUEST, TIMEOUT_S)
        self.assertEqual(reply, Lost(REQUEST.attempt, LossReason.TARGET_CLOSED))

    def test_a_crash_during_the_reply_means_unknown(self) -> None:
        self.serve(send_part_and_close)
        reply = self.exchange.run(REQUEST, TIMEOUT_S)
        self.assertEqual(reply, Lost(REQUEST.attempt, LossReason.TARGET_CLOSED))

    def test_a_request_is_sent_in_one_write(self) -> None:
        self.serve(read_and_close)
        writes: list[bytes] = []
        write_all = socket.socket.sendall

        def count_write(connection: socket.socket, data: bytes) -> None:
            writes.append(data)
            write_all(connection, data)

        with mock.patch.object(socket.socket, "sendall", count_write):
            self.exchange.run(REQUEST, TIMEOUT_S)
        self.assertEqual(len(writes), 1)

    def test_silence_means_unknown(self) -> None:
        self.serve(read_and_wait)
        reply = self.exchange.run(REQUEST, SHORT_TIMEOUT_S)
        self.assertEqual(reply, Lost(REQUEST.attempt, LossReason.TIMED_OUT))

    def test_a_connection_closed_while_idle_is_reopened(self) -> None:
        first = self.serve(reply_once)
        self.exchange.run(REQUEST, TIMEOUT_S)
        first.join(TIMEOUT_S)
        self.serve(reply_once)
        reply = self.exchange.run(REQUEST, TIMEOUT_S)
        self.assertIsInstance(reply, Answered)
