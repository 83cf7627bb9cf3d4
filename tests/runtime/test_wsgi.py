"""Tests of `lavendertide.runtime.wsgi`, on connections of this machine."""

import contextlib
import io
import socket
import time
import unittest
from collections.abc import Iterable
from typing import Any, Final
from unittest import mock

from lavendertide.daemon.caller_guard import CallerGuard
from lavendertide.ids import Address
from lavendertide.overload.caller_bounds import CallerBounds
from lavendertide.runtime import sockets, tasks, wsgi
from tests.runtime.loop_thread import LoopThread

CONNECTIONS_MAX: Final = 10
LIMIT_S: Final = 0.4
BUSY_AFTER_S: Final = 0.15
BUSY_S: Final = 0.8
ARRIVES_AFTER_S: Final = 0.1
LONG_S: Final = 20.0
BODY: Final = b"found"
REQUEST: Final = (
    b"POST /x HTTP/1.1\r\nHost: lavender\r\nContent-Length: %d\r\n\r\n" % len(BODY)
) + BODY


def echo(environment: dict[str, Any], start_response: Any) -> Iterable[bytes]:
    """Responds with the body of the request."""
    body = environment["wsgi.input"].read()
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


class WsgiTestCase(unittest.TestCase):
    """Runs a server in an event loop of its own."""

    def setUp(self) -> None:
        self.loop = self.enterContext(LoopThread())
        self.bounds = CallerBounds()

    def connect(self, keep_alive_s: float) -> socket.socket:
        """Starts a server; returns a caller's connection to it."""
        listener = sockets.listen(Address("127.0.0.1:0"))
        guard = CallerGuard(self.bounds)
        arguments = (listener, echo, CONNECTIONS_MAX, keep_alive_s, guard)
        self.loop.call(lambda: tasks.spawn(wsgi.serve, *arguments))
        caller = socket.create_connection(listener.getsockname(), 10.0)
        self.addCleanup(caller.close)
        return caller

    def read_to_end(self, caller: socket.socket) -> bytes:
        """Returns what the caller receives until the connection is closed."""
        received = b""
        while data := caller.recv(65_536):
            received += data
        return received


class BusyProcessTest(WsgiTestCase):
    """What has arrived is served, although its limit passed while the process was busy.

    Guards against callers' whole requests that got neither an answer nor a refusal.
    """

    def send_beside_stall(self, caller: socket.socket, data: bytes) -> None:
        """Sends data while the process is busy beyond the limit."""
        time.sleep(BUSY_AFTER_S)
        self.loop.stall(BUSY_S)
        time.sleep(ARRIVES_AFTER_S)
        caller.sendall(data)

    def assert_answered(self, caller: socket.socket) -> None:
        """Checks that the caller gets its response."""
        head, _, body = caller.recv(65_536).partition(b"\r\n\r\n")
        self.assertIn(b" 200 ", head.partition(b"\r\n")[0])
        self.assertEqual(body, BODY)

    def test_a_request_on_an_idle_connection_is_answered(self) -> None:
        caller = self.connect(LIMIT_S)
        self.send_beside_stall(caller, REQUEST)
        self.assert_answered(caller)

    def test_a_request_on_a_kept_connection_is_answered(self) -> None:
        caller = self.connect(LIMIT_S)
        caller.sendall(REQUEST)
        self.assert_answered(caller)
        self.send_beside_stall(caller, REQUEST)
        self.assert_answered(caller)

    def test_the_rest_of_a_request_is_read(self) -> None:
        for place, sent in (("line", 6), ("head", 30), ("body", len(REQUEST) - 2)):
            with (
                self.subTest(place),
                mock.patch.object(wsgi, "REQUEST_S", LIMIT_S),
            ):
                caller = self.connect(LIMIT_S)
                caller.sendall(REQUEST[:sent])
                self.send_beside_stall(caller, REQUEST[sent:])
                self.assert_answered(caller)


class TimeLimitTest(WsgiTestCase):
    """Connections that send nothing more are closed.

    Guards against callers that hold connections with single bytes.
    """

    def test_an_idle_connection_is_closed(self) -> None:
        caller = self.connect(LIMIT_S)
        self.assertEqual(self.read_to_end(caller), b"")

    def test_a_head_that_arrives_in_single_bytes_is_closed(self) -> None:
        with mock.patch.object(wsgi, "REQUEST_S", LIMIT_S):
            caller = self.connect(LONG_S)
            began_s = time.monotonic()
            with self.assertRaises(OSError):
                for byte in REQUEST * 10:
                    caller.sendall(bytes([byte]))
                    time.sleep(LIMIT_S / 10)
        self.assertLess(time.monotonic() - began_s, LONG_S)

    def test_a_pause_before_a_request_takes_none_of_its_time(self) -> None:
        with mock.patch.object(wsgi, "REQUEST_S", LIMIT_S):
            caller = self.connect(LONG_S)
            time.sleep(2 * LIMIT_S)
            caller.sendall(REQUEST[:6])
            time.sleep(LIMIT_S / 2)
            caller.sendall(REQUEST[6:])
            self.assertIn(b" 200 ", caller.recv(65_536))


class ResetConnectionTest(WsgiTestCase):
    """A caller that resets its connection in the midst of a request is no fault.

    Guards against a traceback for each of them.
    """

    def test_there_is_no_traceback(self) -> None:
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors):
            for sent in (6, 30, len(REQUEST) - 2):
                caller = self.connect(LONG_S)
                caller.sendall(REQUEST[:sent])
                time.sleep(ARRIVES_AFTER_S)
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, sockets.LINGER)
                caller.close()
                time.sleep(ARRIVES_AFTER_S)
        self.assertNotIn("Traceback", errors.getvalue())
