"""Computes when a response has to leave this host.

There are two deadlines: after the objective, a partial response serves the caller
better than a later full one; after the end, the caller no longer waits. Both count from
the caller's first moment, and include the way of the response.
"""

from dataclasses import dataclass
from typing import Final

from lavendertide.forwarding.messages import CallerRequest
from lavendertide.routes.route import Route

# Time reserved where the caller's part of it is unknown. Connecting, the request and
# the response cross a link of a few milliseconds four times.
RESPONSE_MARGIN_MAX_S: Final = 0.025
RESPONSE_MARGIN_SHARE: Final = 0.25
# Time in which this host reads a request, merges the parts and writes the response,
# while it does the same for other requests.
PROCESSING_S: Final = 0.010
# The delay of links varies; the shortest round trip says nothing of the longest.
DELAY_VARIATION: Final = 1.3
# Largest share of the objective that is reserved where the caller's part is known. With
# less time left, hardly any part would be in.
KNOWN_MARGIN_SHARE_MAX: Final = 0.6
# Shortest remaining time with which a request is sent to a target; no target replies
# in less.
ATTEMPT_MIN_S: Final = 0.004


@dataclass(frozen=True, slots=True)
class ResponseDeadlines:
    """The deadlines of one request's response, monotonic.

    Attributes:
        objective_at_s: After it, a response is of less use to the caller, so a
            sufficient partial response is sent.
        ends_at_s: After it, the caller no longer waits.
        used_s: Seconds that the caller had used before; none if that is unknown.
    """

    objective_at_s: float
    ends_at_s: float
    used_s: float | None

    def next_after(self, now_s: float) -> float:
        """Returns the next deadline after a time; the end if both have passed."""
        if now_s < self.objective_at_s:
            return min(self.objective_at_s, self.ends_at_s)
        return self.ends_at_s


def response_deadlines(
    request: CallerRequest, route: Route, used_s: float | None
) -> ResponseDeadlines:
    """Returns the deadlines at which the response has to leave this host.

    Args:
        request: The request.
        route: The route of the request.
        used_s: Seconds that the caller had used when it sent the request; none if that
            is unknown.
    """
    objective_s = route.objective_s
    margin_s = min(RESPONSE_MARGIN_MAX_S, RESPONSE_MARGIN_SHARE * objective_s)
    end_margin_s = margin_s / 2
    if used_s is not None and request.round_trip_s is not None:
        end_margin_s = DELAY_VARIATION * request.round_trip_s + PROCESSING_S
        known_max_s = KNOWN_MARGIN_SHARE_MAX * objective_s
        margin_s = min(known_max_s, used_s + end_margin_s)
        end_margin_s = min(end_margin_s, known_max_s)
    ends_at_s = request.arrived_at_s + route.wait_max_s
    if request.gives_up_at_s is not None:
        ends_at_s = min(ends_at_s, request.gives_up_at_s - end_margin_s)
    objective_at_s = request.arrived_at_s + objective_s - margin_s
    return ResponseDeadlines(objective_at_s, ends_at_s, used_s)
