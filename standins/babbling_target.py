"""A target in trouble: it sends bytes without end, until the gateway closes.

Each form starts like a response, up to some element of HTTP, and goes on with that
element for ever.
"""

import contextlib
import socket
import threading
from enum import Enum
from typing import Any, Final

from standins.platform_store import target_entry

_OK: Final = b"HTTP/1.1 200 OK\r\nLavendertide-Server-Stamp: s\r\n"
_CHUNKED: Final = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
PIECE_BYTES: Final = 16_384


class Form(Enum):
    """The element that never ends: what is sent first, and what is sent repeatedly."""

    GARBAGE = (b"", b"\x00\xff\x10 no answer ")
    STATUS_LINE = (b"HTTP/1.1 200 ", b"O")
    HEADER_NAME = (_OK, b"x")
    HEADER_VALUE = (_OK + b"X-Long: ", b"x")
    HEADERS = (_OK, b"X-Many: 1\r\n")
    KEEP_ALIVE = (_OK + b"Keep-Alive: timeout=", b"9")
    INTERIM = (b"", b"HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n")
    CHUNK_SIZE = (_CHUNKED, b"0")
    CHUNK_EXTENSION = (_CHUNKED + b"1;x=", b"y")
    CHUNKS = (_CHUNKED, b"1\r\nx\r\n")
    TRAILERS = (_CHUNKED + b"0\r\n", b"X-Many: 1\r\n")
    BODY = (_OK + b"\r\n", b"x")
    LONG_BODY = (_OK + b"Content-Length: 99999999999\r\n\r\n", b"x")
    OTHER_REPLIES = (
        b"",
        _OK + b"Lavendertide-Request-Id: other\r\nContent-Length: 1\r\n\r\nx",
    )

    @property
    def start(self) -> bytes:
        """What is sent once."""
        return bytes(self.value[0])

    @property
    def piece(self) -> bytes:
        """What is sent again and again, in pieces of a useful size."""
        unit = bytes(self.value[1])
        return unit * max(1, PIECE_BYTES // len(unit))


class BabblingTarget:
    """Listens and answers each connection's first bytes in one form.

    Attributes:
        service: The service that the target belongs to.
        connections: Number of connections on which it has sent.
        sent_bytes: Bytes that it has sent on all of them.
    """

    def __init__(self, form: Form, service: str) -> None:
        self.service = service
        self.connections = 0
        self.sent_bytes = 0
        self._form = form
        self._listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Loopback address on which the target listens."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def entry(self) -> dict[str, Any]:
        """Builds the entry with which the target registers in the store."""
        return target_entry(self.service, self.address)

    def close(self) -> None:
        """Closes the listener, which ends the accepting thread."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._babble, args=(connection,), daemon=True
                ).start()

    def _babble(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            if not connection.recv(65_536):
                return
            self.connections += 1
            connection.sendall(self._form.start)
            piece = self._form.piece
            while True:
                self.sent_bytes += connection.send(piece)
