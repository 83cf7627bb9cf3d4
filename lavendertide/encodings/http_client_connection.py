"""Connections to targets and to the platform, one exchange at a time.

Whoever asks needs to know whether a byte of a reply has come and whether bytes follow a
complete reply, which a ready-made client does not tell.
"""

import contextlib
import socket
from typing import Final

from lavendertide.encodings.http_messages import READ_BYTES, HttpResponse
from lavendertide.encodings.http_replies import (
    IsOwn,
    MalformedReply,
    ReplyReader,
    any_is_own,
)
from lavendertide.ids import Address
from lavendertide.runtime import clock, sockets

# How long a server may take to accept a request.
SEND_TIMEOUT_S: Final = 4.0


class ExchangeError(Exception):
    """An exchange brought no complete response.

    Attributes:
        is_answered: Whether any byte of a response had come.
        is_timeout: Whether the time was used up.
    """

    def __init__(self, is_answered: bool, is_timeout: bool) -> None:
        super().__init__("Check that the other side runs; try another address.")
        self.is_answered = is_answered
        self.is_timeout = is_timeout


class ClientConnection:
    """One connection to a server, opened when it is needed and kept."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._socket: socket.socket | None = None

    @property
    def is_open(self) -> bool:
        """Whether it is open and nothing unexpected has come on it."""
        return self._socket is not None and sockets.is_idle(self._socket)

    def open(self, timeout_s: float) -> bool:
        """Opens it anew; returns whether the server accepted it."""
        self.close()
        try:
            connection = sockets.connect(self._address, timeout_s)
        except OSError:
            return False
        connection.settimeout(SEND_TIMEOUT_S)
        sockets.set_unacknowledged_timeout(connection)
        self._socket = connection
        return True

    def exchange(
        self,
        method: str,
        request: bytes,
        timeout_s: float,
        is_own: IsOwn = any_is_own,
    ) -> HttpResponse:
        """Sends a request and waits for its response.

        Args:
            method: The method of the request.
            request: The whole request as `render` writes it.
            timeout_s: How long to wait for the response.
            is_own: Tells by the headers whether a response answers this request.

        Raises:
            ExchangeError: No complete response came; the connection is closed.
        """
        reader = ReplyReader(method, is_own)
        is_answered = False
        ends_at_s = clock.monotonic_s() + timeout_s
        try:
            if self._socket is None:
                raise ConnectionResetError
            self._socket.sendall(request)
            while not reader.is_complete:
                data = sockets.receive(self._socket, READ_BYTES, ends_at_s)
                is_answered = is_answered or bool(data)
                reader.feed(data)
        except (OSError, MalformedReply) as error:
            self.close()
            is_timeout = isinstance(error, TimeoutError)
            raise ExchangeError(is_answered, is_timeout) from error
        if not reader.is_reusable:
            self.close()
        return HttpResponse(reader.status, reader.headers, reader.body)

    def abort(self) -> None:
        """Ends the connection at once; a waiting exchange fails."""
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Closes the connection."""
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.close()
            self._socket = None
