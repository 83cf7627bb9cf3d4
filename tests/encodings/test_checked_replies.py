"""Tests of `lavendertide.encodings.checked_replies`, by the clients that use it."""

import contextlib
import json
import socket
import threading
import unittest
from collections.abc import Callable, Mapping
from typing import Any, Final

import urllib3
from returns.result import Failure, Result, Success

from lavendertide.admin_client import AdminClient
from lavendertide.caller_client import CallerClient
from lavendertide.encodings.checked_replies import (
    CheckedPool,
    checked_pool_manager,
)
from lavendertide.encodings.platform_http import (
    HttpConfigurationReader,
    HttpMembershipReader,
)
from lavendertide.errors import Refusal, RefusalKind
from lavendertide.gateway_client import GatewayClient
from lavendertide.ids import Address, ConfigurationVersion

INVALID: Final = (
    *(b"HTTP/1.1 %03d Any" % status for status in (0, 1, 99, 101, 600, 999)),
    *(b"HTTP/1.1 %b Any" % s for s in (b"", b"20", b"2000", b"0200", b"+200")),
    *(b"HTTP/1.1 %b Any" % s for s in (b" 200", b"2_00", b"200\t", b"-20")),
    *(b"HTTP/%b 200 OK" % v for v in (b"0.9", b"1.2", b"1.x", b"2", b"2.0", b"3.0")),
    b"http/1.1 200 OK",
    b"RTSP/1.0 200 OK",
    b"200 OK",
    b" HTTP/1.1 200 OK",
    b"\r\nHTTP/1.1 200 OK",
)
# All that some client wants of a success.
DOCUMENT: Final[Mapping[str, Any]] = {
    "hosts": [{"host": "h", "state": "live"}],
    "addresses": ["127.0.0.1:1"],
    "lifetime_s": 60,
    "gateway": "m1",
    "plans": ["p"],
}
BODY: Final = json.dumps(DOCUMENT).encode()
FRAMED: Final = (
    b"Content-Length: %d\r\n\r\n%b" % (len(BODY), BODY),
    b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY),
    b"\r\n" + BODY,
)
Read = Callable[[Address], Result[Any, Refusal]]
READERS: Final[Mapping[str, Read]] = {
    "lists": lambda a: HttpConfigurationReader(a).watch(ConfigurationVersion(0), 1.0),
    "membership": lambda a: HttpMembershipReader(a).read(),
    "administration": lambda a: AdminClient(a, "").plans(),
    "caller": lambda a: CallerClient([a], "key").addresses(0.0),
    "gateway": lambda a: GatewayClient(a).explain("shop.example", "/x"),
}


class FixedServer:
    """Sends the same bytes on each connection and closes it.

    Args:
        sent: The bytes to send after each request.
    """

    def __init__(self, sent: bytes) -> None:
        self._sent = sent
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address(f"127.0.0.1:{self._listener.getsockname()[1]}")
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def close(self) -> None:
        """Closes the listener."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._thread.join()
        self._listener.close()

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                with connection, contextlib.suppress(ConnectionError):
                    connection.recv(65_536)
                    connection.sendall(self._sent)


class ClientsTest(unittest.TestCase):
    """Guards against clients that take data for a response which is none of HTTP/1.

    A list of the platform would be put in force, and an operator would be shown
    documents of a host in trouble.
    """

    def read(self, read: Read, sent: bytes) -> Result[Any, Refusal]:
        """Returns what a client makes of some bytes."""
        server = FixedServer(sent)
        try:
            return read(server.address)
        finally:
            server.close()

    def test_a_valid_response_is_read(self) -> None:
        for name, read in READERS.items():
            for framed in FRAMED:
                for line in (b"HTTP/1.1 200 OK", b"HTTP/1.0 200 OK", b"HTTP/1.1 200"):
                    with self.subTest(client=name, line=line, framed=framed[:20]):
                        result = self.read(read, line + b"\r\n" + framed)
                        self.assertIsInstance(result, Success, result)

    def test_interim_responses_are_skipped(self) -> None:
        interim = b"HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n"
        for name, read in READERS.items():
            with self.subTest(client=name):
                sent = 2 * interim + b"HTTP/1.1 200 OK\r\n" + FRAMED[0]
                self.assertIsInstance(self.read(read, sent), Success)

    def test_other_data_is_no_response(self) -> None:
        for name, read in READERS.items():
            for line in INVALID:
                for framed in FRAMED:
                    with self.subTest(client=name, line=line, framed=framed[:20]):
                        result = self.read(read, line + b"\r\n" + framed)
                        assert isinstance(result, Failure), result
                        kind = result.failure().kind
                        self.assertIs(kind, RefusalKind.UNREACHABLE)


class PoolManagerTest(unittest.TestCase):
    """Guards against checks that hold for other users of the library or for none."""

    def test_only_its_own_pools_are_checked(self) -> None:
        url = "http://127.0.0.1:1"
        checked = checked_pool_manager().connection_from_url(url)
        self.assertIsInstance(checked, CheckedPool)
        other = urllib3.PoolManager().connection_from_url(url)
        self.assertNotIsInstance(other, CheckedPool)
