"""Which changed records still have to be told to peers.

Each change travels in a bounded number of frames, about the logarithm of the fleet's
size, which is enough for an epidemic to reach everyone; what it misses is repaired by
the exchange of digests.
"""

import math
from typing import Final

from lavendertide.ids import DaemonId

PER_FRAME_MAX: Final = 8
REPEAT_FACTOR: Final = 3


class Rumours:
    """The changes that are being told, the least told first."""

    def __init__(self) -> None:
        self._told: dict[DaemonId, int] = {}

    def __len__(self) -> int:
        return len(self._told)

    def add(self, daemon: DaemonId) -> None:
        """Starts telling a member's newest record."""
        self._told[daemon] = 0

    def next_frame(self, fleet_size: int) -> list[DaemonId]:
        """Returns whose records go into the next frame, and counts them as told."""
        if not self._told:
            return []
        chosen = sorted(self._told, key=self._told.__getitem__)[:PER_FRAME_MAX]
        for daemon in chosen:
            self._told[daemon] += 1
            if self._told[daemon] >= repeats(fleet_size):
                del self._told[daemon]
        return chosen


def repeats(fleet_size: int) -> int:
    """Returns how many frames carry one change."""
    return REPEAT_FACTOR * math.ceil(math.log2(fleet_size + 1))
