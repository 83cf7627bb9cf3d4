"""The usual time of a route's work at each service, to which single times are compared.

The routes that share a target differ in work, and so do the shards of one search. A
time divided by the usual time of its own route and service shows the target's speed
whatever the mix of requests. The usual time is a geometric mean, since the ratio of two
speeds is a difference of logarithms: pauses of ten times the work would raise an
arithmetic mean and make every target look fast between them.
"""

import math
from typing import Final

from lavendertide.ids import ServiceName

# Weight of the newest time once there are many.
USUAL_WEIGHT: Final = 0.02
# Number of times that the mean over all services counts as until a service has its own.
# A host may send a service few requests in a minute.
SHARED_TIMES: Final = 5


class UsualTimes:
    """The usual times of one route's work at its services."""

    def __init__(self) -> None:
        self._shared_log_s: float | None = None
        self._logs_s: dict[ServiceName, tuple[float, int]] = {}

    def usual_s(self, service: ServiceName) -> float | None:
        """Returns the usual time at a service; none before the route's first time."""
        log_s, _ = self._logs_s.get(service, (self._shared_log_s, 0))
        return None if log_s is None else math.exp(log_s)

    def observe(self, service: ServiceName, work_s: float) -> None:
        """Records how long a request took at a service, without waiting there.

        Args:
            service: The service.
            work_s: Seconds, more than zero.
        """
        newest_log_s = math.log(work_s)
        shared = newest_log_s if self._shared_log_s is None else self._shared_log_s
        self._shared_log_s = shared + USUAL_WEIGHT * (newest_log_s - shared)
        log_s, count = self._logs_s.get(service, (shared, 0))
        weight = max(USUAL_WEIGHT, 1.0 / (count + 1 + SHARED_TIMES))
        log_s += weight * (newest_log_s - log_s)
        self._logs_s[service] = (log_s, count + 1)
