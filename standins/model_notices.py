"""Checks that hosts respect what a model target says about itself.

A host that was told to leave a full target alone may send it two requests from half a
second after that on, until the time it was told is over. A host that was told that a
target is leaving sends it nothing after the drain time.
"""

from collections import Counter
from typing import Final

DRAIN_S: Final = 3.0
PAUSE_S: Final = 1.0
# What a host may have sent before it read the refusal doesn't count.
IN_FLIGHT_S: Final = 0.5
ARRIVALS_IN_PAUSE_MAX: Final = 2


class NoticeChecker:
    """The notices that one run of a target has sent to each host."""

    def __init__(self) -> None:
        self._paused_at_s: dict[int, float] = {}
        self._leaving_at_s: dict[int, float] = {}
        self._arrivals_in_pause: Counter[int] = Counter()
        self.violations: list[str] = []

    def record_arrival(self, host: int, now_s: float) -> None:
        """Checks that a host may send a request at this time."""
        paused_at_s = self._paused_at_s.get(host)
        if (
            paused_at_s is not None
            and paused_at_s + IN_FLIGHT_S < now_s < paused_at_s + PAUSE_S
        ):
            self._arrivals_in_pause[host] += 1
            if self._arrivals_in_pause[host] > ARRIVALS_IN_PAUSE_MAX:
                self.violations.append(f"pause: host {host} sent at {now_s:.3f} s")
        if now_s > self._leaving_at_s.get(host, now_s) + DRAIN_S:
            self.violations.append(f"leaving: host {host} sent at {now_s:.3f} s")

    def record_pause(self, host: int, now_s: float) -> None:
        """Records that a host was told to pause."""
        if now_s >= self._paused_at_s.get(host, -PAUSE_S) + PAUSE_S:
            self._arrivals_in_pause[host] = 0
            self._paused_at_s[host] = now_s

    def record_leaving(self, host: int, now_s: float) -> None:
        """Records that a host was told that the target is leaving."""
        self._leaving_at_s.setdefault(host, now_s)
