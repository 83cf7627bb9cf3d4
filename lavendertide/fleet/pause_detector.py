"""Notices that the process has stopped for a while, by gaps of the monotonic clock."""


class PauseDetector:
    """Compares the times at which it is asked.

    Args:
        gap_s: A longer time between two looks means that the process had stopped.
    """

    def __init__(self, gap_s: float, now_s: float) -> None:
        self._gap_s = gap_s
        self._checked_at_s = now_s
        self._pause_count = 0

    @property
    def pause_count(self) -> int:
        """How often the process had stopped."""
        return self._pause_count

    def detect_pause(self, now_s: float) -> bool:
        """Returns whether the process had stopped since the last look."""
        was_paused = now_s - self._checked_at_s > self._gap_s
        self._checked_at_s = now_s
        self._pause_count += was_paused
        return was_paused
