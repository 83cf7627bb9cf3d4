"""The state of a target as its holder observes it.

Connections and replies come first; the health endpoint can only report draining.
"""

from enum import Enum
from typing import Final

DRAINING_KEPT_S: Final = 6.0


class Reachability(Enum):
    """Whether the target can be reached."""

    OPENING = "opening"
    UP = "up"
    DOWN = "down"


class TargetCondition:
    """Reachability and draining state of one target.

    A target that reports in a reply or through its health endpoint that it is draining
    gets no new work for `DRAINING_KEPT_S` after its last such report.
    """

    def __init__(self) -> None:
        self._reach = Reachability.OPENING
        self._open = 0
        self._draining_until_s = 0.0

    @property
    def reach(self) -> Reachability:
        """Whether the target can be reached."""
        return self._reach

    @property
    def open_connections(self) -> int:
        """Number of open working connections."""
        return self._open

    def record_opened(self) -> None:
        """Records that a connection has been opened."""
        self._open += 1
        self._reach = Reachability.UP

    def record_closed(self) -> None:
        """Records that a connection has been closed or lost."""
        self._open -= 1

    def record_connect_failure(self) -> None:
        """Records a failed attempt to connect; the target is down if none is open."""
        if self._open == 0:
            self._reach = Reachability.DOWN

    def record_draining(self, now_s: float) -> None:
        """Records that the target reported that it is draining."""
        self._draining_until_s = now_s + DRAINING_KEPT_S

    def is_draining(self, now_s: float) -> bool:
        """Returns whether the target has recently reported that it is draining."""
        return now_s < self._draining_until_s
