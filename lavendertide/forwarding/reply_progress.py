"""The successful replies of one request, and when half of its parts had one.

The time until half of the parts have a reply shows the load of the targets. It is
reported at that moment, since the end of the request may be seconds later.
"""

import math
from collections.abc import Callable

from lavendertide.bookkeeping import Isolated
from lavendertide.forwarding.messages import CallerRequest, Replied

# Called with the seconds since the request's arrival and the present time.
CoverageListener = Callable[[float, float], None]


class ReplyProgress:
    """Collects the successful replies of one request.

    Args:
        request: The request.
        parts: Number of its parts.
    """

    def __init__(self, request: CallerRequest, parts: int) -> None:
        self._request = request
        self._parts = parts
        self._replies: list[Replied] = []
        self._half_covered_s: float | None = None
        self._listener: CoverageListener | None = None

    def __len__(self) -> int:
        return len(self._replies)

    @property
    def replies(self) -> list[Replied]:
        """The replies, in the order of their arrival."""
        return self._replies

    @property
    def is_whole(self) -> bool:
        """Whether each part has a reply."""
        return len(self._replies) == self._parts

    @property
    def half_covered_s(self) -> float | None:
        """Seconds after which half of the parts had a reply; none if they have not."""
        return self._half_covered_s

    def set_listener(self, listener: CoverageListener) -> None:
        """Sets a listener that is called once half of the parts have a reply."""
        self._listener = listener

    def add(self, reply: Replied, now_s: float) -> None:
        """Adds the successful reply of a part that had none."""
        self._replies.append(reply)
        if len(self._replies) != math.ceil(self._parts / 2):
            return
        self._half_covered_s = now_s - self._request.arrived_at_s
        if self._listener is not None:
            with Isolated("coverage", self._request.request):
                self._listener(self._half_covered_s, now_s)
