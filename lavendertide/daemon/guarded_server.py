"""Serves a WSGI application on a listener, within the bounds of its connections."""

import socket
from typing import Final

from lavendertide.daemon.caller_guard import CallerGuard
from lavendertide.overload.caller_bounds import CallerBounds
from lavendertide.runtime import sockets, tasks, wsgi

# Connections above the bound that are accepted to be refused, or for which others are
# just being closed.
ACCEPTED_ABOVE_BOUND: Final = 16
KEEP_ALIVE_S: Final = 60.0


class GuardedServer:
    """Serves an application from its creation until it is closed.

    Args:
        listener: The listening socket.
        application: The WSGI application.
        bounds: Bounds the connections.
        connections_max: Connections that are served at the same time.
    """

    def __init__(
        self,
        listener: socket.socket,
        application: wsgi.Application,
        bounds: CallerBounds,
        connections_max: int,
    ) -> None:
        self._listener = listener
        self._bounds = bounds
        self._task = tasks.spawn(
            wsgi.serve,
            listener,
            application,
            connections_max + ACCEPTED_ABOVE_BOUND,
            KEEP_ALIVE_S,
            CallerGuard(bounds),
        )

    def close(self) -> None:
        """Accepts no more connections, and closes those without a request.

        A request that has arrived, in part or as a whole, still gets its response,
        since a closed connection doesn't say whether it has run.
        """
        sockets.close_listener(self._listener)
        for connection in self._bounds.connections.idle:
            if connection.is_idle:
                connection.shut_down()
        self._task.stop()
