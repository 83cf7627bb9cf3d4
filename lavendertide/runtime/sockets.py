"""Listening and connecting sockets, and the WSGI server.

Addresses are `IP:port`; names are not resolved, since the platform works by IP
numbers.
"""

import contextlib
import io
import logging
import socket
from collections.abc import Callable
from typing import Any, Final

import eventlet
from eventlet import hubs

from lavendertide.ids import Address
from lavendertide.runtime import clock

BACKLOG = 512
# How long the other side of a connection may leave unacknowledged what was sent.
UNACKNOWLEDGED_MS: Final = 4_000

_LATE: Final = TimeoutError("nothing came in time")
# Joined here, since joining flags takes longer than the system call that gets them.
_PEEK: Final = int(socket.MSG_PEEK | socket.MSG_DONTWAIT)

Application = Callable[..., Any]

_log = logging.getLogger(__name__)


def split_address(address: Address) -> tuple[str, int]:
    """Returns IP and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def listen(address: Address) -> socket.socket:
    """Opens a listening socket.

    Raises:
        OSError: The address is taken or not of this host.
    """
    listener: socket.socket = eventlet.listen(split_address(address), backlog=BACKLOG)
    return listener


def close_listener(listener: socket.socket) -> None:
    """Refuses further connections; those already open go on."""
    with contextlib.suppress(OSError):
        listener.shutdown(socket.SHUT_RDWR)


def connect(address: Address, timeout_s: float) -> socket.socket:
    """Opens a connection.

    Raises:
        OSError: Nobody answered within the timeout.
    """
    with eventlet.Timeout(timeout_s, TimeoutError("connect timeout")):
        connection: socket.socket = eventlet.connect(split_address(address))
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def serve_wsgi(
    listener: socket.socket,
    application: Application,
    most_connections: int,
    keep_alive_s: float,
) -> None:
    """Serves HTTP, one task a connection, until the listener is closed."""
    # Imported here, since only daemons with a WSGI front end need its memory.
    from eventlet import wsgi

    wsgi.server(
        listener,
        application,
        max_size=most_connections,
        keepalive=True,
        socket_timeout=keep_alive_s,
        log_output=False,
        debug=False,
    )


def is_closed_by_peer(connection: socket.socket) -> bool:
    """Returns whether the other side has closed a connection; never waits."""
    return _peek(connection) == b""


class ArrivalTrackingReader(io.RawIOBase):
    """Reads a connection and notes when nothing was left to read.

    Whatever is read later has arrived after that moment.
    """

    def __init__(self, connection: socket.socket) -> None:
        self._plain = getattr(connection, "fd", connection)
        self._raw = connection.makefile("rb", buffering=0)
        self._empty_at_s = clock.monotonic_s()

    @property
    def empty_at_s(self) -> float:
        """When the connection was last found empty."""
        return self._empty_at_s

    def readable(self) -> bool:
        """Returns whether it can be read from."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Reads what is there and waits only if there is nothing.

        Raises:
            OSError: The connection is broken.
        """
        try:
            read: int = self._plain.recv_into(buffer, 0, socket.MSG_DONTWAIT)
        except BlockingIOError:
            self._empty_at_s = clock.monotonic_s()
            return self._raw.readinto(buffer)
        return read

    def close(self) -> None:
        """Lets go of the connection."""
        self._raw.close()
        super().close()


def set_unacknowledged_timeout(connection: socket.socket) -> None:
    """Ends a connection whose other side acknowledges nothing for a while."""
    with contextlib.suppress(OSError):
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
        )


def receive(connection: socket.socket, most: int, until_s: float) -> bytes:
    """Waits for bytes; returns none once the other side has closed in good order.

    The library's own `recv` returns the same for a reset connection, so that a reply
    which ends with its connection would look complete when it was broken off.

    Args:
        connection: Where to read; what has come before is better read without waiting.
        most: How many bytes at a time.
        until_s: How long to wait, monotonic.

    Raises:
        TimeoutError: Nothing came in time.
        OSError: The connection was reset.
    """
    plain = getattr(connection, "fd", connection)
    while True:
        left_s = max(0.0, until_s - clock.monotonic_s())
        hubs.trampoline(plain, read=True, timeout=left_s, timeout_exc=_LATE)
        try:
            data: bytes = plain.recv(most)
        except BlockingIOError:
            continue
        return data


def is_idle(connection: socket.socket) -> bool:
    """Returns whether a connection is open and has nothing to read; never waits."""
    return _peek(connection) is None


def _peek(connection: socket.socket) -> bytes | None:
    """Returns a byte that has come, none if none has, and `b""` after the end."""
    plain = getattr(connection, "fd", connection)
    try:
        data: bytes = plain.recv(1, _PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""
    return data


def accept_forever(
    listener: socket.socket, serve: Callable[[socket.socket], None], most: int
) -> None:
    """Serves each connection in a task of its own until the listener is closed.

    Args:
        listener: Where callers connect.
        serve: Serves one connection.
        most: Connections that are open at a time; further ones wait to be accepted.
    """
    pool = eventlet.GreenPool(most)
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        pool.spawn_n(_serve_one, serve, connection)


def _serve_one(serve: Callable[[socket.socket], None], connection: Any) -> None:
    try:
        serve(connection)
    except Exception:
        _log.exception("connection failed")
    finally:
        connection.close()
