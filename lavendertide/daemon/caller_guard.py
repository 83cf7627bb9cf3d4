"""Bounds the connections of the callers' API and of the administration API."""

import socket

from lavendertide.encodings.response_writing import write_response
from lavendertide.overload.caller_bounds import CallerBounds, Cause
from lavendertide.overload.caller_connections import Admission
from lavendertide.overload.write_limit import BASE_S
from lavendertide.runtime import sockets


class GuardedCaller:
    """One connection of a caller; implements `runtime.wsgi.GuardedConnection`."""

    def __init__(self, connection: socket.socket, bounds: CallerBounds) -> None:
        self._socket = connection
        self._bounds = bounds

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and has no data to read."""
        return sockets.is_idle(self._socket)

    def shut_down(self) -> None:
        """Ends the connection; what was written is still sent."""
        sockets.shut_down(self._socket)

    def mark_idle(self) -> None:
        """Records that the connection waits for a request."""
        self._bounds.connections.mark_idle(self)

    def mark_busy(self) -> None:
        """Records that a request has begun to arrive."""
        self._bounds.connections.mark_busy(self)

    def write(self, parts: list[bytes]) -> None:
        """Writes parts of a response.

        Raises:
            ConnectionError: The caller has closed, or was too slow or evicted.
        """
        memory = self._bounds.memory
        held = memory.open() if memory is not None else None
        failure = write_response(self._socket, parts, BASE_S, held)
        if failure is None:
            return
        if failure.cause is not None:
            self._bounds.record(failure.cause)
        raise ConnectionResetError(failure.value)

    def end(self) -> None:
        """Counts the connection no more."""
        self._bounds.connections.remove(self)


class CallerGuard:
    """Bounds the connections of one front; implements `runtime.wsgi.Guard`."""

    def __init__(self, bounds: CallerBounds) -> None:
        self._bounds = bounds

    def __call__(self, connection: socket.socket) -> GuardedCaller | None:
        """Returns what bounds a new connection; none if it has to be closed."""
        sockets.bound_send_buffer(connection)
        guarded = GuardedCaller(connection, self._bounds)
        admission = self._bounds.connections.add(guarded)
        if admission is not Admission.ADDED:
            self._bounds.record(Cause.CONNECTIONS)
        return None if admission is Admission.REFUSED else guarded
