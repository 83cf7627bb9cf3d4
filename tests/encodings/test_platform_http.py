"""Tests of `lavendertide.encodings.platform_http`."""

import threading
import time
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from unittest import mock

import urllib3
from returns.result import Failure

from lavendertide.caller_client import CallerClient
from lavendertide.encodings.platform_http import (
    CONNECT_TIMEOUT_S,
    HttpConfigurationReader,
    HttpMembershipReader,
)
from lavendertide.ids import Address, ConfigurationVersion, HostId

SLOW_S = CONNECT_TIMEOUT_S + 0.3
LONG_S = 20.0


class SlowHandler(BaseHTTPRequestHandler):
    """Responds to each request after more than the time limit for connecting."""

    protocol_version = "HTTP/1.1"
    body = b'{"hosts": [{"host": "h", "state": "live"}], "addresses": ["%s"]}'

    def do_GET(self) -> None:
        time.sleep(SLOW_S)
        self.send_response(200)
        self.send_header("Content-Length", str(len(self.body)))
        self.end_headers()
        self.wfile.write(self.body)

    def do_POST(self) -> None:
        self.rfile.read(int(self.headers["Content-Length"]))
        self.do_GET()

    def log_message(self, format: str, *arguments: object) -> None:
        """Suppresses the access log."""


class RecordingPool:
    """Stands in for a pool and records the timeout of the last request."""

    def __init__(self) -> None:
        self.timeout: urllib3.Timeout | None = None

    def request(self, method: str, path: str, **arguments: Any) -> Any:
        self.timeout = arguments["timeout"]
        raise urllib3.exceptions.HTTPError("recorded")


class SlowServiceTestCase(unittest.TestCase):
    """Serves slow responses on a loopback address."""

    def setUp(self) -> None:
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), SlowHandler)
        self.address = Address(f"127.0.0.1:{self.server.server_port}")
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()


class HttpConfigurationReaderTest(SlowServiceTestCase):
    """The time limit of a watch covers its wait, not only connecting.

    With the time limit for connecting alone, each long poll would fail.
    """

    def test_a_slow_response_is_awaited(self) -> None:
        reader = HttpConfigurationReader(self.address)
        response = reader.watch(ConfigurationVersion(1), LONG_S)
        self.assertEqual(response.unwrap(), SlowHandler.body)

    def test_the_read_timeout_exceeds_the_wait(self) -> None:
        reader = HttpConfigurationReader(self.address)
        pool = RecordingPool()
        reader._pool = pool  # type: ignore[assignment]
        reader.watch(ConfigurationVersion(0), LONG_S)
        assert pool.timeout is not None
        self.assertIsNone(pool.timeout.total)
        self.assertEqual(pool.timeout.connect_timeout, CONNECT_TIMEOUT_S)
        self.assertGreater(pool.timeout.read_timeout or 0, LONG_S)


class HttpMembershipReaderTest(SlowServiceTestCase):
    """A list is read although it takes longer than the time limit to connect."""

    def test_a_slow_list_is_read(self) -> None:
        response = HttpMembershipReader(self.address).read()
        self.assertEqual(response.unwrap(), {HostId("h"): "live"})


class CallerClientTest(SlowServiceTestCase):
    """A caller waits until its deadline, not only for the time limit to connect."""

    def test_a_slow_response_is_awaited(self) -> None:
        client = CallerClient([self.address], "key")
        client._addresses, client._addresses_expire_at_s = [self.address], float("inf")
        response = client.search("index", "body", 5_000, 1, 0.0)
        self.assertIn("hosts", response.unwrap())


class OddListTest(unittest.TestCase):
    """A membership list that can't be read is a failure, whatever is wrong with it.

    Another exception would end the task that follows the list.
    """

    def test_odd_lists_are_failures(self) -> None:
        for odd in (b"[" * 100_000, b"[]", b"null", b'{"hosts": 7}', b'{"hosts": [7]}'):
            with self.subTest(odd[:40]):
                reader = HttpMembershipReader(Address("127.0.0.1:1"))
                response = mock.Mock(status=200, data=odd)
                with mock.patch.object(
                    urllib3.HTTPConnectionPool, "request", return_value=response
                ):
                    self.assertIsInstance(reader.read(), Failure)

    def test_a_list_in_a_failure_is_a_failure(self) -> None:
        """Guards against a list that a service in trouble sends with its error."""
        for status in (204, 206, 301, 404, 429, 500, 503):
            with self.subTest(status=status):
                reader = HttpMembershipReader(Address("127.0.0.1:1"))
                response = mock.Mock(status=status, data=SlowHandler.body)
                with mock.patch.object(
                    urllib3.HTTPConnectionPool, "request", return_value=response
                ):
                    self.assertIsInstance(reader.read(), Failure)
