"""What a holder knows of a target's state, from replies before endpoints."""

from enum import Enum
from typing import Final

DRAINING_KEPT_S: Final = 6.0


class Reachability(Enum):
    """Whether the target can be reached."""

    OPENING = "opening"
    UP = "up"
    DOWN = "down"


class TargetCondition:
    """Reachability and draining of one target.

    A target that says that it is leaving, in a reply or by its health endpoint, gets
    no new work until it has not said so for a while.
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
        """Working connections that are open now."""
        return self._open

    def note_opened(self) -> None:
        """Notes that one more connection is open."""
        self._open += 1
        self._reach = Reachability.UP

    def note_closed(self) -> None:
        """Notes that one connection has been closed or lost."""
        self._open -= 1

    def note_refused(self) -> None:
        """Notes that no connection could be opened."""
        if self._open == 0:
            self._reach = Reachability.DOWN

    def note_draining(self, now_s: float) -> None:
        """Notes that the target says that it is leaving."""
        self._draining_until_s = now_s + DRAINING_KEPT_S

    def is_draining(self, now_s: float) -> bool:
        """Returns whether the target has lately said that it is leaving."""
        return now_s < self._draining_until_s
