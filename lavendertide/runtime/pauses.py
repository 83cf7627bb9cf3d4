"""Notices that the whole process was paused, by the gaps between its ticks.

What a process finds in its sockets on waking may have waited there for the whole
pause, although it is read now. Whoever counts a deadline from the time of reading
takes the length of the pause off it.
"""

from typing import Final

from lavendertide.runtime import clock, tasks

TICK_S: Final = 0.2
PAUSE_MIN_S: Final = 0.25
# Everything that arrived during a pause has been read this long after it.
DRAIN_S: Final = 1.0


class PauseTracker:
    """The last pause of this process."""

    def __init__(self, now_s: float) -> None:
        self._ticked_at_s = now_s
        self._pause_s = 0.0
        self._resumed_at_s = now_s - DRAIN_S

    def tick(self, now_s: float) -> None:
        """Says that the process runs; a long gap since the last tick was a pause."""
        gap_s = now_s - self._ticked_at_s
        self._ticked_at_s = now_s
        if gap_s < PAUSE_MIN_S:
            return
        is_draining = now_s - gap_s < self._resumed_at_s + DRAIN_S
        self._pause_s = gap_s + (self._pause_s if is_draining else 0.0)
        self._resumed_at_s = now_s

    def max_wait_s(self, now_s: float) -> float:
        """Returns how long a message that is read now may have waited unread."""
        self.tick(now_s)
        if now_s - self._resumed_at_s >= DRAIN_S:
            return 0.0
        return self._pause_s


def run_pause_ticks(pauses: PauseTracker) -> None:
    """Ticks for as long as the process lives."""
    while True:
        pauses.tick(clock.monotonic_s())
        now_s = clock.monotonic_s()
        tasks.sleep(clock.next_tick_s(now_s, TICK_S) - now_s)
