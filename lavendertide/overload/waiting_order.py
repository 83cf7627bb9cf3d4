"""Decides which of the calls that wait for a connection is sent next.

Load pattern: more calls of several routes wait for a slow target than it has
connections. The most urgent one is sent first, and of equally urgent ones the oldest. A
call that has waited for half of its time precedes all others, so that less urgent ones
are not starved by a steady arrival of urgent ones.
"""

from collections.abc import Sequence
from typing import Final, Protocol

# Share of its time after which a call is sent next whatever its priority.
OVERDUE_SHARE: Final = 0.5


class Waiting(Protocol):
    """A call that waits."""

    @property
    def priority(self) -> int:
        """Calls with a lower number are more urgent."""

    @property
    def queued_at_s(self) -> float:
        """Time from which the call waits, monotonic."""

    @property
    def ends_at_s(self) -> float:
        """Time from which nobody waits for the reply, monotonic."""


def find_next(calls: Sequence[Waiting], now_s: float) -> int:
    """Returns the index of the call to send next.

    Args:
        calls: The waiting calls in order of arrival, at least one.
        now_s: Present time, monotonic.
    """
    priorities = {call.priority for call in calls}
    if len(priorities) == 1:
        return 0
    for index, call in enumerate(calls):
        if _is_overdue(call, now_s):
            return index
    most_urgent = min(priorities)
    return next(i for i, call in enumerate(calls) if call.priority == most_urgent)


def _is_overdue(call: Waiting, now_s: float) -> bool:
    time_s = call.ends_at_s - call.queued_at_s
    return now_s - call.queued_at_s >= OVERDUE_SHARE * time_s
