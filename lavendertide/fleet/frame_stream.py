"""The interface by which the fleet sends and receives frames.

`lavendertide.encodings.peer_socket` implements it with `thrift` structs. The fleet's
rules depend only on this interface, not on the encoding.
"""

from typing import Final, Protocol

from lavendertide.messages import Frame

# The longest frame that members send each other.
FRAME_MAX_BYTES: Final = 8 * 1_024 * 1_024


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

    def limit_waits(self, wait_s: float | None) -> None:
        """Sets the time limit for each wait for data; none lets it wait for ever."""

    def send(self, frame: Frame, is_compressed: bool = False) -> None:
        """Sends a frame.

        Args:
            frame: The frame.
            is_compressed: Whether to compress it; the peer has to support that.

        Raises:
            OSError: The connection is broken.
        """

    def receive(self, bytes_max: int = FRAME_MAX_BYTES) -> Frame | None:
        """Waits for the next frame; returns none once the connection has ended.

        Args:
            bytes_max: A longer frame is refused, also one that is longer once it is
                expanded.
        """

    def close(self) -> None:
        """Closes the connection; a `receive` that waits returns none."""
