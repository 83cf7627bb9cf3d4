"""The WSGI server, with bounds on the connections and on the writing of responses."""

import socket
from collections.abc import Callable, Iterable
from typing import Any, Protocol

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


def serve(
    listener: socket.socket,
    application: Application,
    connections_max: int,
    keep_alive_s: float,
    guard: Guard,
) -> None:
    """Serves HTTP with one task for each connection until the listener is closed.

    Args:
        listener: The listening socket.
        application: The WSGI application.
        connections_max: Connections that are served at the same time; others wait to be
            accepted.
        keep_alive_s: Time limit for each read, also of the next request.
        guard: Bounds each connection.
    """
    # Imported here to save its memory in processes without a WSGI front end.
    from eventlet import wsgi

    class GuardedProtocol(wsgi.HttpProtocol):  # type: ignore[misc]
        """Serves one connection within the bounds of its guard."""

        wfile: Any

        def handle(self) -> None:
            guarded = guard(self.connection)
            if guarded is None:
                return
            self._guarded = guarded
            self.wfile.close()
            self.wfile = _Writer(guarded)
            try:
                super().handle()
            finally:
                guarded.end()

        def _read_request_line(self) -> Any:
            self._guarded.mark_idle()
            line = super()._read_request_line()
            self._guarded.mark_busy()
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
