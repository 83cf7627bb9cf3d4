"""Limits the concurrency of a target that sheds load or has just come back.

A shed request halves the limit and answers raise it again, so that an overloaded target
gets less load without being treated as dead. A target that was unreachable starts again
with one slot, since it may be cold.
"""

from typing import Final

LIMIT_MIN: Final = 1.0
ANSWERS_PER_SLOT: Final = 8
TIMEOUTS_TO_MIN: Final = 3


class ConcurrencyLimit:
    """AIMD limit on the slots in use, between one slot and all of them."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self._timeouts = 0

    @property
    def slots(self) -> int:
        """Number of slots that may be in use now."""
        return int(self._limit)

    def resize(self, slots: int) -> None:
        """Applies a published change of the target's slots, which resets the limit."""
        if slots != self._slots:
            self._slots = slots
            self._limit = float(slots)

    def record_answer(self) -> None:
        """Raises the limit by one slot per `ANSWERS_PER_SLOT` answers."""
        self._timeouts = 0
        if self._limit < self._slots:
            raised = self._limit + 1 / ANSWERS_PER_SLOT
            self._limit = min(float(self._slots), raised)

    def record_shed(self) -> None:
        """Halves the limit after the target shed a request."""
        self._limit = max(LIMIT_MIN, self._limit / 2)

    def record_timeout(self) -> None:
        """Lowers the limit to one slot after `TIMEOUTS_TO_MIN` timeouts in a row.

        An answer between them starts the count again.
        """
        self._timeouts += 1
        if self._timeouts >= TIMEOUTS_TO_MIN:
            self._limit = LIMIT_MIN

    def record_outage(self) -> None:
        """Lowers the limit to one slot, since the target may return cold."""
        self._limit = LIMIT_MIN
