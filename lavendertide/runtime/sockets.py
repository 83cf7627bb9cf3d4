"""Sockets that listen and connect, and their options.

Addresses have the form `IP:port`. Host names are not resolved, since the platform uses
IP numbers.
"""

import contextlib
import errno
import fcntl
import io
import logging
import os
import socket
import struct
import sys
import termios
from collections.abc import Callable
from typing import Any, Final

import eventlet
from eventlet.green import socket as green_socket

from lavendertide.ids import Address
from lavendertide.runtime import clock
from lavendertide.runtime.transfers import PEEK, plain, receive, wait_until_ready

BACKLOG = 512
# How long sent data may stay unacknowledged before its connection is closed.
UNACKNOWLEDGED_MS: Final = 4_000
# When an idle connection is probed, and after how many unanswered probes it is closed.
KEEP_ALIVE_IDLE_S: Final = 4
KEEP_ALIVE_INTERVAL_S: Final = 2
KEEP_ALIVE_PROBES: Final = 2

# Errors of `accept` on a listener that was closed or shut down.
CLOSED_LISTENER_ERRORS: Final = frozenset({errno.EBADF, errno.EINVAL, errno.ENOTSOCK})
# Pause after another error of `accept`, such as too many open files.
ACCEPT_RETRY_S: Final = 0.05

# Place of `tcpi_min_rtt`, in microseconds, in Linux's `struct tcp_info`.
MIN_ROUND_TRIP: Final = struct.Struct("=I")
MIN_ROUND_TRIP_OFFSET: Final = 148
TCP_INFO_BYTES: Final = MIN_ROUND_TRIP_OFFSET + MIN_ROUND_TRIP.size
# Round trips as long as this are no measurements.
ROUND_TRIP_MAX_US: Final = 10_000_000

# The first byte of that structure: closed, and open but for the other side's sending.
TCP_CLOSED: Final = 7
TCP_CLOSE_WAIT: Final = 8

# Send buffer of a caller's connection, which Linux doubles. It takes the machine's
# memory, so it doesn't grow to the usual megabytes; with it, a caller at 20 ms still
# gets 8 MiB within 3 s.
SEND_BUFFER_BYTES: Final = 65_536
# A close discards what was not sent, instead of keeping it for the other side.
LINGER: Final = struct.pack("ii", 1, 0)

_log = logging.getLogger(__name__)


