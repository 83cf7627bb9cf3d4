"""Compression of peer frames with a context that is shared by successive frames.

Most frames of a connection repeat the same names, addresses and states, so each
direction keeps one `zlib` stream for all its frames; a heartbeat compressed by itself
would hardly shrink. Both sides have to process the same frames in the same order. The
constant bytes at the end of each flush are not sent, as in RFC 7692 for WebSockets.
"""

import zlib
from typing import Final

# A window of 4 KB holds about thirty member records. By zlib's manual, a connection
# needs 24 KB for deflating and 11 KB for inflating with it; in a large fleet, a host
# that reads the platform for others has a hundred connections.
WINDOW_BITS: Final = -12
MEMORY_LEVEL: Final = 4
# The middle of the library's range; higher levels save bytes at the cost of time.
LEVEL: Final = 6
FLUSH_TAIL: Final = b"\x00\x00\xff\xff"


class Deflater:
    """Compresses the frames that are sent on one connection."""

    def __init__(self) -> None:
        self._stream = zlib.compressobj(LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL)

    def compress(self, payload: bytes) -> bytes:
        """Returns a frame's payload in compressed form."""
        head = self._stream.compress(payload)
        tail = self._stream.flush(zlib.Z_SYNC_FLUSH)
        return (head + tail).removesuffix(FLUSH_TAIL)


class Inflater:
    """Decompresses the frames that the other side's `Deflater` has compressed."""

    def __init__(self) -> None:
        self._stream = zlib.decompressobj(WINDOW_BITS)

    def decompress(self, data: bytes, bytes_max: int) -> bytes:
        """Returns a frame's payload.

        Args:
            data: The compressed payload as received.
            bytes_max: Length of the longest payload that is accepted.

        Raises:
            ValueError: The data is not a valid compressed payload, or it expands to
                more bytes than are accepted.
        """
        try:
            payload = self._stream.decompress(data + FLUSH_TAIL, bytes_max)
        except zlib.error as error:
            raise ValueError(f"frame cannot be expanded: {error}") from error
        if self._stream.unconsumed_tail:
            raise ValueError(f"frame expands to more than {bytes_max} bytes")
        return payload
