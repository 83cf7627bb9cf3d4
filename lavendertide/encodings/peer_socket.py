"""One connection between two daemons, as a stream of frames."""

import contextlib
import io
import socket

from lavendertide.encodings.peer_frames import (
    FRAME_MAX_BYTES,
    LENGTH,
    decode_frame,
    encode_frame,
)
from lavendertide.messages import Frame
from lavendertide.runtime.sockets import WatchedReader


class PeerSocket:
    """Sends and receives frames; counts the bytes of both directions."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._watched = WatchedReader(connection)
        self._reader = io.BufferedReader(self._watched)
        self._bytes_sent = 0
        self._bytes_received = 0

    @property
    def bytes_sent(self) -> int:
        """Bytes sent since it was opened."""
        return self._bytes_sent

    @property
    def bytes_received(self) -> int:
        """Bytes received since it was opened."""
        return self._bytes_received

    @property
    def empty_at_s(self) -> float:
        """When there was last nothing left to read."""
        return self._watched.empty_at_s

    def send(self, frame: Frame) -> None:
        """Sends a frame.

        Raises:
            OSError: The connection is broken.
        """
        data = encode_frame(frame)
        self._connection.sendall(data)
        self._bytes_sent += len(data)

    def receive(self) -> Frame | None:
        """Waits for the next frame; none once the connection has ended."""
        try:
            payload = self._read_payload()
        except (OSError, ValueError):
            return None
        if payload is None:
            return None
        return decode_frame(payload).value_or(None)

    def close(self) -> None:
        """Ends the connection; a waiting receive returns."""
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_RDWR)
        self._connection.close()

    def _read_payload(self) -> bytes | None:
        header = self._reader.read(LENGTH.size)
        if len(header) < LENGTH.size:
            return None
        (length,) = LENGTH.unpack(header)
        if length > FRAME_MAX_BYTES:
            return None
        payload = self._reader.read(length)
        if len(payload) < length:
            return None
        self._bytes_received += LENGTH.size + length
        return payload
