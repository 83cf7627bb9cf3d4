"""Server for tests that sends fixed bytes instead of computed responses."""

import contextlib
import socket
import struct
import threading

from lavendertide.ids import Address

TIMEOUT_S = 2.0


class Peer:
    """Accepts one connection, sends one of the given replies per read, then closes.

    Args:
        replies: Bytes to send, one item for each request.
        is_reset: Whether to end the connection by a reset instead of a normal close.

    Attributes:
        address: Where it listens.
        read: Bytes that were read before each reply.
    """

    def __init__(self, replies: list[bytes], is_reset: bool = False) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._replies = replies
        self._is_reset = is_reset
        self.address = Address(f"127.0.0.1:{self._listener.getsockname()[1]}")
        self.read: list[bytes] = []
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Waits until all replies have been sent, then closes the listener."""
        self._thread.join(TIMEOUT_S)
        self._listener.close()

    def stop_listening(self) -> None:
        """Closes the listener, once the connection has been accepted."""
        self._listener.close()

    def _serve(self) -> None:
        connection, _ = self._listener.accept()
        # A reader that has read enough of a reply closes the connection.
        with contextlib.suppress(ConnectionError):
            for sent in self._replies:
                self.read.append(connection.recv(65_536))
                connection.sendall(sent)
        if self._is_reset:
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()
