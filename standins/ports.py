"""Loopback ports for one launcher, apart from those of any other.

The ports lie below the range from which the system takes the ports of outgoing
connections. A launcher holds a block for as long as it lives: the block's first port
is bound and not listened on, which keeps other launchers out.
"""

import os
import socket
from typing import Final

LOOPBACK: Final = "127.0.0.1"
FIRST_PORT: Final = 10_000
BLOCK_SIZE: Final = 1_000
BLOCKS: Final = 22


class PortBlock:
    """A block of ports that no other launcher uses.

    Raises:
        OSError: All blocks are held.
    """

    def __init__(self) -> None:
        self._lock, first = _lock_block()
        self._free = iter(range(first + 1, first + BLOCK_SIZE))

    def allocate(self, count: int) -> list[str]:
        """Returns addresses that nobody listens on."""
        return [self._allocate_one() for _ in range(count)]

    def release(self) -> None:
        """Leaves the block to other launchers."""
        self._lock.close()

    def _allocate_one(self) -> str:
        for port in self._free:
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((LOOPBACK, port))
                except OSError:
                    continue
            return f"{LOOPBACK}:{port}"
        raise OSError(f"a block has no more than {BLOCK_SIZE} ports")


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
    raise OSError(f"all {BLOCKS} blocks of ports are held by other launchers")
