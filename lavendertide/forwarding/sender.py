"""The interface through which a request run uses the forwarder, and its events."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from lavendertide.forwarding.messages import CallerRequest, Replied, TargetReply
from lavendertide.forwarding.missing import MissingPart
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.ids import ServiceName
from lavendertide.registry.record import TargetRecord
from lavendertide.routes.active_routes import RoutesAge
from lavendertide.routes.route import Route
from lavendertide.runtime import tasks


@dataclass(frozen=True, slots=True)
class CallDone:
    """Event: a sub-request has ended with a reply."""

    call: TargetCall
    reply: TargetReply


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """Event: the caller has closed its connection."""


@dataclass(frozen=True, slots=True)
class HostEnds:
    """Event: this host ends, so the request has to be answered now."""


Event = CallDone | CallerLeft | HostEnds


def successful_calls(events: Iterable[Event]) -> frozenset[int]:
    """Returns the numbers of the calls that have ended with a successful reply."""
    return frozenset(
        event.call.number
        for event in events
        if isinstance(event, CallDone)
        and isinstance(event.reply, Replied)
        and event.reply.is_success
    )


class SubRequestSender(Protocol):
    """Selects targets and sends sub-requests; implemented by `Forwarder`."""

    def rank_targets(
        self, route: Route, service: ServiceName, now_s: float
    ) -> list[TargetRecord]:
        """Returns the usable targets of a route's service, the best one first."""

    def is_held_back(self, service: ServiceName, now_s: float) -> bool:
        """Returns whether the allowances of a service's cold targets are used up."""

    def try_spend_repeat(
        self, route: Route, service: ServiceName, now_s: float
    ) -> bool:
        """Spends one extra sub-request; returns whether the route may have it."""

    def remaining_budget(self, service: ServiceName, now_s: float) -> float:
        """Returns how many extra sub-requests this host may send now."""

    def is_quarantined(self, request: CallerRequest, now_s: float) -> bool:
        """Returns whether a request must not be sent, as it crashes its targets."""

    def retry_after_s(
        self, services: Iterable[ServiceName], required: int, now_s: float
    ) -> float:
        """Returns when a caller should retry a request that targets are too full for.

        Args:
            services: The services that the request is sent to.
            required: How many of them have to reply.
            now_s: Present time, monotonic.

        Returns:
            Seconds from now, different for each caller.
        """

    def routes_age(self, now_s: float) -> RoutesAge:
        """Returns the version of the routes in force and their age."""

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
        """Sends a sub-request to a target; its reply is put into the inbox."""

    def record_missing(self, missing: Iterable[MissingPart]) -> None:
        """Counts the shards that the response to a search leaves out."""

    def report_late_call(self, call: TargetCall, now_s: float) -> None:
        """Notifies peers of a late call, unless its target is known to be stalled."""
