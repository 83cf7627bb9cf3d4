"""Tests of requests in whose midst an exception arises, on real connections."""

import http.client
import json
import unittest
from typing import Any, Final
from unittest import mock

from returns.result import Success

from lavendertide.daemon.admin_front import AdminFront
from lavendertide.daemon.caller_front import CallerFront
from lavendertide.daemon.failed_requests import FAILED_REQUESTS
from lavendertide.daemon.guarded_server import GuardedServer
from lavendertide.daemon.in_flight import InFlightCounter
from lavendertide.executions.execution import ExecutionResult
from lavendertide.fleet.readiness import Readiness
from lavendertide.ids import Address
from lavendertide.messages import Outcome
from lavendertide.options import AdminOptions
from lavendertide.overload.caller_bounds import CallerBounds
from lavendertide.runtime import clock, sockets, wsgi
from tests.runtime.loop_thread import LoopThread

CONNECTIONS_MAX: Final = 10
KEY: Final = "operator-key-of-a-test"
SEARCH: Final = {"index": "i", "deadline_ms": 100, "body": ""}
EXECUTION: Final = SEARCH | {"ticket": "t", "operation": "redeem"}


def failed_requests() -> float:
    """Returns the count of failed requests since the start of the process."""
    return float(FAILED_REQUESTS._value.get())


class FailedRequestTestCase(unittest.TestCase):
    """Serves a front in an event loop of its own."""

    def serve(self, application: wsgi.Application) -> None:
        """Serves an application and connects to it."""
        self.loop = self.enterContext(LoopThread())
        listener = sockets.listen(Address("127.0.0.1:0"))
        self.loop.call(
            lambda: GuardedServer(
                listener, application, CallerBounds(), CONNECTIONS_MAX
            )
        )
        self.caller = http.client.HTTPConnection(*listener.getsockname())
        self.addCleanup(self.caller.close)

    def send(
        self, method: str, path: str, body: object = None
    ) -> tuple[int, dict[str, Any]]:
        """Sends a request on the kept connection; returns status and document."""
        data = json.dumps(body) if body else None
        headers = {"Authorization": f"Bearer {KEY}"}
        self.caller.request(method, path, data, headers)
        response = self.caller.getresponse()
        return response.status, json.loads(response.read())


class CallerRequestTest(FailedRequestTestCase):
    """A caller is told truly that its request failed and may have run.

    Guards against an empty response that says neither, and against one that takes an
    execution which has run for refused.
    """

    def setUp(self) -> None:
        self.queries, self.tickets = mock.Mock(), mock.Mock()
        readiness = Readiness(1_000.0, clock.monotonic_s())
        readiness.finish_refresh(True, clock.monotonic_s())
        self.in_flight = InFlightCounter()
        front = CallerFront(
            1_000,
            mock.Mock(),
            mock.Mock(),
            readiness,
            self.queries,
            self.tickets,
            self.in_flight,
        )
        self.serve(front)

    def assert_failed(self, status: int, document: dict[str, Any]) -> None:
        """Checks a response, and that the log has its id."""
        self.assertEqual(status, 500)
        self.assertEqual(document["kind"], "internal_error")
        self.assertEqual(document["fault"], "system")
        self.assertEqual(document["outcome"], "unknown")
        self.assertEqual(document["this_try"], "unknown")
        self.assertIsNone(document["retry_after_s"])

    def test_a_search(self) -> None:
        self.queries.search.side_effect = KeyError(2)
        before = failed_requests()
        with self.assertLogs("lavendertide.daemon.failed_requests") as logs:
            status, document = self.send("POST", "/v1/search", SEARCH)
        self.assert_failed(status, document)
        self.assertIn(vars(logs.records[0])["failure"], document["message"])
        self.assertEqual(vars(logs.records[0])["path"], "/v1/search")
        self.assertEqual(failed_requests(), before + 1)
        self.assertEqual(self.loop.call(lambda: self.in_flight.count), 0)

    def test_an_execution(self) -> None:
        self.tickets.execute.side_effect = KeyError(2)
        self.assert_failed(*self.send("POST", "/v1/execute", EXECUTION))

    def test_the_connection_is_kept(self) -> None:
        self.tickets.execute.side_effect = KeyError(2)
        self.send("POST", "/v1/execute", EXECUTION)
        opened = self.caller.sock
        ran = ExecutionResult(Outcome.RAN, "done")
        self.tickets.execute = mock.Mock(return_value=Success(ran))
        found = self.send("POST", "/v1/execute", EXECUTION)
        self.assertEqual(found, (200, {"outcome": "ran", "detail": "done"}))
        self.assertIs(self.caller.sock, opened)


class AdminRequestTest(FailedRequestTestCase):
    """An operator is told that a request failed, and by which id to find it."""

    def test_a_status_request(self) -> None:
        service = mock.Mock()
        service.status.side_effect = KeyError(2)
        options = AdminOptions(operator_keys=(KEY,))
        self.serve(AdminFront(options, service, mock.Mock()))
        with self.assertLogs("lavendertide.daemon.failed_requests") as logs:
            status, document = self.send("GET", "/v1/status")
        self.assertEqual((status, document["kind"]), (500, "internal_error"))
        self.assertIn(vars(logs.records[0])["failure"], document["message"])
