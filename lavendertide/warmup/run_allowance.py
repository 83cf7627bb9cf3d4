"""Counts what this host sends to one cold run, and what it gives up or receives of it.

Load pattern: callers use few of many hosts, so that some hosts need more of a cold
target's allowance than their part, and others none.

A host that gives up requests keeps to the smaller part for `HELD_S`. The receiver may
use them once each, within `USE_S` of the moment when it asked for them, which precedes
that of the gift. So no two hosts count the same request in a window, whatever happens
to the messages and however long a host pauses: a request that is lost on the way is
only unused. While hosts disagree on a part, the giver's count holds.
"""

from collections import deque
from typing import Final

from lavendertide.warmup.allowance import WINDOW_S, SendWindow

# How long after it has asked for them a host may use the requests of another one. A
# link is dialled and answered in a few milliseconds; more time lets fewer requests pass
# twice in the same time.
USE_S: Final = 0.5
# Longest disagreement of two hosts' clocks on the length of a gift.
CLOCK_MARGIN_S: Final = 0.1
# A window of the giver that begins with the receiver's last use ends by then.
HELD_S: Final = USE_S + WINDOW_S + CLOCK_MARGIN_S


class RunAllowance:
    """This host's requests to one cold run."""

    def __init__(self) -> None:
        self._sent = SendWindow()
        self._given: deque[tuple[float, int]] = deque()
        self._received: deque[tuple[float, int]] = deque()

    def sent(self, now_s: float) -> int:
        """Returns the requests of its own part that this host has sent in a window."""
        return self._sent.count(now_s)

    def given(self, now_s: float) -> int:
        """Returns the requests that other hosts may use, or have used in a window."""
        while self._given and now_s > self._given[0][0]:
            self._given.popleft()
        return sum(requests for _, requests in self._given)

    def received(self, now_s: float) -> int:
        """Returns the requests of other hosts that this one may still use."""
        self._received = deque(each for each in self._received if now_s <= each[0])
        return sum(requests for _, requests in self._received)

    def try_send(self, part: int, now_s: float) -> bool:
        """Counts a request that is sent now; returns whether it may be sent.

        Args:
            part: This host's part of the allowance.
            now_s: Present time, monotonic.
        """
        if self._sent.count(now_s) < part - self.given(now_s):
            self._sent.record(now_s)
            return True
        if not self.received(now_s):
            return False
        until_s, requests = self._received.popleft()
        if requests > 1:
            self._received.appendleft((until_s, requests - 1))
        return True

    def wait_s(self, part: int, now_s: float) -> float:
        """Returns the seconds until this host may send a request.

        Without a part it is the time after which another host's is free.
        """
        if self._received and self.received(now_s):
            return 0.0
        allowed = part - self.given(now_s)
        return self._sent.return_s(allowed, now_s) if allowed > 0 else WINDOW_S

    def give(self, part: int, wanted: int, now_s: float) -> int:
        """Gives up requests of this host's part; returns how many.

        It keeps as many as it has sent itself in the last window.
        """
        spare = part - self.given(now_s) - 2 * self._sent.count(now_s)
        requests = max(0, min(wanted, spare))
        if requests:
            self._given.append((now_s + HELD_S, requests))
        return requests

    def receive(self, requests: int, until_s: float) -> None:
        """Adds requests that another host has given up, until a monotonic time."""
        self._received.append((until_s, requests))
