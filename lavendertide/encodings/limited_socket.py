"""A connection as HTTP libraries use it, with one time limit for an exchange.

A library sets a limit for each piece that it receives, and loses what has arrived when
a timer ends its read. Here all reads and writes of an exchange share a limit, and data
that has arrived by then is still read (`lavendertide.runtime.transfers`).
"""

import io
import socket
from typing import Any

from lavendertide.runtime import transfers
from lavendertide.runtime.sockets import is_idle


class LimitedSocket:
    """Takes the place of a library's socket.

    Args:
        connection: The open connection.
    """

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._ends_at_s = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and has no data to read."""
        return is_idle(self._connection)

    def start_exchange(self, ends_at_s: float) -> None:
        """Sets the monotonic time at which the exchange that begins has to end."""
        self._ends_at_s = ends_at_s

    def settimeout(self, _: float | None) -> None:
        """Ignores the library's own limit."""

    def sendall(self, data: bytes) -> None:
        """Sends data.

        Raises:
            TimeoutError: It was not accepted in time.
            OSError: The connection is broken.
        """
        transfers.send_pieces(self._connection, data, lambda _: self._ends_at_s)

    def makefile(self, _: str) -> io.BufferedReader:
        """Returns a file that reads the reply; the connection is open as long as it."""
        return io.BufferedReader(_ReplyFile(self._connection, self._ends_at_s))

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()


class _ReplyFile(io.RawIOBase):
    """Reads the reply of an exchange until the exchange has to end."""

    def __init__(self, connection: socket.socket, ends_at_s: float) -> None:
        self._plain = transfers.plain(connection)
        # The library closes the connection before it reads a reply that is the last.
        self._opened = connection.makefile("rb", buffering=0)
        self._ends_at_s = ends_at_s

    def readable(self) -> bool:
        """Returns true; `io.RawIOBase` requires it of readers."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Reads the data that has arrived, and waits if there is none.

        Raises:
            TimeoutError: Nothing arrived in time.
            OSError: The connection is broken.
        """
        data = transfers.receive(self._plain, len(buffer), self._ends_at_s)
        buffer[: len(data)] = data
        return len(data)

    def close(self) -> None:
        """Releases the connection."""
        self._opened.close()
        super().close()
