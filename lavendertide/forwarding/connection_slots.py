"""Bounds the open connections to all targets of a host together.

Load pattern: searches of very many targets, or targets that hold their connections,
need more descriptors than the host has. A connection that has been idle for longest is
closed for a new one; without an idle one, the call waits in order of arrival, as it
does for a connection of its target's pool. The decision is local to a host.
"""

from collections import deque
from collections.abc import Callable
from typing import Protocol

from lavendertide.runtime import clock, tasks


class IdleConnection(Protocol):
    """A connection, as far as the bound needs it."""

    def release(self) -> None:
        """Closes the connection while no exchange runs on it; must not wait."""


class ConnectionSlots:
    """One slot for each connection that may be open.

    Args:
        find_max: Returns how many may be open; unbounded if none.
    """

    def __init__(self, find_max: Callable[[], int] | None = None) -> None:
        self._find_max = find_max
        self._open: set[IdleConnection] = set()
        # The one that has been idle for longest comes first.
        self._idle: dict[IdleConnection, None] = {}
        self._waiting: deque[tasks.Mailbox[None]] = deque()

    def __len__(self) -> int:
        return len(self._open)

    @property
    def waiting(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._waiting)

    def acquire(self, connection: IdleConnection, until_s: float) -> bool:
        """Waits for a slot for a connection that may be opened then.

        Args:
            connection: The connection; it keeps a slot that it has.
            until_s: Monotonic time until which to wait.

        Returns:
            Whether the connection has a slot.
        """
        if connection in self._open:
            return True
        while self._is_full():
            if self._close_longest_idle():
                continue
            left_s = until_s - clock.monotonic_s()
            if left_s <= 0.0:
                return False
            self._wait(left_s)
        self._open.add(connection)
        return True

    def mark_idle(self, connection: IdleConnection) -> None:
        """Records that no exchange runs on a connection.

        It is closed at once if another one waits for its slot.
        """
        if connection not in self._open:
            return
        if self._waiting:
            connection.release()
            self.remove(connection)
        elif self._find_max is not None:
            self._idle[connection] = None

    def mark_busy(self, connection: IdleConnection) -> None:
        """Records that a connection must not be closed for another one."""
        self._idle.pop(connection, None)

    def remove(self, connection: IdleConnection) -> None:
        """Frees the slot of a closed connection; may be called repeatedly."""
        self._idle.pop(connection, None)
        if connection in self._open:
            self._open.remove(connection)
            self._wake_next()

    def _is_full(self) -> bool:
        return self._find_max is not None and len(self._open) >= self._find_max()

    def _close_longest_idle(self) -> bool:
        """Closes one connection; returns false if none is idle."""
        longest_idle = next(iter(self._idle), None)
        if longest_idle is None:
            return False
        longest_idle.release()
        del self._idle[longest_idle]
        self._open.remove(longest_idle)
        return True

    def _wait(self, left_s: float) -> None:
        woken: tasks.Mailbox[None] = tasks.Mailbox()
        self._waiting.append(woken)
        try:
            woken.receive(left_s)
        finally:
            if woken in self._waiting:
                self._waiting.remove(woken)

    def _wake_next(self) -> None:
        if self._waiting:
            self._waiting.popleft().send(None)
