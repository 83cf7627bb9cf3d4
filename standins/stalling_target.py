"""Targets that accept connections and read requests slowly, or don't answer them."""

import contextlib
import socket
import threading
import time
from typing import Any, Final

from standins.platform_store import target_entry

# The smallest that Linux grants is about twice this.
RECEIVE_BUFFER_BYTES: Final = 2_048
BACKLOG: Final = 512


class StallingTarget:
    """Reads a few bytes now and then of each connection and never replies.

    Args:
        name: The target's id.
        service: The service that the target belongs to.
        read_bytes: Bytes that it reads of each connection in each interval.
        interval_s: The interval.
    """

    def __init__(
        self, name: str, service: str, read_bytes: int, interval_s: float
    ) -> None:
        self.name = name
        self.service = service
        self._read_bytes = read_bytes
        self._interval_s = interval_s
        self._connections: list[socket.socket] = []
        self._ended = threading.Event()
        self._listener = socket.socket()
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(BACKLOG)
        for work in (self._accept, self._read):
            threading.Thread(target=work, daemon=True).start()

    @property
    def port(self) -> int:
        """The port on which the target listens."""
        return int(self._listener.getsockname()[1])

    def entry(self) -> dict[str, Any]:
        """Builds the entry with which the target registers in the store."""
        return target_entry(self.service, f"127.0.0.1:{self.port}")

    def close(self) -> None:
        """Closes the listener and all connections."""
        self._ended.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for each in self._connections:
            each.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                connection.setblocking(False)
                self._connections.append(connection)

    def _read(self) -> None:
        while not self._ended.is_set():
            time.sleep(self._interval_s)
            for each in list(self._connections):
                with contextlib.suppress(OSError):
                    if not each.recv(self._read_bytes):
                        self._connections.remove(each)
                        each.close()
