"""Writing to standard output without ever waiting for its reader."""

import os

from eventlet import patcher

# The patched `os.write` waits until the reader has made room.
_os = patcher.original("os")


def make_non_blocking(descriptor: int) -> None:
    """Has writes return at once when there is no room."""
    os.set_blocking(descriptor, False)


def write_now(descriptor: int, data: bytes) -> int:
    """Writes as much as there is room for; returns how many bytes.

    Raises:
        OSError: The descriptor is closed or broken.
    """
    try:
        written: int = _os.write(descriptor, data)
    except BlockingIOError:
        return 0
    return written
