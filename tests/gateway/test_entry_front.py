"""Tests of `lavendertide.gateway.entry_front`, on connections of this machine."""

import http.client
import unittest
from typing import Final
from unittest import mock

from lavendertide.fleet.readiness import Readiness
from lavendertide.gateway.entry_front import EntryFront
from lavendertide.ids import Address
from lavendertide.platform.entry_codec import PlatformEntryCodec
from lavendertide.runtime import clock, sockets, tasks
from tests.runtime.loop_thread import LoopThread

CONNECTIONS_MAX: Final = 10


class FailedEntryRequestTest(unittest.TestCase):
    """An exception in the midst of an entry request leaves an answer.

    Guards against a probe or an operator's command whose connection just closes.
    """

    def setUp(self) -> None:
        self.render_metrics = mock.Mock(return_value=b"metrics\n")
        loop = self.enterContext(LoopThread())
        self.caller = http.client.HTTPConnection("127.0.0.1", loop.call(self.serve))
        self.addCleanup(self.caller.close)

    def serve(self) -> int:
        """Serves entry requests; returns the port."""
        front = EntryFront(
            PlatformEntryCodec(),
            Readiness(1_000.0, clock.monotonic_s()),
            mock.Mock(),
            self.render_metrics,
            mock.Mock(),
        )
        listener = sockets.listen(Address("127.0.0.1:0"))
        tasks.spawn(sockets.accept_forever, listener, front.serve, CONNECTIONS_MAX)
        port: int = listener.getsockname()[1]
        return port

    def get(self, path: str) -> tuple[int, bytes]:
        """Sends a request on the kept connection; returns status and body."""
        self.caller.request("GET", path)
        response = self.caller.getresponse()
        return response.status, response.read()

    def test_a_request_that_raises_an_exception_is_answered(self) -> None:
        self.render_metrics.side_effect = KeyError(2)
        self.assertEqual(self.get("/metrics")[0], 500)
        self.render_metrics.side_effect = None
        self.assertEqual(self.get("/metrics"), (200, b"metrics\n"))
