"""Tests of the end of callers' connections, on real connections."""

import http.client
import socket
import time
import unittest
from typing import Final
from unittest import mock

from lavendertide.fleet.readiness import Readiness, ReadinessState
from lavendertide.forwarding.messages import TargetReply
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.gateway.request_ledger import RequestEnd
from lavendertide.runtime import sockets, tasks
from standins.forwarding_records import reply, route
from standins.gateway_process import wait_until
from tests.forwarding.scripted_targets import (
    ScriptedForwarder,
    replies_after,
)
from tests.gateway.front_thread import FrontThread

TIMEOUT_S: Final = 10.0
RUN_S: Final = 6.0
LONG_BODY: Final = b"x" * 8_388_608


class UnreadDataTest(unittest.TestCase):
    """The last response reaches a slow caller although it has sent more data.

    Guards against the reset by which the system answers a close with unread data: it
    discards what was not sent yet, although the response counts as answered.
    """

    def test_a_pipelined_request_while_the_host_leaves(self) -> None:
        body = b"x" * 12_000

        def behave(call: TargetCall) -> TargetReply:
            tasks.sleep(0.3)
            return reply(call.record.target, body=body, signature="a")

        scripted = ScriptedForwarder(route())
        scripted.add("a", "desk", behave)
        leaving = mock.PropertyMock(return_value=ReadinessState.LEAVING)
        request = b"GET /x HTTP/1.1\r\nHost: shop.example\r\n\r\n"
        with (
            mock.patch.object(Readiness, "state", leaving),
            FrontThread(scripted) as front,
            socket.socket() as caller,
        ):
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
            caller.settimeout(TIMEOUT_S)
            caller.connect(("127.0.0.1", front.port))
            caller.sendall(request)
            wait_until(lambda: bool(scripted.called_targets))
            caller.sendall(request)
            time.sleep(0.6)
            response = http.client.HTTPResponse(caller)
            response.begin()
            self.assertEqual(len(response.read()), len(body))

    def test_a_body_above_the_limit_is_refused(self) -> None:
        """Its caller gets the refusal although it has sent the whole body."""
        with (
            FrontThread(ScriptedForwarder(route())) as front,
            socket.create_connection(("127.0.0.1", front.port), TIMEOUT_S) as caller,
        ):
            head = (
                b"POST /x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: %d\r\n\r\n"
            )
            caller.sendall(head % len(LONG_BODY) + LONG_BODY)
            self.assertIn(b" 413 ", caller.recv(65_536).partition(b"\r\n")[0])


class LeftCallerTest(unittest.TestCase):
    """Work for a caller that has left ends within half a second."""

    def setUp(self) -> None:
        scripted = ScriptedForwarder(route(wait_max_s=8.0, objective_s=7.0))
        scripted.add("a", "desk", replies_after(RUN_S))
        self.scripted = scripted
        self.front = self.enterContext(FrontThread(scripted))

    def connect(self, head: bytes) -> socket.socket:
        """Sends a request and waits until its target runs it."""
        address = ("127.0.0.1", self.front.port)
        caller = socket.create_connection(address, TIMEOUT_S)
        self.addCleanup(caller.close)
        caller.sendall(head + b"\r\nHost: shop.example\r\n\r\n")
        wait_until(lambda: bool(self.scripted.called_targets))
        return caller

    def check_left(self, left_at_s: float) -> None:
        """Checks that the request ends in time."""
        wait_until(lambda: bool(self.front.ledger.ends))
        self.assertLess(time.monotonic() - left_at_s, 0.6)
        self.assertEqual(self.front.ledger.ends, {RequestEnd.CALLER_LEFT: 1})

    def test_a_caller_of_http_1_0_that_has_ended_its_sending_is_answered(self) -> None:
        """It can't be probed, and its response may be all that it waits for."""
        caller = self.connect(b"GET /x HTTP/1.0")
        caller.shutdown(socket.SHUT_WR)
        self.assertIn(b" 200 ", caller.recv(65_536).partition(b"\r\n")[0])

    def test_a_caller_that_had_ended_its_sending_before(self) -> None:
        caller = self.connect(b"GET /x HTTP/1.1")
        caller.shutdown(socket.SHUT_WR)
        time.sleep(2.6)
        caller.close()
        self.check_left(time.monotonic())

    def test_a_caller_that_had_sent_an_empty_line(self) -> None:
        caller = self.connect(b"GET /x HTTP/1.1")
        caller.sendall(b"\r\n")
        time.sleep(0.05)
        caller.close()
        self.check_left(time.monotonic())

    def test_a_caller_that_had_sent_another_request(self) -> None:
        caller = self.connect(b"GET /x HTTP/1.1")
        caller.sendall(b"GET /y HTTP/1.1\r\nHost: shop.example\r\n\r\n")
        time.sleep(0.05)
        sockets.reset(caller)
        caller.close()
        self.check_left(time.monotonic())
