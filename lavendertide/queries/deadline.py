"""The deadline of a query on the monotonic clock."""

from dataclasses import dataclass
from typing import Final

ATTEMPT_FLOOR_S: Final = 0.002
ANSWER_MARGIN_MAX_S: Final = 0.004
ANSWER_MARGIN_SHARE: Final = 0.1


@dataclass(frozen=True, slots=True)
class Deadline:
    """Time at which the response must be sent.

    The time limit of each attempt is clamped to the remaining time.
    """

    at_s: float

    def remaining_s(self, now_s: float) -> float:
        """Returns the remaining seconds, zero once the deadline has passed."""
        return max(0.0, self.at_s - now_s)

    def remaining_ms(self, now_s: float) -> int:
        """Returns the remaining time in whole milliseconds, rounded down."""
        return int(self.remaining_s(now_s) * 1000)

    def allows_attempt(self, now_s: float) -> bool:
        """Returns whether enough time remains for an attempt (`ATTEMPT_FLOOR_S`)."""
        return self.remaining_s(now_s) >= ATTEMPT_FLOOR_S


def deadline_for(budget_ms: int, arrived_at_s: float) -> Deadline:
    """Returns the deadline by which a response must leave to reach its caller in time.

    A small part of the budget is reserved for merging, encoding and the way back to the
    caller.

    Args:
        budget_ms: Time that the caller is willing to wait.
        arrived_at_s: Time at which its request arrived.
    """
    budget_s = budget_ms / 1000
    margin_s = min(ANSWER_MARGIN_MAX_S, ANSWER_MARGIN_SHARE * budget_s)
    return Deadline(arrived_at_s + budget_s - margin_s)
