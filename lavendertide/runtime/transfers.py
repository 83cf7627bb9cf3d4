"""Waits for connections with time limits, and sends long data.

A process that was busy handles its timers before its connections. So each wait whose
limit has passed looks once more at what has arrived meanwhile; only if there is nothing
it has timed out. Nobody else could say whether unread data was seen.
"""

import contextlib
import socket
from collections.abc import Callable
from typing import Final

from eventlet import hubs

from lavendertide.runtime import clock

# Bytes that are passed to the system at a time.
PIECE_BYTES: Final = 262_144
# Combined once, since combining flags takes longer than the system call itself.
PEEK: Final = int(socket.MSG_PEEK | socket.MSG_DONTWAIT)


class _LimitPassed(TimeoutError):
    """The limit of a wait has passed, and not that of a `time_limit` around it."""


def receive(connection: socket.socket, bytes_max: int, until_s: float) -> bytes:
    """Waits for data; returns `b""` once the other side has closed the connection.

    Unlike this function, `recv` of eventlet returns `b""` for a reset connection too.
    A truncated reply whose end is marked by the end of its connection would then look
    complete.

    Args:
        connection: The connection to read.
        bytes_max: Upper bound on the number of bytes to return.
        until_s: Monotonic time until which to wait. Data that has arrived by the time
            at which this task runs is returned also after it.

    Raises:
        TimeoutError: No data arrived in time.
        OSError: The connection was reset.
    """
    return receive_within(connection, bytes_max, lambda: until_s)


def receive_within(
    connection: socket.socket, bytes_max: int, find_limit_s: Callable[[], float]
) -> bytes:
    """Waits like `receive`, with a limit that may move while this task waits.

    Args:
        connection: The connection to read.
        bytes_max: Upper bound on the number of bytes to return.
        find_limit_s: Returns the monotonic time until which to wait. It is called
            again when that has passed.

    Raises:
        TimeoutError: No data arrived in time.
        OSError: The connection was reset.
    """
    plain_socket = plain(connection)
    while True:
        is_in_time = wait_until_ready(plain_socket, find_limit_s(), is_write=False)
        with contextlib.suppress(BlockingIOError):
            data: bytes = plain_socket.recv(bytes_max, socket.MSG_DONTWAIT)
            return data
        if not is_in_time and clock.monotonic_s() >= find_limit_s():
            raise TimeoutError("no data arrived in time")


def send_pieces(
    connection: socket.socket,
    data: bytes,
    ends_at_s: Callable[[int], float],
    accepted: int = 0,
) -> int:
    """Sends data without a copy of it; returns the bytes accepted so far.

    Unlike with `sendall`, the time limit doesn't start again with each piece.

    Args:
        connection: The connection.
        data: What to send.
        ends_at_s: Returns the monotonic time until which more has to be accepted, after
            a number of accepted bytes.
        accepted: Bytes that were accepted before, for this limit.

    Raises:
        TimeoutError: The other side did not accept the data in time.
        OSError: The connection is broken.
    """
    plain_socket = plain(connection)
    view = memoryview(data)
    sent = 0
    is_in_time = True
    while sent < len(view):
        try:
            sent += plain_socket.send(
                view[sent : sent + PIECE_BYTES], socket.MSG_DONTWAIT
            )
        except BlockingIOError:
            if not is_in_time:
                raise TimeoutError("data was not accepted in time") from None
            limit_s = ends_at_s(accepted + sent)
            is_in_time = wait_until_ready(plain_socket, limit_s, is_write=True)
        else:
            is_in_time = True
    return accepted + sent


def wait_for_data(connection: socket.socket, timeout_s: float) -> bool:
    """Waits for data or the end of the connection; returns false after the timeout."""
    plain_socket = plain(connection)
    limit_s = clock.monotonic_s() + timeout_s
    if wait_until_ready(plain_socket, limit_s, is_write=False):
        return True
    try:
        plain_socket.recv(1, PEEK)
    except BlockingIOError:
        return False
    except OSError:
        pass
    return True


def wait_until_ready(
    plain_socket: socket.socket, until_s: float, is_write: bool
) -> bool:
    """Waits until a socket may be read or written; returns false after the limit.

    It may be ready nevertheless if the process was busy when the limit passed.
    """
    timeout_s = max(0.0, until_s - clock.monotonic_s())
    try:
        hubs.trampoline(
            plain_socket,
            read=not is_write,
            write=is_write,
            timeout=timeout_s,
            timeout_exc=_LimitPassed,
        )
    except _LimitPassed:
        return False
    return True


def plain(connection: socket.socket) -> socket.socket:
    """Returns the socket of the system below one of eventlet's."""
    found: socket.socket = getattr(connection, "fd", connection)
    return found
