"""What this daemon has taken and not yet answered, so that a drain can wait for it."""

from typing import Final

from lavendertide.runtime import clock, tasks

POLL_S: Final = 0.02


class InFlightCounter:
    """Counts requests of callers and sub-requests of peers."""

    def __init__(self) -> None:
        self._count = 0

    @property
    def count(self) -> int:
        """Requests whose answer has not been written yet."""
        return self._count

    def record_accepted(self, count: int = 1) -> None:
        """Counts requests that were taken."""
        self._count += count

    def record_finished(self, count: int = 1) -> None:
        """Counts requests whose answer has been written."""
        self._count -= count

    def wait_until_idle(self, until_s: float) -> bool:
        """Waits until all are answered; returns whether they were in time."""
        while self._count > 0:
            if clock.monotonic_s() >= until_s:
                return False
            tasks.sleep(POLL_S)
        return True
