"""Notices that the process has stopped for a while, by gaps of the monotonic clock."""


class WakeWatch:
    """Compares the times at which it is asked.

    Args:
        gap_s: A longer time between two looks means that the process had stopped.
    """

    def __init__(self, gap_s: float, now_s: float) -> None:
        self._gap_s = gap_s
        self._looked_at_s = now_s
        self._gaps = 0

    @property
    def gaps(self) -> int:
        """How often the process had stopped."""
        return self._gaps

    def look(self, now_s: float) -> bool:
        """Returns whether the process had stopped since the last look."""
        has_gap = now_s - self._looked_at_s > self._gap_s
        self._looked_at_s = now_s
        self._gaps += has_gap
        return has_gap
