"""Tests of limits that change while a connection or a request is waited for."""

import socket
import time
import unittest
from dataclasses import replace
from typing import Final

from lavendertide.routes.route import CallerLimits
from standins.forwarding_records import route, table
from tests.forwarding.scripted_targets import ScriptedForwarder, replies
from tests.gateway.front_thread import FrontThread

FIRST_S: Final = 0.5
LATER_S: Final = 20.0
# When the newer limit takes effect, and when the caller uses it.
CHANGED_AFTER_S: Final = 0.2
USED_AFTER_S: Final = 0.7
BODY_MAX_BYTES: Final = 16
BODY: Final = b"x" * (2 * BODY_MAX_BYTES)
HEAD: Final = b"POST /x HTTP/1.1\r\nHost: shop.example\r\n"
LENGTH: Final = b"Content-Length: %d\r\n\r\n" % len(BODY)
REQUEST: Final = HEAD + b"Content-Length: 0\r\n\r\n"


class RaisedLimitTest(unittest.TestCase):
    """A limit that is raised holds for connections that wait already.

    Guards against limits that are read once, when a wait begins. The caller relied on
    the newer limit and got a closed connection.
    """

    def setUp(self) -> None:
        scripted = ScriptedForwarder(route())
        scripted.add("a", "desk", replies(b"found"))
        self.limits = CallerLimits(16_384, BODY_MAX_BYTES, FIRST_S, FIRST_S)
        self.routes = table(2, scripted.route)
        first = replace(self.routes, limits=self.limits)
        scripted.active_routes.adopt(first, "test", 0.0)
        self.front = self.enterContext(FrontThread(scripted))
        address = ("127.0.0.1", self.front.port)
        self.caller = socket.create_connection(address, 10.0)
        self.addCleanup(self.caller.close)

    def send_beside_change(
        self, before: bytes, after: bytes, limits: CallerLimits
    ) -> bytes:
        """Sends a request in two parts, with a change of the limits between them.

        Args:
            before: What is sent at once.
            after: What is sent after the former limit has passed.
            limits: The newer limits.

        Returns:
            The status line of the response.
        """
        self.caller.sendall(before)
        time.sleep(CHANGED_AFTER_S)
        version = replace(table(3, *self.routes.routes), limits=limits)
        self.front.adopt(version)
        time.sleep(USED_AFTER_S - CHANGED_AFTER_S)
        self.caller.sendall(after)
        return self.caller.recv(65_536).partition(b"\r\n")[0]

    def test_an_idle_connection_is_used_after_the_former_limit(self) -> None:
        raised = replace(self.limits, idle_timeout_s=LATER_S)
        self.assertIn(b" 200 ", self.send_beside_change(b"", REQUEST, raised))

    def test_a_head_is_completed_after_the_former_limit(self) -> None:
        raised = replace(self.limits, header_timeout_s=LATER_S)
        status = self.send_beside_change(REQUEST[:30], REQUEST[30:], raised)
        self.assertIn(b" 200 ", status)

    def test_a_body_is_continued_after_the_former_limit(self) -> None:
        raised = replace(self.limits, body_max_bytes=64, header_timeout_s=LATER_S)
        status = self.send_beside_change(HEAD + LENGTH + BODY[:8], BODY[8:], raised)
        self.assertIn(b" 200 ", status)

    def test_a_lowered_limit_does_not_refuse_a_body_that_is_being_sent(self) -> None:
        lowered = replace(self.limits, body_max_bytes=1, header_timeout_s=LATER_S)
        head = HEAD + b"Content-Length: 12\r\n\r\n"
        status = self.send_beside_change(head, b"x" * 12, lowered)
        self.assertIn(b" 200 ", status)

    def test_the_limit_in_force_closes_an_idle_connection(self) -> None:
        raised = replace(self.limits, idle_timeout_s=0.9)
        began_s = time.monotonic()
        self.front.adopt(replace(table(3, *self.routes.routes), limits=raised))
        self.assertEqual(self.caller.recv(1), b"")
        self.assertGreater(time.monotonic() - began_s, FIRST_S)
