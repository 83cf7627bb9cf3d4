"""How many extra sub-requests this host may send to a service.

The fleet as a whole may send each service a share of its requests, and a fixed number
besides, as extra ones: second attempts, hedges and retries. Each host earns the share
from its own requests alone and has a part of the fixed number, so the sum holds
without an exchange between hosts.
"""

from collections import deque
from dataclasses import dataclass, replace
from typing import Final

from lavendertide.ids import ServiceName

# Part of the allowance that is used; the rest covers hosts that have just restarted.
SPENDABLE_SHARE: Final = 0.8
# Slices of the window over which arrivals are counted.
WINDOW_SLICES: Final = 20


@dataclass(frozen=True, slots=True)
class RetryAllowance:
    """What the whole fleet may send to a service beyond one sub-request a request.

    Attributes:
        ratio: Extra sub-requests for each request.
        fixed: Extra sub-requests in a window besides.
        window_s: Length of the sliding window.
    """

    ratio: float
    fixed: float
    window_s: float


class _SlidingCounter:
    """Counts events over a sliding window."""

    def __init__(self, window_s: float) -> None:
        self._slice_s = window_s / WINDOW_SLICES
        self._slices: deque[tuple[int, int]] = deque()
        self._total = 0

    def record(self, now_s: float) -> None:
        slice_number = int(now_s / self._slice_s)
        if self._slices and self._slices[-1][0] == slice_number:
            self._slices[-1] = (slice_number, self._slices[-1][1] + 1)
        else:
            self._slices.append((slice_number, 1))
        self._total += 1

    def total(self, now_s: float) -> int:
        oldest = int(now_s / self._slice_s) - WINDOW_SLICES
        while self._slices and self._slices[0][0] < oldest:
            self._total -= self._slices.popleft()[1]
        return self._total


@dataclass(slots=True)
class _ServiceCounts:
    requests: _SlidingCounter
    extra: _SlidingCounter


class RetryBudgets:
    """The budgets of all services on this host."""

    def __init__(self, allowance: RetryAllowance) -> None:
        self._allowance = allowance
        self._by_service: dict[ServiceName, _ServiceCounts] = {}

    def set_allowance(self, allowance: RetryAllowance) -> None:
        """Changes the allowance; the window stays as long as it was."""
        self._allowance = replace(allowance, window_s=self._allowance.window_s)

    def record_request(self, service: ServiceName, now_s: float) -> None:
        """Counts a caller's request for a service."""
        self._counts(service).requests.record(now_s)

    def try_spend(self, service: ServiceName, share: float, now_s: float) -> bool:
        """Takes one extra sub-request out of the budget; returns whether there was one.

        Args:
            service: Whose targets would be asked.
            share: This host's part of the fixed number.
            now_s: Present time, monotonic.
        """
        if self.remaining(service, share, now_s) < 1.0:
            return False
        self._counts(service).extra.record(now_s)
        return True

    def remaining(self, service: ServiceName, share: float, now_s: float) -> float:
        """Returns how many extra sub-requests may be sent now."""
        counts = self._counts(service)
        earned = self._allowance.ratio * counts.requests.total(now_s)
        fixed = self._allowance.fixed * share
        return SPENDABLE_SHARE * (earned + fixed) - counts.extra.total(now_s)

    def retain_only(self, services: frozenset[ServiceName]) -> None:
        """Forgets services that no route names any more."""
        for service in [name for name in self._by_service if name not in services]:
            del self._by_service[service]

    def _counts(self, service: ServiceName) -> _ServiceCounts:
        counts = self._by_service.get(service)
        if counts is None:
            window_s = self._allowance.window_s
            counts = _ServiceCounts(
                _SlidingCounter(window_s), _SlidingCounter(window_s)
            )
            self._by_service[service] = counts
        return counts
