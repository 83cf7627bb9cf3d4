"""Computes when a response has to leave this host.

There are two deadlines: after the objective, a partial response serves the caller
better than a later full one; after the end, the caller no longer waits.
"""

from dataclasses import dataclass
from typing import Final

from lavendertide.forwarding.messages import CallerRequest
from lavendertide.routes.route import Route

# Time reserved for the network between the caller and this host and for merging the
# parts. Connecting, the request and the response cross a link of a few milliseconds
# four times.
RESPONSE_MARGIN_MAX_S: Final = 0.025
RESPONSE_MARGIN_SHARE: Final = 0.25
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
    """

    objective_at_s: float
    ends_at_s: float


def response_deadlines(request: CallerRequest, route: Route) -> ResponseDeadlines:
    """Returns the deadlines at which the response has to leave this host."""
    objective_s = route.objective_s
    margin_s = min(RESPONSE_MARGIN_MAX_S, RESPONSE_MARGIN_SHARE * objective_s)
    ends_at_s = request.arrived_at_s + route.wait_max_s
    if request.gives_up_at_s is not None:
        ends_at_s = min(ends_at_s, request.gives_up_at_s - margin_s / 2)
    return ResponseDeadlines(request.arrived_at_s + objective_s - margin_s, ends_at_s)
