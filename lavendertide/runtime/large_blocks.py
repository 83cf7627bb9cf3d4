"""Has the C library return large blocks of memory to the system as they are freed.

By default, glibc maps blocks from 128 KiB on, but raises that limit to the size of the
largest mapped block that was freed (at most 32 MiB). After the first long body, later
ones grow inside the heap, where each step that can't be extended in place copies the
block and leaves a hole: bodies of 8 MiB, one at a time, took 17 MB. A fixed limit keeps
them mapped, so that they grow without a copy and leave nothing behind.
"""

import ctypes
from typing import Final

# `M_MMAP_THRESHOLD` of glibc's `malloc.h`.
M_MMAP_THRESHOLD: Final = -3
# Above the pieces of 256 KiB that are read and written all the time, for which a system
# call and new pages each time would cost more than the heap's reuse.
MAPPED_FROM_BYTES: Final = 524_288


def map_large_blocks() -> bool:
    """Fixes the size from which blocks are mapped; returns whether that was possible.

    It isn't with another C library than glibc, which then keeps its own rule.
    """
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return bool(set_option(M_MMAP_THRESHOLD, MAPPED_FROM_BYTES))