def split_address(address: Address) -> tuple[str, int]:
    """Splits an address into IP number and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def listen(address: Address) -> socket.socket:
    """Opens a listening socket.

    Raises:
        OSError: The address is in use or does not belong to this host.
    """
    listener: socket.socket = eventlet.listen(split_address(address), backlog=BACKLOG)
    return listener


def close_listener(listener: socket.socket) -> None:
    """Refuses new connections; open ones are not affected."""
    with contextlib.suppress(OSError):
        listener.shutdown(socket.SHUT_RDWR)


def connect(address: Address, timeout_s: float) -> socket.socket:
    """Opens a connection.

    Raises:
        OSError: The connection was refused, or not accepted within the timeout.
    """
    connection: socket.socket = green_socket.socket()
    plain_socket = plain(connection)
    limit_s = clock.monotonic_s() + timeout_s
    try:
        error = plain_socket.connect_ex(split_address(address))
        if error == errno.EINPROGRESS:
            is_in_time = wait_until_ready(plain_socket, limit_s, is_write=True)
            error = plain_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if not is_in_time and not error and not _is_connected(plain_socket):
                error = errno.ETIMEDOUT
        if error:
            raise OSError(error, os.strerror(error))
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except BaseException:
        connection.close()
        raise
    return connection


def _is_connected(plain_socket: socket.socket) -> bool:
    try:
        plain_socket.getpeername()
    except OSError:
        return False
    return True


class ArrivalTrackingReader(io.RawIOBase):
    """Reads a connection and records when its receive buffer was last empty.

    Data that is read after that time has also arrived after it.
    """

    def __init__(self, connection: socket.socket) -> None:
        self._plain_socket = plain(connection)
        self._raw = connection.makefile("rb", buffering=0)
        self._empty_at_s = clock.monotonic_s()
        self._wait_s: float | None = None

    @property
    def empty_at_s(self) -> float:
        """Monotonic time at which the receive buffer was last empty."""
        return self._empty_at_s

    def limit_waits(self, wait_s: float | None) -> None:
        """Sets the time limit for each wait; none lets it wait for ever."""
        self._wait_s = wait_s

    def readable(self) -> bool:
        """Returns true; `io.RawIOBase` requires it of readers."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Reads the data that has arrived, and waits only if there is none.

        Raises:
            TimeoutError: Nothing arrived in time.
            OSError: The connection is broken.
        """
        try:
            read: int = self._plain_socket.recv_into(buffer, 0, socket.MSG_DONTWAIT)
        except BlockingIOError:
            self._empty_at_s = clock.monotonic_s()
            if self._wait_s is None:
                return self._raw.readinto(buffer)
            until_s = self._empty_at_s + self._wait_s
            data = receive(self._plain_socket, len(buffer), until_s)
            buffer[: len(data)] = data
            return len(data)
        return read

    def close(self) -> None:
        """Closes the reader and releases its reference to the connection."""
        self._raw.close()
        super().close()


def set_unacknowledged_timeout(connection: socket.socket) -> None:
    """Makes the system close a connection whose data is not acknowledged in time."""
    with contextlib.suppress(OSError):
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
        )


def set_keep_alive(connection: socket.socket) -> None:
    """Makes the system probe a connection that is idle, and close one that is dead.

    The system of the other side answers, also while its process is paused.
    """
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        ):
            connection.setsockopt(socket.IPPROTO_TCP, option, value)


def round_trip_s(connection: socket.socket) -> float | None:
    """Returns the shortest round trip seen on a connection; none if it is unknown.

    The mean would include the time for which the other side delays acknowledgements.
    """
    plain_socket = plain(connection)
    try:
        info = plain_socket.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
    except OSError:
        return None
    if len(info) < TCP_INFO_BYTES:
        return None
    (round_trip_us,) = MIN_ROUND_TRIP.unpack_from(info, MIN_ROUND_TRIP_OFFSET)
    # Without a measurement it is zero or the greatest number.
    if not 0 < round_trip_us < ROUND_TRIP_MAX_US:
        return None
    return float(round_trip_us) / 1e6


def unsent_bytes(connection: socket.socket) -> int:
    """Returns what the other side's system has not acknowledged; 0 if it is closed."""
    plain_socket = plain(connection)
    try:
        queued = fcntl.ioctl(plain_socket.fileno(), termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        return 0
    return int.from_bytes(queued, sys.byteorder)


def bound_send_buffer(connection: socket.socket) -> None:
    """Bounds what the system holds for a connection that doesn't read."""
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


def reset(connection: socket.socket) -> None:
    """Ends a connection and discards what was not sent; its task has to close it."""
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
    shut_down(connection)


def shut_down(connection: socket.socket) -> None:
    """Ends a connection; what was written is still sent, and its task closes it."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)


def end_sending(connection: socket.socket) -> None:
    """Ends the sending side of a connection; what was written is still sent."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_WR)


def is_idle(connection: socket.socket) -> bool:
    """Returns whether a connection is open and has no data to read; never waits."""
    return _peek(connection) is None


def has_data(connection: socket.socket) -> bool:
    """Returns whether a connection has data to read; never waits."""
    return bool(_peek(connection))


def is_closed(connection: socket.socket) -> bool:
    """Returns whether a connection is closed for both directions, or was reset."""
    plain_socket = plain(connection)
    try:
        if plain_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return True
    except OSError:
        return True
    return _tcp_state(plain_socket) == TCP_CLOSED


def has_ended_sending(connection: socket.socket) -> bool:
    """Returns whether the other side has ended its sending, also behind unread data."""
    return _tcp_state(plain(connection)) == TCP_CLOSE_WAIT


def _tcp_state(plain_socket: socket.socket) -> int:
    """Returns the state of a connection as Linux numbers it; zero if it is unknown."""
    try:
        info = plain_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return TCP_CLOSED
    return info[0] if info else 0


def _peek(connection: socket.socket) -> bytes | None:
    """Returns the next byte, none if there is no data, `b""` once it is closed."""
    plain_socket = plain(connection)
    timeout_s = plain_socket.gettimeout()
    try:
        # A socket that isn't one of eventlet's would wait for data.
        if timeout_s != 0.0:
            plain_socket.settimeout(0.0)
        data: bytes = plain_socket.recv(1, PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""
    finally:
        if timeout_s != 0.0:
            plain_socket.settimeout(timeout_s)
    return data


def accept(listener: socket.socket) -> socket.socket | None:
    """Waits for a connection; returns none once the listener is closed.

    Other errors concern a single connection, or pass once descriptors are free again,
    so they don't end the listener.
    """
    while True:
        try:
            connection, _ = listener.accept()
        except OSError as error:
            if error.errno in CLOSED_LISTENER_ERRORS:
                return None
            _log.warning("connection not accepted", extra={"problem": str(error)})
            eventlet.sleep(ACCEPT_RETRY_S)
        else:
            return connection


def accept_forever(
    listener: socket.socket,
    serve: Callable[[socket.socket], None],
    connections_max: int,
) -> None:
    """Serves each connection in a task of its own until the listener is closed.

    Args:
        listener: The listening socket.
        serve: Serves one connection.
        connections_max: Number of connections that are served at the same time; others
            wait to be accepted.
    """
    pool = eventlet.GreenPool(connections_max)
    while (connection := accept(listener)) is not None:
        pool.spawn_n(_serve_one, serve, connection)


def _serve_one(serve: Callable[[socket.socket], None], connection: Any) -> None:
    try:
        serve(connection)
    except Exception:
        _log.exception("connection failed")
    finally:
        connection.close()
