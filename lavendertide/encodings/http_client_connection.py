"""Client side of HTTP connections to targets and to the platform.

A connection carries one exchange at a time. Callers of this module need to know whether
any byte of a response has arrived and whether more bytes follow a complete response;
ready-made clients do not report that.
"""

import contextlib
import socket
from collections.abc import Sequence
from typing import Final

from lavendertide.encodings.http_messages import READ_BYTES, HttpResponse
from lavendertide.encodings.http_replies import (
    PROCESS_MEMORY,
    MalformedReply,
    OversizedReply,
    ReplyMatcher,
    ReplyReader,
    match_any_reply,
)
from lavendertide.ids import Address
from lavendertide.overload.response_memory import ResponseMemory
from lavendertide.runtime import clock, sockets, transfers

# Time limit for the server to accept a request, however it reads.
SEND_TIMEOUT_S: Final = 4.0


class ExchangeError(Exception):
    """An exchange ended without a complete response.

    Attributes:
        has_received_data: Whether any byte of a response had arrived.
        is_timeout: Whether the time limit had passed.
        is_oversized: Whether the response was too large to be read.
    """

    def __init__(
        self, has_received_data: bool, is_timeout: bool, is_oversized: bool = False
    ) -> None:
        super().__init__("Check that the other side runs; try another address.")
        self.has_received_data = has_received_data
        self.is_timeout = is_timeout
        self.is_oversized = is_oversized


class ClientConnection:
    """One persistent connection to a server.

    Args:
        address: The server's address.
        memory: The account of all responses that the process holds.
    """

    def __init__(
        self, address: Address, memory: ResponseMemory = PROCESS_MEMORY
    ) -> None:
        self._address = address
        self._memory = memory
        self._socket: socket.socket | None = None

    @property
    def is_open(self) -> bool:
        """Whether the connection is open and has no unexpected data to read."""
        return self._socket is not None and sockets.is_idle(self._socket)

    @property
    def has_data(self) -> bool:
        """Whether data has arrived that was not read yet."""
        return self._socket is not None and sockets.has_data(self._socket)

    def open(self, timeout_s: float) -> bool:
        """Opens a new connection; returns whether the server accepted it."""
        self.close()
        try:
            connection = sockets.connect(self._address, timeout_s)
        except OSError:
            return False
        sockets.set_unacknowledged_timeout(connection)
        self._socket = connection
        return True

    def exchange(
        self,
        method: str,
        request: Sequence[bytes],
        timeout_s: float,
        is_matching: ReplyMatcher = match_any_reply,
    ) -> HttpResponse:
        """Sends a request and waits for its response.

        Args:
            method: The method of the request.
            request: The pieces of the request, from `render_head` and `render_body`.
                They are sent without a copy.
            timeout_s: Time limit for the response.
            is_matching: Decides by the headers whether a response belongs to this
                request.

        Raises:
            ExchangeError: No complete response arrived; the connection is closed.
        """
        reader = ReplyReader(method, is_matching, self._memory)
        has_received_data = False
        now_s = clock.monotonic_s()
        ends_at_s = now_s + timeout_s
        sent_by_s = min(ends_at_s, now_s + SEND_TIMEOUT_S)
        try:
            if self._socket is None:
                raise ConnectionResetError
            for piece in request:
                transfers.send_pieces(self._socket, piece, lambda _: sent_by_s)
            while not reader.is_complete:
                data = transfers.receive(self._socket, READ_BYTES, ends_at_s)
                has_received_data = has_received_data or bool(data)
                reader.feed(data)
            return HttpResponse(
                reader.status, reader.headers, reader.body, reader.hand_over()
            )
        except (OSError, MalformedReply) as error:
            raise ExchangeError(
                has_received_data,
                isinstance(error, TimeoutError),
                isinstance(error, OversizedReply),
            ) from error
        finally:
            if not reader.is_reusable:
                self.close()
            reader.close()

    def abort(self) -> None:
        """Shuts the connection down; an exchange in another task fails at once."""
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Closes the connection."""
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.close()
            self._socket = None
