"""Refuses requests that can't be served before any target has received them.

A caller that is refused at once can use its time at another host, or come back when the
cause has ended.
"""

import math
import random
from typing import Final

from lavendertide.forwarding.deadlines import ATTEMPT_MIN_S, ResponseDeadlines
from lavendertide.forwarding.messages import CallerRequest, RefusalCause, Refused
from lavendertide.forwarding.poison import CrashEvidence
from lavendertide.forwarding.target_choice import TargetChoice
from lavendertide.forwarding.timing import RouteTimings
from lavendertide.routes.route import Route

# Another host can be tried at once; the pause lets callers read new addresses.
OTHER_HOST_RETRY_S: Final = 0.05
# Targets register within a heartbeat after they start.
NO_TARGET_RETRY_S: Final = 0.5
# The end of an evacuation isn't known. Its callers return after one to two of these
# times, so that they don't come together once the domain's targets are used again.
EVACUATED_RETRY_S: Final = 1.0


class EarlyRefusals:
    """Decides whether a request is refused on its arrival."""

    def __init__(
        self, choice: TargetChoice, crashes: CrashEvidence, timings: RouteTimings
    ) -> None:
        self._choice = choice
        self._crashes = crashes
        self._timings = timings

    def refusal_of(
        self,
        request: CallerRequest,
        route: Route,
        deadlines: ResponseDeadlines,
        host_ends_at_s: float | None,
        now_s: float,
    ) -> Refused | None:
        """Returns the refusal of a request; none if it may be sent to targets.

        Args:
            request: The request.
            route: The route of the request.
            deadlines: The deadlines of the response.
            host_ends_at_s: When this host ends, monotonic; none if that isn't planned.
            now_s: Present time, monotonic.
        """
        if self._crashes.is_quarantined(request.fingerprint, now_s):
            return Refused(RefusalCause.POISONED)
        if deadlines.ends_at_s - now_s < ATTEMPT_MIN_S:
            return Refused(RefusalCause.NO_TIME)
        if self._usually_outlives_host(route, host_ends_at_s, now_s):
            return Refused(RefusalCause.LEAVING, OTHER_HOST_RETRY_S)
        return self._refusal_for_targets(route, now_s)

    def _refusal_for_targets(self, route: Route, now_s: float) -> Refused | None:
        services, required, choice = route.services, route.replies_min, self._choice
        available = sum(choice.has_usable_target(name, now_s) for name in services)
        if available >= required:
            return None
        waits_s = [choice.time_to_target_s(name, now_s) for name in services]
        if sum(map(math.isfinite, waits_s)) >= required:
            retry_after_s = choice.retry_after_s(services, required, now_s)
            return Refused(RefusalCause.TARGETS_FULL, retry_after_s)
        if any(map(choice.is_evacuated, services)):
            retry_after_s = EVACUATED_RETRY_S * (1.0 + random.random())
            return Refused(RefusalCause.EVACUATED, retry_after_s)
        return Refused(RefusalCause.NO_TARGET, NO_TARGET_RETRY_S)

    def _usually_outlives_host(
        self, route: Route, host_ends_at_s: float | None, now_s: float
    ) -> bool:
        """Returns whether this host ends before a route's targets usually reply."""
        if host_ends_at_s is None:
            return False
        usual_s = self._timings.timing_of(route, now_s).usual_max_s(now_s)
        return usual_s is not None and now_s + usual_s > host_ends_at_s
