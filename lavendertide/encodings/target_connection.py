"""Persistent HTTP connection to a target, by `urllib3`.

It does not use the library's pool, since the target's lane limits the number of
connections, and since the code must know whether a request may have reached the target.
"""

import contextlib
from dataclasses import dataclass
from enum import Enum
from http import client
from typing import Any, Final

from urllib3.exceptions import HTTPError

from lavendertide.encodings.checked_replies import CheckedConnection
from lavendertide.encodings.limited_socket import LimitedSocket
from lavendertide.ids import Address
from lavendertide.runtime import clock
from lavendertide.runtime.sockets import connect, split_address

CONNECT_TIMEOUT_S: Final = 0.25
HEADERS: Final = {"Content-Type": "application/json", "User-Agent": "lavendertide"}


class ExchangeFailure(Enum):
    """Why an exchange ended without a reply."""

    NOT_CONNECTED = "not_connected"
    TIMED_OUT = "timed_out"
    CLOSED = "closed"
    TOO_LARGE = "too_large"
    # The target lives, but what it sent is no reply.
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A target's reply, not decoded.

    Attributes:
        is_delimited: Whether the head says where the reply ends. A reply that ends with
            its connection can't be distinguished from one that broke off.
    """

    status: int
    data: bytes
    is_delimited: bool = True


class SingleWriteConnection(CheckedConnection):
    """HTTP connection without the parts of `urllib3` that targets do not need.

    The library writes the head and the body of a request separately, and each write may
    wake the target; this class sends both in one write. The library also parses the
    headers of a reply again after the standard library has, and decodes bodies although
    the request allows no encoding; this class does neither.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        super().__init__(*split_address(address))
        self._unsent: list[bytes] = []
        self._limited_socket: LimitedSocket | None = None

    @property
    def limited_socket(self) -> LimitedSocket | None:
        """The open connection; none if it is closed."""
        return None if self.sock is None else self._limited_socket

    def start_exchange(self, ends_at_s: float) -> None:
        """Sets the monotonic time at which the exchange that begins has to end."""
        if self._limited_socket is not None:
            self._limited_socket.start_exchange(ends_at_s)

    def connect(self) -> None:
        """Opens the connection.

        Raises:
            OSError: The connection was refused, or not accepted in time.
        """
        opened = connect(self._address, CONNECT_TIMEOUT_S)
        self._limited_socket = LimitedSocket(opened)
        self.sock = self._limited_socket

    def send(self, data: Any) -> None:
        """Buffers a part of a request, given as bytes, until `flush`."""
        self._unsent.append(data)

    def flush(self) -> None:
        """Sends the buffered request in one write.

        Raises:
            OSError: The connection is broken.
        """
        request = b"".join(self._unsent)
        self._unsent.clear()
        super().send(request)

    def receive(self) -> client.HTTPResponse:
        """Waits for the head of the reply; returns the reply, its body still unread.

        Raises:
            OSError: The connection is broken.
            client.HTTPException: The data is not a valid reply.
        """
        return client.HTTPConnection.getresponse(self)


class TargetConnection:
    """Persistent connection that is opened on demand.

    Args:
        address: The target's address.
        reply_max_bytes: A larger reply is not read to its end.
    """

    def __init__(self, address: Address, reply_max_bytes: int) -> None:
        self._connection = SingleWriteConnection(address)
        self._reply_max_bytes = reply_max_bytes

    @property
    def is_open(self) -> bool:
        """Whether the connection is open and has no unexpected data to read."""
        opened = self._connection.limited_socket
        return opened is not None and opened.is_idle

    def open(self) -> bool:
        """Opens a new connection; returns whether the target accepted it."""
        self.close()
        try:
            self._connection.connect()
        except (OSError, HTTPError):
            self.close()
            return False
        return True

    def exchange(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> HttpReply | ExchangeFailure:
        """Sends a request and waits for its reply.

        After a failure the connection is closed. The request is known not to have
        reached the target only if the connection could not be opened.
        """
        if not self.is_open and not self.open():
            return ExchangeFailure.NOT_CONNECTED
        try:
            return self._exchange(method, path, body, timeout_s)
        except TimeoutError:
            self.close()
            return ExchangeFailure.TIMED_OUT
        except (OSError, HTTPError, client.IncompleteRead):
            self.close()
            return ExchangeFailure.CLOSED
        except client.HTTPException:
            self.close()
            return ExchangeFailure.MALFORMED

    def close(self) -> None:
        """Closes the connection."""
        with contextlib.suppress(OSError):
            self._connection.close()

    def _exchange(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> HttpReply | ExchangeFailure:
        self._connection.start_exchange(clock.monotonic_s() + timeout_s)
        self._connection.request(method, path, body=body, headers=HEADERS)
        self._connection.flush()
        response = self._connection.receive()
        is_delimited = response.chunked or response.length is not None
        data = response.read(self._reply_max_bytes + 1)
        if len(data) > self._reply_max_bytes:
            self.close()
            return ExchangeFailure.TOO_LARGE
        if response.length:
            raise client.IncompleteRead(data, response.length)
        return HttpReply(response.status, data, is_delimited)
