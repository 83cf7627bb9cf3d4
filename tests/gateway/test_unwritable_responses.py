"""Tests of responses that can't be written as they are, on real connections."""

import http.client
import socket
import unittest
from unittest import mock

from lavendertide.encodings import http_server_connection
from lavendertide.encodings.response_heads import render_response_head
from lavendertide.gateway.request_ledger import RequestEnd
from lavendertide.routes.route import RequestKind
from standins.forwarding_records import route
from standins.gateway_process import wait_until
from tests.forwarding.scripted_targets import (
    Behaviour,
    ScriptedForwarder,
    crashes,
    replies,
)
from tests.gateway.front_thread import FrontThread


class HeadTest(unittest.TestCase):
    """A response of this host to HEAD is written without its body.

    Guards against a connection that is closed without an answer, since the encoder
    refuses a body.
    """

    def status(self, scripted: ScriptedForwarder, host: str = "shop.example") -> int:
        """Returns the status of the response to one request."""
        with FrontThread(scripted) as front:
            caller = http.client.HTTPConnection("127.0.0.1", front.port, timeout=5)
            self.addCleanup(caller.close)
            caller.request("HEAD", "/x", headers={"Host": host})
            status = caller.getresponse().status
            wait_until(lambda: front.ledger.ends == {RequestEnd.ANSWERED: 1})
        return status

    def test_a_request_without_a_route(self) -> None:
        scripted = ScriptedForwarder(route())
        self.assertEqual(self.status(scripted, host="other.example"), 404)

    def test_a_request_without_a_target(self) -> None:
        self.assertEqual(self.status(ScriptedForwarder(route())), 503)

    def test_a_request_that_its_target_has_lost(self) -> None:
        scripted = ScriptedForwarder(route(kind=RequestKind.NON_IDEMPOTENT))
        scripted.add("a", "desk", crashes)
        self.assertEqual(self.status(scripted), 502)


class UnwritableResponseTest(unittest.TestCase):
    """A response that can't be encoded is replaced while nothing of it was written."""

    def check(self, behaviour: Behaviour, method: str) -> None:
        """Checks that the caller gets an answer."""
        scripted = ScriptedForwarder(route())
        scripted.add("a", "desk", behaviour)
        with (
            FrontThread(scripted) as front,
            socket.create_connection(("127.0.0.1", front.port), 5) as caller,
        ):
            caller.sendall(
                f"{method} /x HTTP/1.1\r\nHost: shop.example\r\n\r\n".encode()
            )
            self.assertNotEqual(caller.recv(65_536), b"")

    def test_the_method_connect(self) -> None:
        self.check(replies(b"x"), "CONNECT")

    def test_an_unexpected_exception_of_the_encoder(self) -> None:
        patched = mock.patch.object(
            http_server_connection,
            "render_response_head",
            wraps=render_response_head,
            side_effect=[ValueError, mock.DEFAULT],
        )
        with patched:
            self.check(replies(b"x"), "GET")
