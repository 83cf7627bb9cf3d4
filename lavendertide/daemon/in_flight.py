"""Counts the requests in flight, so that a drain can wait for them."""

from typing import Final

from lavendertide.runtime import clock, tasks

POLL_S: Final = 0.02


class InFlightCounter:
    """Counts callers' requests and peers' sub-requests that have no response yet."""

    def __init__(self) -> None:
        self._count = 0

    @property
    def count(self) -> int:
        """Requests whose response has not been written yet."""
        return self._count

    def record_accepted(self, count: int = 1) -> None:
        """Adds accepted requests to the count."""
        self._count += count

    def record_finished(self, count: int = 1) -> None:
        """Subtracts requests whose response has been written."""
        self._count -= count

    def wait_until_idle(self, until_s: float) -> bool:
        """Waits until no request is in flight; returns false at the time limit."""
        while self._count > 0:
            if clock.monotonic_s() >= until_s:
                return False
            tasks.sleep(POLL_S)
        return True
