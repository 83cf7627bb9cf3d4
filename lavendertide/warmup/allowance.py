"""Counts the requests that this host may send to a cold target.

Load pattern: a target returns cold beside warm ones, or all targets of a service are
cold at once, while the usual requests go on. Many hosts send to the target at a time.
"""

from collections import deque
from dataclasses import dataclass
from typing import Final

# The allowance holds in any window of this length.
WINDOW_S: Final = 1.0
# Share of the allowance that is given out. The rest covers requests that are sent over
# more than one window and arrive within one.
SPENDABLE_SHARE: Final = 0.8
# The platform's usual bounds, if the settings have none.
DEFAULT_OVERSHOOT: Final = 1.5
DEFAULT_SLACK: Final = 5.0


@dataclass(frozen=True, slots=True)
class ColdBounds:
    """How far all hosts together may exceed the rate that a cold target can take.

    Attributes:
        overshoot: Factor on the rate.
        slack: Requests in a window in addition.
    """

    overshoot: float = DEFAULT_OVERSHOOT
    slack: float = DEFAULT_SLACK

    def spendable(self, cold_per_s: float) -> int:
        """Returns the requests that all hosts may send to a target in one window."""
        # The product may be a rounded whole number.
        allowed = cold_per_s * self.overshoot + self.slack
        return int(SPENDABLE_SHARE * allowed + 1e-9)


DEFAULT_BOUNDS: Final = ColdBounds()


class SendWindow:
    """Counts what this host sends to one target, exactly over any window.

    Each request is counted by its own time, not by time slices, so that no window has
    more requests than allowed wherever it begins.
    """

    def __init__(self) -> None:
        self._sent_at_s: deque[float] = deque()

    def count(self, now_s: float) -> int:
        """Returns the requests that were sent in the window that ends now."""
        # A request of exactly one window ago still counts: the window has both ends.
        while self._sent_at_s and now_s - self._sent_at_s[0] > WINDOW_S:
            self._sent_at_s.popleft()
        return len(self._sent_at_s)

    def record(self, now_s: float) -> None:
        """Counts a request that is sent now."""
        self._sent_at_s.append(now_s)

    def return_s(self, allowed: int, now_s: float) -> float:
        """Returns the seconds until fewer than `allowed` requests count."""
        surplus = self.count(now_s) - allowed
        if surplus < 0:
            return 0.0
        return max(0.0, self._sent_at_s[surplus] + WINDOW_S - now_s)
