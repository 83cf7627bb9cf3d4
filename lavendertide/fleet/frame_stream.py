"""The interface by which the fleet sends and receives frames.

`lavendertide.encodings.peer_socket` implements it with `thrift` structs. The fleet's
rules depend only on this interface, not on the encoding.
"""

from typing import Protocol

from lavendertide.messages import Frame


class FrameStream(Protocol):
    """Sends and receives frames; counts the bytes of both directions."""

    @property
    def bytes_sent(self) -> int:
        """Bytes sent since the stream was opened."""

    @property
    def bytes_received(self) -> int:
        """Bytes received since the stream was opened."""

    @property
    def empty_at_s(self) -> float:
        """Monotonic time at which there was last nothing left to read."""

    def send(self, frame: Frame, is_compressed: bool = False) -> None:
        """Sends a frame.

        Args:
            frame: The frame.
            is_compressed: Whether to compress it; the peer has to support that.

        Raises:
            OSError: The connection is broken.
        """

    def receive(self) -> Frame | None:
        """Waits for the next frame; returns none once the connection has ended."""

    def close(self) -> None:
        """Closes the connection; a `receive` that waits returns none."""
