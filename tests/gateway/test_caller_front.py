"""Tests of `lavendertide.gateway.caller_front`, on connections of this machine."""

import gc
import http.client
import socket
import time
import unittest
from typing import Final
from unittest import mock

from lavendertide.encodings.http_messages import HttpRequest
from lavendertide.forwarding.capacity import RouteAdmission
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.gateway import caller_front
from lavendertide.gateway.request_ledger import RequestEnd, RequestLedger
from lavendertide.overload.caller_bounds import CallerBounds
from standins.forwarding_records import route
from standins.gateway_process import wait_until
from tests.forwarding.scripted_targets import (
    ScriptedForwarder,
    replies,
    replies_after,
)
from tests.gateway.front_thread import FrontThread

TIMEOUT_S: Final = 10.0
RUN_S: Final = 1.0
# More than the buffers of both systems hold.
LONG_BYTES: Final = 30_000_000


class FrontTestCase(unittest.TestCase):
    """Sends requests to a front with one target."""

    def setUp(self) -> None:
        scripted = ScriptedForwarder(route())
        scripted.add("a", "desk", replies(b"found"))
        self.front = self.enterContext(FrontThread(scripted))
        self.caller = http.client.HTTPConnection(
            "127.0.0.1", self.front.port, timeout=TIMEOUT_S
        )
        self.addCleanup(self.caller.close)

    def get(self, path: str = "/x") -> tuple[int, bytes]:
        """Sends a request on the kept connection; returns status and body."""
        self.caller.request("GET", path, headers={"Host": "shop.example"})
        response = self.caller.getresponse()
        return response.status, response.read()

    def ends(self, requests: int) -> dict[RequestEnd, int]:
        """Returns the ends of the requests once all of them have ended."""
        wait_until(lambda: sum(self.front.ledger.ends.values()) == requests)
        self.assertEqual(self.front.ledger.unaccounted, 0)
        return self.front.ledger.ends


class SlowReaderTest(unittest.TestCase):
    """Guards against heads that are held while callers read their responses slowly."""

    def test_the_request_that_was_read_is_held_no_more(self) -> None:
        scripted = ScriptedForwarder(route())
        scripted.add("a", "desk", replies(bytes(LONG_BYTES)))
        front = self.enterContext(FrontThread(scripted))
        caller = socket.create_connection(("127.0.0.1", front.port), TIMEOUT_S)
        self.addCleanup(caller.close)
        caller.sendall(b"GET /slow HTTP/1.1\r\nHost: shop.example\r\n\r\n")
        self.assertTrue(caller.recv(1))
        wait_until(lambda: not self.find_held(), TIMEOUT_S)
        # The response is still being written.
        self.assertEqual(front.ledger.ends, {})

    def find_held(self) -> list[object]:
        """Returns the requests of the caller that are in memory."""
        return [
            each
            for each in gc.get_objects()
            if isinstance(each, HttpRequest) and each.target == "/slow"
        ]


class FailedRequestTest(FrontTestCase):
    """An exception in the midst of a request still leaves its caller an answer.

    Guards against a connection that is closed without a word although the request was
    read whole. The status says truly whether a target may have run the request.
    """

    def check(self, status: int) -> None:
        """Checks the status, and that the connection serves the next request."""
        self.assertEqual(self.get()[0], status)
        mock.patch.stopall()
        self.assertEqual(self.get(), (200, b"found"))
        self.assertEqual(self.ends(2), {RequestEnd.ANSWERED: 2})

    def fail(self, target: object, method: str) -> None:  # type: ignore[override]
        """Makes a method raise an exception for the next request."""
        patch = mock.patch.object(target, method, side_effect=KeyError(2))
        self.addCleanup(mock.patch.stopall)
        patch.start()

    def test_a_request_that_was_not_forwarded_is_refused(self) -> None:
        self.fail(RouteAdmission, "try_acquire")
        self.check(503)
        self.assertEqual(len(self.front.scripted.called_targets), 1)

    def test_a_request_that_may_have_been_forwarded_fails(self) -> None:
        """A refusal would promise that it has not run."""
        self.fail(self.front.scripted.forwarder, "forward")
        self.check(502)

    def test_a_request_that_could_not_be_decoded_is_refused(self) -> None:
        self.fail(self.front.codec, "decode")
        self.check(503)

    def test_a_request_that_a_target_has_run_fails(self) -> None:
        """A refusal would promise that it has not run."""
        self.fail(self.front.codec, "encode")
        self.check(502)

    def test_a_ready_answer_is_sent_although_it_could_not_be_counted(self) -> None:
        self.fail(ForwardingMetrics, "record_response")
        self.check(200)


