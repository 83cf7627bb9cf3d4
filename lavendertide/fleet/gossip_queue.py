"""The queue of changed member records that heartbeats still have to carry.

Each change is sent once to each peer that this daemon exchanges heartbeats with. A link
loses no frames until it breaks, and every member has several peers, so the change
spreads epidemically to the whole fleet. The exchange of digests repairs what is missed
after a broken link.
"""

import math
from dataclasses import dataclass, field
from typing import Final

from lavendertide.ids import DaemonId

# Records of about 143 bytes each, so a frame fits one packet (`bench.fleet_state`).
RECORDS_PER_FRAME_MAX: Final = 8
# Multiplied by the binary logarithm of the fleet's size. A member has eight peers in a
# large fleet and all others in a fleet of nine, so each peer gets a frame before that.
IDLE_FRAMES_FACTOR: Final = 3


@dataclass(slots=True)
class _QueuedChange:
    """How far one changed record has been sent.

    Attributes:
        sent_to: The peers that it was sent to.
        idle_frames: Consecutive frames to peers that it was already sent to.
    """

    sent_to: set[DaemonId | None] = field(default_factory=set)
    idle_frames: int = 0


class GossipQueue:
    """Changed records by member; those sent to the fewest peers go first."""

    def __init__(self) -> None:
        self._changes: dict[DaemonId, _QueuedChange] = {}

    def __len__(self) -> int:
        return len(self._changes)

    def add(self, daemon: DaemonId) -> None:
        """Queues a member's newest record for all peers."""
        self._changes[daemon] = _QueuedChange()

    def select_next(self, peer: DaemonId | None, fleet_size: int) -> list[DaemonId]:
        """Selects the records for the next frame to a peer and marks them as sent.

        Args:
            peer: The receiver; none if it is not known.
            fleet_size: Number of members.

        Returns:
            The members whose records go into the frame.
        """
        idle_max = idle_frames_max(fleet_size)
        unsent: list[DaemonId] = []
        for name, change in list(self._changes.items()):
            if peer not in change.sent_to:
                change.idle_frames = 0
                unsent.append(name)
                continue
            change.idle_frames += 1
            if change.idle_frames >= idle_max:
                del self._changes[name]
        unsent.sort(key=lambda name: len(self._changes[name].sent_to))
        chosen = unsent[:RECORDS_PER_FRAME_MAX]
        for name in chosen:
            self._changes[name].sent_to.add(peer)
        return chosen


def idle_frames_max(fleet_size: int) -> int:
    """Returns the number of idle frames after which a change leaves the queue.

    It is a multiple of the number of a member's peers, so each has received the change.
    """
    return IDLE_FRAMES_FACTOR * math.ceil(math.log2(fleet_size + 1))
