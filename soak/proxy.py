"""Loopback proxy that delays or drops replies, and stalls or resets connections."""

import contextlib
import socket
import struct
import threading
import time
from enum import Enum
from typing import Final

CHUNK_BYTES: Final = 65_536
# SO_LINGER value with which closing a socket sends RST instead of FIN.
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)


class ProxyMode(Enum):
    """How the proxy treats connections."""

    PASS = "pass"
    # Bytes are held back in both directions until the mode changes.
    STALLED = "silent"
    # Bytes to the origin are delivered, bytes from the origin are discarded.
    DROP_REPLIES = "cut answers"
    # Open and new connections are reset.
    RESET = "reset"


class FaultyProxy:
    """Forwards connections to one address, with the faults of the present mode.

    Args:
        address: Address of the origin, `host:port`.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._origin = (host, int(port))
        self._mode = ProxyMode.PASS
        self._delay_s = 0.0
        self._mode_changed = threading.Condition()
        self._open: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Loopback address on which the proxy listens."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def set_mode(self, mode: ProxyMode, delay_s: float = 0.0) -> None:
        """Switches the mode of open and new connections.

        Args:
            mode: The new mode.
            delay_s: Delay of the bytes that come from the origin.
        """
        with self._mode_changed:
            self._mode = mode
            self._delay_s = delay_s
            self._mode_changed.notify_all()
        if mode is ProxyMode.RESET:
            for connection in list(self._open):
                self._reset(connection)

    def close(self) -> None:
        """Stops listening and resets all connections."""
        self._listener.close()
        self.set_mode(ProxyMode.RESET)

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(caller,), daemon=True).start()

    def _connect(self, caller: socket.socket) -> None:
        self._open.add(caller)
        if self._mode is ProxyMode.RESET:
            self._reset(caller)
            return
        try:
            origin = socket.create_connection(self._origin)
        except OSError:
            self._reset(caller)
            return
        self._open.add(origin)
        threading.Thread(
            target=self._forward, args=(origin, caller, True), daemon=True
        ).start()
        self._forward(caller, origin, False)

    def _forward(
        self, source: socket.socket, sink: socket.socket, is_from_origin: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                mode, delay_s = self._wait_while_stalled()
                if is_from_origin and mode is ProxyMode.DROP_REPLIES:
                    continue
                if is_from_origin and delay_s:
                    time.sleep(delay_s)
                sink.sendall(data)
        for connection in (source, sink):
            self._open.discard(connection)
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
            connection.close()

    def _wait_while_stalled(self) -> tuple[ProxyMode, float]:
        with self._mode_changed:
            while self._mode is ProxyMode.STALLED:
                self._mode_changed.wait()
            return self._mode, self._delay_s

    def _reset(self, connection: socket.socket) -> None:
        self._open.discard(connection)
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            connection.shutdown(socket.SHUT_RD)
        connection.close()