class EndedSendingTest(unittest.TestCase):
    """A caller that ends its sending gets its response; one that leaves ends the work.

    Guards against half-closed connections that end without a response.
    """

    def setUp(self) -> None:
        self.scripted = ScriptedForwarder(route(wait_max_s=5.0))
        self.scripted.add("a", "desk", replies_after(RUN_S))
        self.front = self.enterContext(FrontThread(self.scripted))
        address = ("127.0.0.1", self.front.port)
        self.caller = socket.create_connection(address, TIMEOUT_S)
        self.addCleanup(self.caller.close)
        self.caller.sendall(b"GET /x HTTP/1.1\r\nHost: shop.example\r\n\r\n")
        wait_until(lambda: bool(self.scripted.called_targets))

    def test_the_response_arrives_after_the_end_of_the_sending(self) -> None:
        self.caller.shutdown(socket.SHUT_WR)
        response = http.client.HTTPResponse(self.caller)
        response.begin()
        self.assertEqual(response.status, 200)
        response.close()
        wait_until(lambda: self.front.ledger.ends == {RequestEnd.ANSWERED: 1})

    def test_work_for_a_caller_that_leaves_ends_at_once(self) -> None:
        left_at_s = time.monotonic()
        self.caller.close()
        wait_until(lambda: self.front.ledger.ends == {RequestEnd.CALLER_LEFT: 1})
        self.assertLess(time.monotonic() - left_at_s, RUN_S)
        self.assertEqual(self.scripted.closed_count, 1)


class FailingLedgerTest(unittest.TestCase):
    """A request is answered although it can't be accounted for.

    Guards against the ledger itself as the cause of a connection without an answer.
    """

    def check(self, method: str) -> None:
        """Checks that two requests on one connection are answered."""
        scripted = ScriptedForwarder(route())
        scripted.add("a", "desk", replies(b"found"))
        with FrontThread(scripted) as front:
            caller = http.client.HTTPConnection("127.0.0.1", front.port, timeout=5)
            self.addCleanup(caller.close)
            caller.connect()
            connection = caller.sock
            with mock.patch.object(RequestLedger, method, side_effect=KeyError(2)):
                caller.request("GET", "/x", headers={"Host": "shop.example"})
                self.assertEqual(caller.getresponse().read(), b"found")
            caller.request("GET", "/x", headers={"Host": "shop.example"})
            self.assertEqual(caller.getresponse().read(), b"found")
            self.assertIs(caller.sock, connection)

    def test_the_account_is_not_opened(self) -> None:
        self.check("add")

    def test_the_request_is_not_counted(self) -> None:
        self.check("record_read")

    def test_the_end_is_not_counted(self) -> None:
        self.check("close")

    def test_the_connection_is_still_removed(self) -> None:
        scripted = ScriptedForwarder(route())
        bounds = CallerBounds()
        with (
            mock.patch.object(RequestLedger, "record_connection", side_effect=KeyError),
            mock.patch.object(caller_front, "CallerBounds", return_value=bounds),
            FrontThread(scripted) as front,
        ):
            socket.create_connection(("127.0.0.1", front.port), 5).close()
            time.sleep(0.3)
        self.assertEqual(len(bounds.connections), 0)
