"""Tests of `lavendertide.daemon.guarded_server`, on connections of this machine."""

import socket
import time
import unittest
from collections.abc import Iterable
from typing import Any, Final

from lavendertide.daemon.guarded_server import GuardedServer
from lavendertide.ids import Address
from lavendertide.overload.caller_bounds import CallerBounds
from lavendertide.runtime import sockets
from tests.runtime.loop_thread import LoopThread

CONNECTIONS_MAX: Final = 10
BUSY_S: Final = 0.3
REQUEST: Final = b"GET /x HTTP/1.1\r\nHost: shop.example\r\n\r\n"


def respond(_: dict[str, Any], start_response: Any) -> Iterable[bytes]:
    """Responds as a daemon that leaves."""
    start_response("200 OK", [("Content-Length", "2"), ("Connection", "close")])
    return [b"ok"]


class CloseTest(unittest.TestCase):
    """A server that is closed ends only connections without a request.

    Guards against requests that had arrived when a daemon ended its acceptance, and got
    neither an answer nor a refusal.
    """

    def setUp(self) -> None:
        self.loop = self.enterContext(LoopThread())
        listener = sockets.listen(Address("127.0.0.1:0"))
        self.address = listener.getsockname()
        self.server = self.loop.call(
            lambda: GuardedServer(listener, respond, CallerBounds(), CONNECTIONS_MAX)
        )

    def connect(self) -> socket.socket:
        """Returns a connection that has been used once."""
        caller = socket.create_connection(self.address, 10.0)
        self.addCleanup(caller.close)
        self.assertIn(b" 200 ", self.send(caller, REQUEST))
        return caller

    def send(self, caller: socket.socket, data: bytes) -> bytes:
        """Sends data; returns what is received next."""
        caller.sendall(data)
        return caller.recv(65_536)

    def close_when_busy(self) -> None:
        """Closes the server before it has noticed what arrives meanwhile."""
        time.sleep(BUSY_S)
        self.server.close()

    def test_a_request_that_was_not_noticed_yet_is_answered(self) -> None:
        caller = self.connect()
        closed = self.loop.start(self.close_when_busy)
        time.sleep(BUSY_S / 3)
        self.assertIn(b" 200 ", self.send(caller, REQUEST))
        closed.result(10.0)

    def test_a_request_whose_rest_arrives_later_is_answered(self) -> None:
        caller = self.connect()
        caller.sendall(REQUEST[:10])
        time.sleep(BUSY_S / 3)
        self.loop.call(self.server.close)
        self.assertIn(b" 200 ", self.send(caller, REQUEST[10:]))

    def test_a_connection_without_a_request_is_closed(self) -> None:
        caller = self.connect()
        self.loop.call(self.server.close)
        self.assertEqual(caller.recv(1), b"")

    def test_new_connections_are_refused(self) -> None:
        self.loop.call(self.server.close)
        with self.assertRaises(OSError):
            self.connect()
