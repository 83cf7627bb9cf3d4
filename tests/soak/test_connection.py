"""Tests of `soak.connection` with a scripted server."""

import socket
import threading
import unittest
from collections.abc import Callable

from soak.connection import CallerConnection, ConnectionEnded, Request

TIMEOUT_S = 5.0
HEADERS = {"Host": "shop.example"}
GET = Request("GET", "/lookups/1", HEADERS)
BODY = (b"one", b"two")


def reply(body: bytes, status: int = 200, further: bytes = b"") -> bytes:
    """Returns a response as bytes."""
    head = f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n".encode()
    return head + further + b"\r\n" + body


class CallerConnectionTest(unittest.TestCase):
    """Guards against a caller that sends or reads otherwise than it claims."""

    def connect(self, serve: Callable[[socket.socket], None]) -> CallerConnection:
        """Returns a connection to a server that serves it once."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def accept() -> None:
            accepted, _ = listener.accept()
            with accepted:
                serve(accepted)

        thread = threading.Thread(target=accept)
        thread.start()
        self.addCleanup(thread.join, TIMEOUT_S)
        connection = CallerConnection(listener.getsockname()[1], TIMEOUT_S)
        self.addCleanup(connection.close)
        return connection

    def test_chunks_and_a_kept_connection(self) -> None:
        received: list[bytes] = []

        def serve(accepted: socket.socket) -> None:
            for number in (b"1", b"2"):
                received.append(read_until(accepted, b"0\r\n\r\n"))
                accepted.sendall(reply(number))

        connection = self.connect(serve)
        request = Request("POST", "/orders/1", HEADERS, BODY)
        replies = [connection.exchange(request) for _ in range(2)]
        self.assertEqual([each.body for each in replies], [b"1", b"2"])
        self.assertFalse(replies[0].is_last)
        self.assertIn(b"3\r\none\r\n3\r\ntwo\r\n", received[1])

    def test_a_body_is_sent_after_the_interim_response(self) -> None:
        received: list[bytes] = []

        def serve(accepted: socket.socket) -> None:
            received.append(read_until(accepted, b"\r\n\r\n"))
            accepted.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
            received.append(read_until(accepted, b"0\r\n\r\n"))
            accepted.sendall(reply(b"done"))

        connection = self.connect(serve)
        request = Request("POST", "/orders/1", HEADERS, BODY, expects_continue=True)
        self.assertEqual(connection.exchange(request).body, b"done")
        self.assertIn(b"100-continue", received[0])
        self.assertNotIn(b"one", received[0])

    def test_a_body_that_the_server_refuses(self) -> None:
        def serve(accepted: socket.socket) -> None:
            read_until(accepted, b"\r\n\r\n")
            accepted.sendall(reply(b"", 503))

        connection = self.connect(serve)
        request = Request("POST", "/orders/1", HEADERS, BODY, expects_continue=True)
        refused = connection.exchange(request)
        self.assertEqual((refused.status, refused.is_last), (503, True))

    def test_pipelined_requests(self) -> None:
        def serve(accepted: socket.socket) -> None:
            data = read_until(accepted, b"\r\n\r\n")
            while data.count(b"\r\n\r\n") < 2:
                data += read_until(accepted, b"\r\n\r\n")
            accepted.sendall(reply(b"1") + reply(b"2"))

        connection = self.connect(serve)
        bodies = [each.body for each in connection.pipeline([GET, GET])]
        self.assertEqual(bodies, [b"1", b"2"])

    def test_a_pipelined_request_behind_the_last_response(self) -> None:
        def serve(accepted: socket.socket) -> None:
            read_until(accepted, b"\r\n\r\n")
            accepted.sendall(reply(b"1", further=b"Connection: close\r\n"))

        connection = self.connect(serve)
        replies = list(connection.pipeline([GET, GET]))
        self.assertEqual([each.is_last for each in replies], [True])

    def test_an_ended_sending_side(self) -> None:
        def serve(accepted: socket.socket) -> None:
            while accepted.recv(1_024):
                pass
            accepted.sendall(reply(b"after the end"))

        connection = self.connect(serve)
        found = connection.exchange_and_end_sending(GET)
        self.assertEqual(found.body, b"after the end")

    def test_a_response_that_is_not_complete(self) -> None:
        for data in (b"", reply(b"whole")[:-1]):

            def serve(accepted: socket.socket, data: bytes = data) -> None:
                read_until(accepted, b"\r\n\r\n")
                accepted.sendall(data)

            with self.assertRaises(ConnectionEnded):
                self.connect(serve).exchange(GET)

    def test_a_closed_connection(self) -> None:
        may_close, is_closed = threading.Event(), threading.Event()

        def serve(accepted: socket.socket) -> None:
            may_close.wait(TIMEOUT_S)
            accepted.shutdown(socket.SHUT_WR)
            is_closed.set()

        connection = self.connect(serve)
        self.assertFalse(connection.is_closed)
        may_close.set()
        is_closed.wait(TIMEOUT_S)
        self.assertTrue(connection.is_closed)


def read_until(accepted: socket.socket, end: bytes) -> bytes:
    """Returns the data up to a mark, and what came with it."""
    data = b""
    while end not in data:
        received = accepted.recv(65_536)
        if not received:
            break
        data += received
    return data
