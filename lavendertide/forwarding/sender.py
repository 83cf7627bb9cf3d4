"""What a request's run needs of the forwarder, and what it is told."""

from dataclasses import dataclass
from typing import Protocol

from lavendertide.forwarding.messages import CallerRequest, TargetReply
from lavendertide.forwarding.pool import TargetCall
from lavendertide.ids import ServiceName
from lavendertide.registry.record import TargetRecord
from lavendertide.routes.active_routes import RoutesAge
from lavendertide.routes.route import Route
from lavendertide.runtime import tasks


@dataclass(frozen=True, slots=True)
class CallDone:
    """A sub-request has ended."""

    call: TargetCall
    reply: TargetReply


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller has closed its connection."""


Event = CallDone | CallerLeft


class SubRequestSender(Protocol):
    """What a run needs of the forwarder."""

    def targets(self, service: ServiceName, now_s: float) -> list[TargetRecord]:
        """Returns the targets of a service in the order of asking."""

    def try_spend_repeat(self, service: ServiceName, now_s: float) -> bool:
        """Takes an extra sub-request out of the budget."""

    def budget_left(self, service: ServiceName, now_s: float) -> float:
        """Returns how many extra sub-requests may be sent now."""

    def routes_age(self, now_s: float) -> RoutesAge:
        """Returns which routes are in force, and for how long."""

    def send_call(
        self,
        part: int,
        request: CallerRequest,
        route: Route,
        record: TargetRecord,
        ends_at_s: float,
        inbox: tasks.Mailbox[Event],
        service_count: int,
    ) -> TargetCall:
        """Sends a request to a target."""

    def report_late_call(self, call: TargetCall, now_s: float) -> None:
        """Takes in that a target has not answered in the usual time."""
