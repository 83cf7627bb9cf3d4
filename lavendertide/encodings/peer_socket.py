"""Framing of a connection between two daemons."""

import contextlib
import io
import logging
import socket
from typing import Final

from returns.result import Failure

from lavendertide.encodings.compression import Deflater, Inflater
from lavendertide.encodings.peer_frames import (
    COMPRESSED_FLAG,
    LENGTH,
    decode_frame,
    encode_frame,
)
from lavendertide.fleet.frame_stream import FRAME_MAX_BYTES
from lavendertide.messages import Frame
from lavendertide.overload.write_limit import WriteLimit
from lavendertide.runtime import clock, transfers
from lavendertide.runtime.sockets import (
    ArrivalTrackingReader,
    set_keep_alive,
    set_unacknowledged_timeout,
)

# Time that a peer has for a frame beside what its progress allows. A process that is
# paused for less keeps its connections.
WRITE_BASE_S: Final = 10.0

_log = logging.getLogger(__name__)


class PeerSocket:
    """Sends and receives frames on a socket and counts the bytes in both directions.

    A connection that goes silent for good is closed in bounded time, so that its link
    is dialled anew. A process that is only paused keeps its connections.
    """

    def __init__(self, connection: socket.socket) -> None:
        set_unacknowledged_timeout(connection)
        set_keep_alive(connection)
        self._connection = connection
        self._tracking_reader = ArrivalTrackingReader(connection)
        self._reader = io.BufferedReader(self._tracking_reader)
        self._deflater: Deflater | None = None
        self._inflater: Inflater | None = None
        self._bytes_sent = 0
        self._bytes_received = 0

    @property
    def bytes_sent(self) -> int:
        """Number of bytes sent since the connection was opened."""
        return self._bytes_sent

    @property
    def bytes_received(self) -> int:
        """Number of bytes received since the connection was opened."""
        return self._bytes_received

    @property
    def empty_at_s(self) -> float:
        """Monotonic time at which the receive buffer was last found empty."""
        return self._tracking_reader.empty_at_s

    def limit_waits(self, wait_s: float | None) -> None:
        """Sets the time limit for each wait for data; none lets it wait for ever."""
        self._tracking_reader.limit_waits(wait_s)

    def send(self, frame: Frame, is_compressed: bool = False) -> None:
        """Sends a frame.

        Args:
            frame: The frame.
            is_compressed: Whether to compress it; the other side must have announced
                that it can read compressed frames.

        Raises:
            OSError: The connection is broken, or the peer reads too slowly.
        """
        data = encode_frame(frame)
        if is_compressed:
            data = self._compress(data[LENGTH.size :])
        limit = WriteLimit(clock.monotonic_s(), WRITE_BASE_S)
        transfers.send_pieces(self._connection, data, limit.ends_at_s)
        self._bytes_sent += len(data)

    def receive(self, bytes_max: int = FRAME_MAX_BYTES) -> Frame | None:
        """Waits for the next frame.

        Args:
            bytes_max: A longer frame is invalid, also one that is longer once it is
                expanded.

        Returns:
            The frame; none if the connection has ended or the frame is invalid.
        """
        try:
            payload = self._read_payload(bytes_max)
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
        """Closes the connection; a pending `receive` returns none."""
        with contextlib.suppress(OSError):
            self._connection.shutdown(socket.SHUT_RDWR)
        self._connection.close()

    def _compress(self, payload: bytes) -> bytes:
        if self._deflater is None:
            self._deflater = Deflater()
        body = self._deflater.compress(payload)
        return LENGTH.pack(len(body) | COMPRESSED_FLAG) + body

    def _decompress(self, data: bytes, bytes_max: int) -> bytes:
        if self._inflater is None:
            self._inflater = Inflater()
        return self._inflater.decompress(data, bytes_max)

    def _read_payload(self, bytes_max: int) -> bytes | None:
        header = self._reader.read(LENGTH.size)
        if len(header) < LENGTH.size:
            return None
        (flagged_length,) = LENGTH.unpack(header)
        length = flagged_length & ~COMPRESSED_FLAG
        if length > bytes_max:
            return None
        payload = self._reader.read(length)
        if len(payload) < length:
            return None
        self._bytes_received += LENGTH.size + length
        if flagged_length & COMPRESSED_FLAG:
            return self._decompress(payload, bytes_max)
        return payload
