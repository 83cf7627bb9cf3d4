"""Bounds the bytes of load information that a host sends to its peers."""

from collections import deque
from typing import Final

# Bytes that a host may send in any second, to all peers together.
BYTES_PER_S: Final = 2_000
BUDGET_WINDOW_S: Final = 1.0


class ByteBudget:
    """Counts the bytes of all kinds of load information over a window of a second.

    Args:
        bytes_per_s: Bytes that may be sent in a window.
    """

    def __init__(self, bytes_per_s: int = BYTES_PER_S) -> None:
        self._bytes_per_s = bytes_per_s
        self._sent: deque[tuple[float, int]] = deque()

    @property
    def bytes_per_s(self) -> int:
        """Bytes that may be sent in a window."""
        return self._bytes_per_s

    def left(self, now_s: float) -> int:
        """Returns the bytes that may be sent now."""
        while self._sent and now_s - self._sent[0][0] >= BUDGET_WINDOW_S:
            self._sent.popleft()
        return self._bytes_per_s - sum(size for _, size in self._sent)

    def record(self, size: int, now_s: float) -> None:
        """Counts bytes that are sent now."""
        self._sent.append((now_s, size))
