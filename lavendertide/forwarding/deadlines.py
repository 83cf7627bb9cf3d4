"""When a request has to be answered, and when a partial answer serves better."""

from dataclasses import dataclass
from typing import Final

from lavendertide.forwarding.messages import CallerRequest
from lavendertide.routes.route import Route

# Kept for the way from and to the caller, and for joining the parts: setting up a
# connection, asking and answering cross a link of a few milliseconds four times.
RESPONSE_MARGIN_MAX_S: Final = 0.025
RESPONSE_MARGIN_SHARE: Final = 0.25
# A target that is asked with less time than this cannot answer in it.
ATTEMPT_MIN_S: Final = 0.004


@dataclass(frozen=True, slots=True)
class ResponseDeadlines:
    """The two moments that matter to a caller, monotonic.

    Attributes:
        objective_at_s: After it, an answer is of less use; what is there is enough.
        ends_at_s: After it nobody waits any more.
    """

    objective_at_s: float
    ends_at_s: float


def response_deadlines(request: CallerRequest, route: Route) -> ResponseDeadlines:
    """Returns when the answer to a request has to leave this host."""
    objective_s = route.objective_s
    margin_s = min(RESPONSE_MARGIN_MAX_S, RESPONSE_MARGIN_SHARE * objective_s)
    ends_at_s = request.arrived_at_s + route.wait_max_s
    if request.gives_up_at_s is not None:
        ends_at_s = min(ends_at_s, request.gives_up_at_s - margin_s / 2)
    return ResponseDeadlines(request.arrived_at_s + objective_s - margin_s, ends_at_s)
