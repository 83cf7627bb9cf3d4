"""One kept-alive HTTP connection to a target, by `urllib3`.

It is used without a pool, since the number of connections to a target is the business
of its lane, and since it has to be known whether a request has been handed over.
"""

import contextlib
from dataclasses import dataclass
from enum import Enum
from http import client
from typing import Any, Final

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from lavendertide.ids import Address
from lavendertide.runtime.sockets import is_closed_by_peer, split_address

CONNECT_TIMEOUT_S: Final = 0.25
HEADERS: Final = {"Content-Type": "application/json", "User-Agent": "lavendertide"}


class Failure(Enum):
    """Why an exchange brought no reply."""

    NOT_CONNECTED = "not_connected"
    TIMED_OUT = "timed_out"
    CLOSED = "closed"
    TOO_LARGE = "too_large"


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A target's reply as it came."""

    status: int
    data: bytes


class LeanConnection(HTTPConnection):
    """An HTTP connection without what an exchange with a target does not need.

    The library writes the head and the body of a request one after the other, and each
    write may wake the target. It parses a reply's headers once more than the standard
    library, and decodes bodies, which the request does not allow to be encoded.
    """

    def __init__(self, host: str, port: int, timeout: float) -> None:
        super().__init__(host, port, timeout=timeout)
        self._unsent: list[bytes] = []

    def send(self, data: Any) -> None:
        """Keeps a part of a request, given as bytes, until it is whole."""
        self._unsent.append(data)

    def flush(self) -> None:
        """Sends the request.

        Raises:
            OSError: The connection is broken.
        """
        request = b"".join(self._unsent)
        self._unsent.clear()
        super().send(request)

    def receive(self) -> client.HTTPResponse:
        """Waits for the head of the reply and returns the reply, its body unread.

        Raises:
            OSError: The connection is broken.
            client.HTTPException: It is not a reply.
        """
        return client.HTTPConnection.getresponse(self)


class TargetConnection:
    """A connection that is opened when it is needed and kept.

    Args:
        reply_max_bytes: A larger reply is not read to its end.
    """

    def __init__(self, address: Address, reply_max_bytes: int) -> None:
        host, port = split_address(address)
        self._connection = LeanConnection(host, port, CONNECT_TIMEOUT_S)
        self._reply_max_bytes = reply_max_bytes

    @property
    def is_open(self) -> bool:
        """Whether the target has not closed the connection, as far as is known."""
        sock = self._connection.sock
        return sock is not None and not is_closed_by_peer(sock)

    def open(self) -> bool:
        """Opens the connection anew; returns whether the target accepted it."""
        self.close()
        self._connection.timeout = CONNECT_TIMEOUT_S
        try:
            self._connection.connect()
        except (OSError, HTTPError):
            self.close()
            return False
        return True

    def exchange(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> HttpReply | Failure:
        """Sends a request and waits for its reply.

        After a failure the connection is closed; only if it could not be opened is it
        certain that nothing has reached the target.
        """
        if not self.is_open and not self.open():
            return Failure.NOT_CONNECTED
        try:
            return self._exchange(method, path, body, timeout_s)
        except TimeoutError:
            self.close()
            return Failure.TIMED_OUT
        except (OSError, HTTPError, client.HTTPException):
            self.close()
            return Failure.CLOSED

    def close(self) -> None:
        """Closes the connection."""
        with contextlib.suppress(OSError):
            self._connection.close()

    def _exchange(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> HttpReply | Failure:
        self._connection.timeout = timeout_s
        self._connection.sock.settimeout(timeout_s)
        self._connection.request(method, path, body=body, headers=HEADERS)
        self._connection.flush()
        response = self._connection.receive()
        data = response.read(self._reply_max_bytes + 1)
        if len(data) > self._reply_max_bytes:
            self.close()
            return Failure.TOO_LARGE
        if response.length:
            raise client.IncompleteRead(data, response.length)
        return HttpReply(response.status, data)
