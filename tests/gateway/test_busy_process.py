"""Tests of requests that arrive while their process is busy, on real connections.

The process is kept busy by a task that a socket has woken, as the adoption of a large
table does. When it is free again, the time limits of waiting tasks have passed.
"""

import socket
import time
import unittest
from dataclasses import replace
from typing import Final

from lavendertide.gateway.request_ledger import RequestEnd
from lavendertide.routes.route import CallerLimits, Route
from lavendertide.routes.table import RouteTable
from standins.forwarding_records import route, table
from standins.gateway_process import wait_until
from tests.forwarding.scripted_targets import ScriptedForwarder, replies
from tests.gateway.front_thread import FrontThread

LIMIT_S: Final = 0.5
# The process becomes busy before the limit has passed and is free again after it.
BUSY_AFTER_S: Final = 0.15
BUSY_S: Final = 1.0
# The rest of the request arrives before the limit has passed.
SENT_AFTER_S: Final = 0.15
REQUEST: Final = (
    b"POST /x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\n\r\nbody"
)


def limited(version: int, *routes: Route, limit_s: float = LIMIT_S) -> RouteTable:
    """Builds a table whose time limits for callers are short."""
    limits = CallerLimits(16_384, 262_144, limit_s, limit_s)
    return replace(table(version, *routes), limits=limits)


class BusyProcessTest(unittest.TestCase):
    """A request that has arrived within its time limit is answered.

    Guards against a limit that is checked before what has arrived: the connection was
    closed with the request unread.
    """

    def setUp(self) -> None:
        scripted = ScriptedForwarder(route())
        scripted.add("a", "desk", replies(b"found"))
        scripted.active_routes.adopt(limited(2, scripted.route), "test", 0.0)
        self.front = self.enterContext(FrontThread(scripted))
        address = ("127.0.0.1", self.front.port)
        self.caller = socket.create_connection(address, 10.0)
        self.addCleanup(self.caller.close)

    def check(self, first_bytes: int) -> None:
        """Sends the rest of a request while the process is busy.

        Args:
            first_bytes: How much of it is sent before.
        """
        self.caller.sendall(REQUEST[:first_bytes])
        time.sleep(BUSY_AFTER_S)
        self.front.stall(BUSY_S)
        time.sleep(SENT_AFTER_S)
        self.caller.sendall(REQUEST[first_bytes:])
        self.assertIn(b" 200 ", self.caller.recv(65_536).partition(b"\r\n")[0])
        wait_until(lambda: self.front.ledger.ends == {RequestEnd.ANSWERED: 1})

    def test_the_whole_request_has_arrived(self) -> None:
        self.check(0)

    def test_the_rest_of_the_head_has_arrived(self) -> None:
        self.check(30)

    def test_the_rest_of_the_body_has_arrived(self) -> None:
        self.check(len(REQUEST) - 2)

    def test_a_request_on_a_kept_connection(self) -> None:
        self.check(0)
        self.caller.sendall(REQUEST)
        self.assertIn(b" 200 ", self.caller.recv(65_536).partition(b"\r\n")[0])

    def test_a_silent_caller_is_still_closed(self) -> None:
        """The limit bounds what callers that send nothing may hold."""
        self.assertEqual(self.caller.recv(1), b"")

    def test_a_caller_that_stops_in_the_midst_is_still_closed(self) -> None:
        self.caller.sendall(REQUEST[:30])
        self.assertEqual(self.caller.recv(1), b"")
