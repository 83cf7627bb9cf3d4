"""Budgets that bound the extra sub-requests of this host to each service.

Extra sub-requests are second attempts, hedges and retries. The whole fleet may send
each service a ratio of its requests, plus a fixed number, as extra ones. Each host
earns the ratio from its own requests alone and has a share of the fixed number, so the
fleet stays within the sum without communication between hosts.
"""

from collections import deque
from dataclasses import dataclass, replace
from typing import Final

from lavendertide.ids import ServiceName

# Share of the allowance that is spent. The rest covers hosts that have just restarted
# and have lost their counts.
SPENDABLE_SHARE: Final = 0.8
# Number of time slices that the sliding window is counted in.
WINDOW_SLICES: Final = 20


@dataclass(frozen=True, slots=True)
class RetryAllowance:
    """The extra sub-requests that the whole fleet may send to a service in a window.

    Attributes:
        ratio: Extra sub-requests for each request.
        fixed: Extra sub-requests in a window in addition to the ratio.
        window_s: Length of the sliding window.
    """

    ratio: float
    fixed: float
    window_s: float


class _SlidingCounter:
    """Counts events over a sliding window, with the resolution of one slice."""

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
    """This host's budgets of extra sub-requests, one for each service."""

    def __init__(self, allowance: RetryAllowance) -> None:
        self._allowance = allowance
        self._by_service: dict[ServiceName, _ServiceCounts] = {}

    def set_allowance(self, allowance: RetryAllowance) -> None:
        """Replaces the ratio and the fixed number; the window keeps its length."""
        self._allowance = replace(allowance, window_s=self._allowance.window_s)

    def record_request(self, service: ServiceName, now_s: float) -> None:
        """Records a caller's request to a service, which earns a part of the budget."""
        self._counts(service).requests.record(now_s)

    def try_spend(self, service: ServiceName, share: float, now_s: float) -> bool:
        """Spends one extra sub-request; returns whether the budget had one left.

        Args:
            service: The service that the sub-request would be sent to.
            share: This host's share of the fixed number, from 0 to 1.
            now_s: Present time, monotonic.
        """
        if self.remaining(service, share, now_s) < 1.0:
            return False
        self._counts(service).extra.record(now_s)
        return True

    def remaining(self, service: ServiceName, share: float, now_s: float) -> float:
        """Returns how many extra sub-requests this host may send now.

        It may be negative, for example after this host's share has shrunk.
        """
        counts = self._counts(service)
        earned = self._allowance.ratio * counts.requests.total(now_s)
        fixed = self._allowance.fixed * share
        return SPENDABLE_SHARE * (earned + fixed) - counts.extra.total(now_s)

    def retain_only(self, services: frozenset[ServiceName]) -> None:
        """Removes the budgets of all other services; no route refers to them."""
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
