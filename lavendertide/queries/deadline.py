"""One time budget for a whole query, on the monotonic clock."""

from dataclasses import dataclass
from typing import Final

ATTEMPT_FLOOR_S: Final = 0.002
ANSWER_MARGIN_MAX_S: Final = 0.004
ANSWER_MARGIN_SHARE: Final = 0.1


@dataclass(frozen=True, slots=True)
class Deadline:
    """When the answer has to leave; each attempt is clamped to what is left."""

    at_s: float

    def remaining_s(self, now_s: float) -> float:
        """Returns what is left, zero once it has passed."""
        return max(0.0, self.at_s - now_s)

    def remaining_ms(self, now_s: float) -> int:
        """Returns what is left in whole milliseconds, rounded down."""
        return int(self.remaining_s(now_s) * 1000)

    def allows_attempt(self, now_s: float) -> bool:
        """Returns whether an attempt could still be of use."""
        return self.remaining_s(now_s) >= ATTEMPT_FLOOR_S


def deadline_for(budget_ms: int, arrived_at_s: float) -> Deadline:
    """Returns when an answer has to leave so that its caller has it in time.

    A small part of the budget is kept for merging, encoding and the way back.

    Args:
        budget_ms: How long the caller is willing to wait.
        arrived_at_s: When its request came.
    """
    budget_s = budget_ms / 1000
    margin_s = min(ANSWER_MARGIN_MAX_S, ANSWER_MARGIN_SHARE * budget_s)
    return Deadline(arrived_at_s + budget_s - margin_s)
