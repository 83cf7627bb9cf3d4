"""Permission to run one request that was admitted by its priority.

Load pattern: that of `lavendertide.overload.priority_admission`, which issues permits.
"""

from dataclasses import dataclass
from typing import Protocol

from lavendertide.overload.capacity import Feedback, HalfCovered
from lavendertide.overload.route_state import RouteState
from lavendertide.routes.route import Route


class PermitIssuer(Protocol):
    """Observes the requests that it has admitted."""

    def record(
        self, permit: "PriorityPermit", feedback: Feedback, now_s: float
    ) -> None:
        """Records what a request shows about the load."""

    def remove(self, permit: "PriorityPermit", now_s: float) -> None:
        """Removes a request that has ended."""


@dataclass(eq=False, slots=True)
class PriorityPermit:
    """Permission to run one request; it must be released when the request ends.

    Attributes:
        state: What the host knows of the route; it may have left the table since.
        route: The route as it was when the request was admitted.
    """

    admission: PermitIssuer
    state: RouteState
    route: Route
    acquired_at_s: float
    is_observed: bool = False
    is_half_covered: bool = False
    pressure: float = 0.0

    def record_half_covered(self, took_s: float, now_s: float) -> None:
        """Records that half of the sub-requests have been answered."""
        self.is_half_covered = True
        self.admission.record(self, HalfCovered(took_s), now_s)

    def release(self, feedback: Feedback, now_s: float) -> None:
        """Ends the request; its feedback counts unless half was covered before."""
        try:
            if not self.is_half_covered:
                self.admission.record(self, feedback, now_s)
        finally:
            self.admission.remove(self, now_s)
