"""Non-blocking output, which never waits for its reader."""

import os

from eventlet import patcher

# The patched `os.write` would wait until the reader has drained the pipe.
_os = patcher.original("os")


def make_non_blocking(descriptor: int) -> None:
    """Makes writes to a descriptor return at once when its buffer is full."""
    os.set_blocking(descriptor, False)


def write_now(descriptor: int, data: bytes) -> int:
    """Writes as many bytes as the buffer accepts and returns their number.

    Raises:
        OSError: The descriptor is closed or broken.
    """
    try:
        written: int = _os.write(descriptor, data)
    except BlockingIOError:
        return 0
    return written
