"""Detects pauses of the whole process by gaps between its ticks.

Data that a process reads just after a pause may have been in the socket's buffer for
the whole pause. A deadline that is counted from the time of reading has to be shortened
by the length of the pause.
"""

from typing import Final

from lavendertide.runtime import clock, tasks

TICK_S: Final = 0.2
PAUSE_MIN_S: Final = 0.25
# Time after a pause in which all data that arrived during it has been read.
DRAIN_S: Final = 1.0


class PauseTracker:
    """Tracks the last pause of this process.

    Pauses that follow each other within `DRAIN_S` are added up.
    """

    def __init__(self, now_s: float) -> None:
        self._ticked_at_s = now_s
        self._pause_s = 0.0
        self._resumed_at_s = now_s - DRAIN_S

    def tick(self, now_s: float) -> None:
        """Records that the process runs; a gap of `PAUSE_MIN_S` or more is a pause."""
        gap_s = now_s - self._ticked_at_s
        self._ticked_at_s = now_s
        if gap_s < PAUSE_MIN_S:
            return
        is_draining = now_s - gap_s < self._resumed_at_s + DRAIN_S
        self._pause_s = gap_s + (self._pause_s if is_draining else 0.0)
        self._resumed_at_s = now_s

    def max_wait_s(self, now_s: float) -> float:
        """Returns how long a message that is read now may have waited, at most."""
        self.tick(now_s)
        if now_s - self._resumed_at_s >= DRAIN_S:
            return 0.0
        return self._pause_s


def run_pause_ticks(pauses: PauseTracker) -> None:
    """Ticks every `TICK_S` until the process ends."""
    while True:
        pauses.tick(clock.monotonic_s())
        now_s = clock.monotonic_s()
        tasks.sleep(clock.next_tick_s(now_s, TICK_S) - now_s)
