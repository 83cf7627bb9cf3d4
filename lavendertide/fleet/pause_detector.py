"""Detects pauses of the process by gaps between readings of the monotonic clock."""


class PauseDetector:
    """Compares the times of consecutive checks.

    Args:
        gap_s: A longer time between two checks means that the process was paused.
        now_s: Present time, monotonic.
    """

    def __init__(self, gap_s: float, now_s: float) -> None:
        self._gap_s = gap_s
        self._checked_at_s = now_s
        self._pause_count = 0

    @property
    def pause_count(self) -> int:
        """Number of pauses detected so far."""
        return self._pause_count

    def detect_pause(self, now_s: float) -> bool:
        """Returns whether the process was paused since the last check."""
        was_paused = now_s - self._checked_at_s > self._gap_s
        self._checked_at_s = now_s
        self._pause_count += was_paused
        return was_paused
