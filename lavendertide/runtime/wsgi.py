"""The WSGI server, with bounds on the connections and on the writing of responses."""

import io
import socket
from collections.abc import Callable, Iterable
from typing import Any, Final, Protocol

from lavendertide.runtime import clock, transfers

# Time that a caller may take to send one request, without the pause before it and the
# time in which it is served. The longest request has some kilobytes.
REQUEST_S: Final = 10.0
# Longest line of a request, such as the length of a chunk. The server itself bounds
# only those of the head.
LINE_MAX_BYTES: Final = 16_384

Application = Callable[..., Any]


class GuardedConnection(Protocol):
    """What bounds a caller's connection."""

    def mark_idle(self) -> None:
        """Called when the connection waits for a request."""

    def mark_busy(self) -> None:
        """Called when a request has begun to arrive."""

    def write(self, parts: list[bytes]) -> None:
        """Writes parts of a response.

        Raises:
            OSError: The connection is broken, or the caller was too slow.
        """

    def end(self) -> None:
        """Called when the connection is about to be closed."""


# Returns what bounds a new connection; none if it has to be closed.
Guard = Callable[[socket.socket], GuardedConnection | None]


class _Writer:
    """Takes the place of the server's buffered file, which copies what it writes."""

    def __init__(self, connection: GuardedConnection) -> None:
        self._connection = connection
        self.closed = False

    def write(self, data: bytes) -> int:
        """Writes a part of a response."""
        self._connection.write([data])
        return len(data)

    def writelines(self, lines: Iterable[bytes]) -> None:
        """Writes the lines of a head and a part of a body."""
        *head, body = lines
        self._connection.write([b"".join(head), body])

    def flush(self) -> None:
        """Does nothing, since nothing is buffered."""

    def close(self) -> None:
        """Accepts nothing more; the server closes the connection."""
        self.closed = True


class _RequestSource(io.RawIOBase):
    """Reads a connection; each request has one time limit, not each of its bytes.

    Args:
        connection: The connection.
        idle_s: Time limit for the first byte of a request.
        guarded: Is told when a request is awaited and when it begins to arrive.
    """

    def __init__(
        self, connection: socket.socket, idle_s: float, guarded: GuardedConnection
    ) -> None:
        self._connection = connection
        self._idle_s = idle_s
        self._guarded = guarded
        self._left_s: float | None = None

    def start_waiting(self) -> None:
        """Called when a request is awaited."""
        self._left_s = None
        self._guarded.mark_idle()

    def start_request(self) -> None:
        """Called when a request has begun to arrive."""
        if self._left_s is None:
            self._left_s = REQUEST_S
            self._guarded.mark_busy()

    def readable(self) -> bool:
        """Returns true; `io.RawIOBase` requires it of readers."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Reads the data that has arrived, and waits if there is none.

        Raises:
            TimeoutError: Nothing arrived within the limit.
            OSError: The connection is broken.
        """
        began_s = clock.monotonic_s()
        wait_s = self._idle_s if self._left_s is None else self._left_s
        data = transfers.receive(self._connection, len(buffer), began_s + wait_s)
        buffer[: len(data)] = data
        if self._left_s is None:
            self.start_request()
        else:
            self._left_s -= clock.monotonic_s() - began_s
        return len(data)


class _Reader:
    """Takes the place of the server's file, with time limits and bounded lines.

    The server's own limit starts again with each byte. It also closes connections on
    which a request waits, if the process was busy when the limit passed.
    """

    def __init__(self, source: _RequestSource) -> None:
        self._source = source
        self._file = io.BufferedReader(source)

    @property
    def closed(self) -> bool:
        """Whether nothing more can be read."""
        return self._file.closed

    def start_waiting(self) -> None:
        """Called when a request is awaited."""
        self._source.start_waiting()

    def start_request(self) -> None:
        """Called when the first line of a request was read."""
        self._source.start_request()

    def read(self, size: int = -1) -> bytes:
        """Reads a number of bytes.

        Raises:
            TimeoutError: The request did not arrive in time.
        """
        return self._file.read(size)

    def readline(self, size: int = -1) -> bytes:
        """Reads a line.

        Raises:
            ConnectionResetError: The line is too long.
            TimeoutError: The request did not arrive in time.
        """
        if size >= 0:
            return self._file.readline(size)
        line = self._file.readline(LINE_MAX_BYTES)
        if len(line) >= LINE_MAX_BYTES:
            raise ConnectionResetError("line of a request is too long")
        return line

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def serve(
    listener: socket.socket,
    application: Application,
    connections_max: int,
    keep_alive_s: float,
    guard: Guard,
) -> None:
    """Serves HTTP with one task for each connection until the listener is closed.

    Open connections are left open.

    Args:
        listener: The listening socket.
        application: The WSGI application.
        connections_max: Connections that are served at the same time; others wait to be
            accepted.
        keep_alive_s: Time limit for the first byte of each request.
        guard: Bounds each connection.
    """
    # Imported here to save its memory in processes without a WSGI front end.
    from eventlet import wsgi

    class GuardedProtocol(wsgi.HttpProtocol):  # type: ignore[misc]
        """Serves one connection within the bounds of its guard."""

        wfile: Any
        rfile: Any

        def handle(self) -> None:
            guarded = guard(self.connection)
            if guarded is None:
                return
            self.wfile.close()
            self.wfile = _Writer(guarded)
            self.rfile.close()
            source = _RequestSource(self.connection, keep_alive_s, guarded)
            self.rfile = _Reader(source)
            try:
                super().handle()
            except ConnectionError:
                # The caller has reset the connection, which is no fault to report.
                pass
            finally:
                guarded.end()

        def _read_request_line(self) -> Any:
            # A server that is stopped closes the connections that it takes for idle,
            # also if a request waits there. Who stops it closes the idle ones.
            self.conn_state[2] = wsgi.STATE_REQUEST
            self.rfile.start_waiting()
            line = super()._read_request_line()
            self.rfile.start_request()
            return line

    wsgi.server(
        listener,
        application,
        max_size=connections_max,
        protocol=GuardedProtocol,
        keepalive=True,
        socket_timeout=keep_alive_s,
        log_output=False,
        debug=False,
    )
