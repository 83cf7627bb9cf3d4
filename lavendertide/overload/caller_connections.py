"""Bounds the connections that callers keep open.

It handles callers that open very many connections and send nothing. Above the bound the
connection that has been idle for longest is closed; if none is idle, the new one is.
The decision is local to a host; hosts need not agree.
"""

from enum import Enum
from typing import Final, Protocol

# Descriptors of a host that are reserved for files and other connections.
RESERVED_FILES: Final = 200
# A bound below this would leave an ordinary crowd of callers no room.
LEAST_CONNECTIONS: Final = 50


def connections_max_of(files_max: int, connections_max: int) -> int:
    """Returns the bound on callers' connections.

    Args:
        files_max: Descriptors that the process may have open.
        connections_max: Connections that a front serves if files don't matter.
    """
    return max(LEAST_CONNECTIONS, min(connections_max, files_max - RESERVED_FILES))


class CallerConnection(Protocol):
    """A caller's connection, as far as the bound needs it."""

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and no byte of a request has arrived."""

    def shut_down(self) -> None:
        """Ends the connection, so that its task closes it; must not wait."""


class Admission(Enum):
    """What became of a new connection."""

    ADDED = "added"
    # Another connection was closed for it.
    REPLACED = "replaced"
    REFUSED = "refused"


class CallerConnections:
    """The open connections of one front.

    Args:
        connections_max: Most that may be open; unbounded if none.
    """

    def __init__(self, connections_max: int | None = None) -> None:
        self._connections_max = connections_max
        self._open: set[CallerConnection] = set()
        # The one that has been idle for longest comes first.
        self._idle: dict[CallerConnection, None] = {}

    def __len__(self) -> int:
        return len(self._open)

    @property
    def idle(self) -> list[CallerConnection]:
        """The connections that wait for a request, idle for longest first."""
        return list(self._idle)

    def add(self, connection: CallerConnection) -> Admission:
        """Adds a new connection, which counts as idle; closes an idle one if needed.

        A connection on which a request has arrived isn't closed, even if its task has
        not noticed yet: its caller couldn't tell whether the request has run.

        Returns:
            What became of it; the caller of this method closes a refused one.
        """
        admission = Admission.ADDED
        bound = self._connections_max
        if bound is not None and len(self._open) >= bound:
            if not self._close_longest_idle():
                return Admission.REFUSED
            admission = Admission.REPLACED
        self._open.add(connection)
        self._idle[connection] = None
        return admission

    def mark_idle(self, connection: CallerConnection) -> None:
        """Records that a connection waits for a request from now on."""
        if connection in self._open and connection not in self._idle:
            self._idle[connection] = None

    def mark_busy(self, connection: CallerConnection) -> None:
        """Records that a request has begun to arrive on a connection."""
        self._idle.pop(connection, None)

    def remove(self, connection: CallerConnection) -> None:
        """Removes a connection that is closed; may be called repeatedly."""
        self._open.discard(connection)
        self._idle.pop(connection, None)

    def _close_longest_idle(self) -> bool:
        found = next((each for each in self._idle if each.is_idle), None)
        if found is None:
            return False
        self.remove(found)
        found.shut_down()
        return True
