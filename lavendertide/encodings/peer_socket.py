"""One connection between two daemons, as a stream of frames."""

import contextlib
import io
import logging
import socket

from returns.result import Failure

from lavendertide.encodings.compression import Deflater, Inflater
from lavendertide.encodings.peer_frames import (
    COMPRESSED,
    FRAME_MAX_BYTES,
    LENGTH,
    decode_frame,
    encode_frame,
)
from lavendertide.messages import Frame
from lavendertide.runtime.sockets import ArrivalTrackingReader

_log = logging.getLogger(__name__)


class PeerSocket:
    """Sends and receives frames; counts the bytes of both directions."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._watched = ArrivalTrackingReader(connection)
        self._reader = io.BufferedReader(self._watched)
        self._deflater: Deflater | None = None
        self._inflater: Inflater | None = None
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

    def send(self, frame: Frame, is_compressed: bool = False) -> None:
        """Sends a frame.

        Args:
            frame: The frame.
            is_compressed: Whether to compress it; the other side has to expect that.

        Raises:
            OSError: The connection is broken.
        """
        data = encode_frame(frame)
        if is_compressed:
            data = self._compress(data[LENGTH.size :])
        self._connection.sendall(data)
        self._bytes_sent += len(data)

    def receive(self) -> Frame | None:
        """Waits for the next frame; none once the connection has ended."""
        try:
            payload = self._read_payload()
        except OSError:
            return None
        except ValueError as error:
            _log.warning("frame of a peer refused", extra={"problem": str(error)})
            return None
        if payload is None:
            return None
        decoded = decode_frame(payload)
        if isinstance(decoded, Failure):
            problem = str(decoded.failure())
            _log.warning("frame of a peer refused", extra={"problem": problem})
        return decoded.value_or(None)

    def close(self) -> None:
        """Ends the connection; a waiting receive returns."""
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_RDWR)
        self._connection.close()

    def _compress(self, payload: bytes) -> bytes:
        if self._deflater is None:
            self._deflater = Deflater()
        body = self._deflater.compress(payload)
        return LENGTH.pack(len(body) | COMPRESSED) + body

    def _expand(self, data: bytes) -> bytes:
        if self._inflater is None:
            self._inflater = Inflater()
        return self._inflater.expand(data, FRAME_MAX_BYTES)

    def _read_payload(self) -> bytes | None:
        header = self._reader.read(LENGTH.size)
        if len(header) < LENGTH.size:
            return None
        (marked,) = LENGTH.unpack(header)
        length = marked & ~COMPRESSED
        if length > FRAME_MAX_BYTES:
            return None
        payload = self._reader.read(length)
        if len(payload) < length:
            return None
        self._bytes_received += LENGTH.size + length
        return self._expand(payload) if marked & COMPRESSED else payload
