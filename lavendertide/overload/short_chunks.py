"""Bounds the bodies of requests that arrive in very many short chunks.

Load pattern: many callers send long bodies in chunks of a few bytes. Parsing a chunk
takes 16 microseconds however short it is, so 200 bodies of 256 KiB in chunks of two
bytes kept the processor from ordinary callers for minutes.

A single such body is within the limits of callers and is read, while other tasks run
between its chunks. Only so many are read at a time; further ones are refused before
anything has run. Each process decides for itself.
"""

from typing import Final

# Chunks that any body may have, and further ones for each of its bytes.
FREE_CHUNKS: Final = 1_024
FREE_CHUNKS_PER_BYTE: Final = 1 / 16
# Bodies with more chunks that are read at a time. Two take half of the processor at
# most while others wait for it, since all tasks take turns.
BODIES_MAX: Final = 2


class ShortChunkBodies:
    """The bodies with more than the free chunks that one process reads at present."""

    def __init__(self) -> None:
        self._reading = 0

    @property
    def reading(self) -> int:
        """Number of these bodies."""
        return self._reading

    def try_begin(self) -> bool:
        """Returns whether one more may be read; `end` must follow if so."""
        if self._reading >= BODIES_MAX:
            return False
        self._reading += 1
        return True

    def end(self) -> None:
        """Records that one of them was read or given up."""
        self._reading -= 1


def is_free(chunks: int, size: int) -> bool:
    """Returns whether a body has no more chunks than any body may have.

    Args:
        chunks: Chunks that have been received.
        size: Bytes that have been received in them.
    """
    return chunks <= FREE_CHUNKS + FREE_CHUNKS_PER_BYTE * size
