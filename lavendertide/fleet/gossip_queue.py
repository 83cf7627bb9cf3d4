"""Which changed records still have to be told to which peers.

Each change goes once to each peer that this daemon exchanges heartbeats with. Links
lose nothing while they last, and every member has several peers, so an epidemic
reaches everyone; what it misses after a broken link is repaired by the exchange of
digests.
"""

import math
from dataclasses import dataclass, field
from typing import Final

from lavendertide.ids import DaemonId

# Records; so many of some 143 bytes fit one packet (`bench.fleet_state`).
RECORDS_PER_FRAME_MAX: Final = 8
# Times the logarithm of the fleet's size. A member has eight peers in a large fleet and
# all others in one of nine, so each has its frame before that.
IDLE_FRAMES_FACTOR: Final = 3


@dataclass(slots=True)
class _QueuedChange:
    """How far one change is told.

    Attributes:
        peers: Who was told.
        idle_frames: Frames in a row to peers that were told before.
    """

    peers: set[DaemonId | None] = field(default_factory=set)
    idle_frames: int = 0


class GossipQueue:
    """The changes that are being told, the least told first."""

    def __init__(self) -> None:
        self._changes: dict[DaemonId, _QueuedChange] = {}

    def __len__(self) -> int:
        return len(self._changes)

    def add(self, daemon: DaemonId) -> None:
        """Starts telling a member's newest record."""
        self._changes[daemon] = _QueuedChange()

    def select_next(self, peer: DaemonId | None, fleet_size: int) -> list[DaemonId]:
        """Returns whose records go into the next frame to a peer, and notes them.

        Args:
            peer: Who gets the frame; none if that is not known.
            fleet_size: How many members there are.
        """
        idle_max = idle_frames_max(fleet_size)
        unsent: list[DaemonId] = []
        for name, change in list(self._changes.items()):
            if peer not in change.peers:
                change.idle_frames = 0
                unsent.append(name)
                continue
            change.idle_frames += 1
            if change.idle_frames >= idle_max:
                del self._changes[name]
        unsent.sort(key=lambda name: len(self._changes[name].peers))
        chosen = unsent[:RECORDS_PER_FRAME_MAX]
        for name in chosen:
            self._changes[name].peers.add(peer)
        return chosen


def idle_frames_max(fleet_size: int) -> int:
    """Returns after how many idle frames a change counts as told.

    It is a multiple of the number of a member's peers, so each has had its frame.
    """
    return IDLE_FRAMES_FACTOR * math.ceil(math.log2(fleet_size + 1))
