"""Allocates loopback ports so that concurrent launchers never share one.

The ports lie below the range from which the system chooses the ports of outgoing
connections. Each launcher locks a block of ports while it exists: it binds the block's
first port without listening on it, so that no other launcher can bind it.
"""

import os
import socket
from typing import Final

LOOPBACK: Final = "127.0.0.1"
FIRST_PORT: Final = 10_000
BLOCK_SIZE: Final = 1_000
BLOCKS: Final = 22


class PortBlock:
    """A block of ports that is locked against other launchers.

    Raises:
        OSError: All blocks are locked.
    """

    def __init__(self) -> None:
        self._lock, first = _lock_block()
        self._free = iter(range(first + 1, first + BLOCK_SIZE))

    def allocate(self, count: int) -> list[str]:
        """Returns addresses that no process listens on.

        Raises:
            OSError: The block has no free ports left.
        """
        return [self._allocate_one() for _ in range(count)]

    def release(self) -> None:
        """Unlocks the block for other launchers."""
        self._lock.close()

    def _allocate_one(self) -> str:
        for port in self._free:
            with socket.socket() as candidate:
                candidate.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    candidate.bind((LOOPBACK, port))
                except OSError:
                    continue
            return f"{LOOPBACK}:{port}"
        raise OSError(f"no free port is left in the block of {BLOCK_SIZE} ports")


def _lock_block() -> tuple[socket.socket, int]:
    for number in range(BLOCKS):
        first = FIRST_PORT + (os.getpid() + number) % BLOCKS * BLOCK_SIZE
        lock = socket.socket()
        try:
            lock.bind((LOOPBACK, first))
        except OSError:
            lock.close()
            continue
        return lock, first
    raise OSError(f"all {BLOCKS} port blocks are locked by other launchers")
