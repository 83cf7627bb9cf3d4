"""How much of its slots a target gets while it sheds load or has just come back.

Shedding halves the limit and answers raise it again, so that load is taken away from a
target without treating it as dead. A target that was out of reach starts with one slot,
since it may be cold.
"""

from typing import Final

LIMIT_MIN: Final = 1.0
ANSWERS_PER_SLOT: Final = 8
TIMEOUTS_TO_MIN: Final = 3


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease between one slot and all."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self._timeouts = 0

    @property
    def slots(self) -> int:
        """Slots that may be used now."""
        return int(self._limit)

    def resize(self, slots: int) -> None:
        """Takes over a published change of the target's slots."""
        if slots != self._slots:
            self._slots = slots
            self._limit = float(slots)

    def record_answer(self) -> None:
        """Raises the limit a little."""
        self._timeouts = 0
        if self._limit < self._slots:
            raised = self._limit + 1 / ANSWERS_PER_SLOT
            self._limit = min(float(self._slots), raised)

    def record_shed(self) -> None:
        """Halves the limit."""
        self._limit = max(LIMIT_MIN, self._limit / 2)

    def record_timeout(self) -> None:
        """Falls to one slot after several timeouts without an answer between them."""
        self._timeouts += 1
        if self._timeouts >= TIMEOUTS_TO_MIN:
            self._limit = LIMIT_MIN

    def record_outage(self) -> None:
        """Falls to one slot, since the target will be cold when it is back."""
        self._limit = LIMIT_MIN
