"""A forwarder whose targets are scripted by the test, without a network."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry

from lavendertide.evacuation.evacuated_domains import EvacuatedDomains
from lavendertide.forwarding.budget import RetryAllowance, RetryBudgets
from lavendertide.forwarding.fleet_callbacks import FleetCallbacks
from lavendertide.forwarding.forwarder import Forwarder
from lavendertide.forwarding.messages import (
    NotRun,
    NotRunReason,
    Response,
    TargetReply,
    Unknown,
    UnknownReason,
)
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.forwarding.poison import CrashEvidence
from lavendertide.forwarding.pool import TargetPools
from lavendertide.forwarding.send_check import SendCheck
from lavendertide.forwarding.sender import CallerLeft, Event
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.forwarding.target_view import TargetViews
from lavendertide.ids import Address, TargetId
from lavendertide.poison.quarantine import Quarantine
from lavendertide.registry.record import TargetRun
from lavendertide.registry.registry import TargetRegistry
from lavendertide.routes.active_routes import ActiveRoutes
from lavendertide.routes.route import Route
from lavendertide.runtime import clock, tasks
from lavendertide.warmup.cold_targets import ColdTargets
from standins.forwarding_records import (
    LOCAL_DOMAIN,
    reply,
    request,
    table,
    target,
)

Behaviour = Callable[[TargetCall], TargetReply]


def replies(body: bytes = b"") -> Behaviour:
    """Returns the behaviour of a target that replies successfully at once."""
    return lambda call: reply(
        call.record.target, body=body, signature=call.record.target
    )


def replies_after(delay_s: float) -> Behaviour:
    """Returns the behaviour of a target that replies successfully after a delay."""

    def behave(call: TargetCall) -> TargetReply:
        tasks.sleep(delay_s)
        return reply(call.record.target, signature=call.record.target)

    return behave


def refuses(call: TargetCall) -> TargetReply:
    """Behaves like a target that is full."""
    return NotRun(call.record.target, NotRunReason.REFUSED)


def crashes(call: TargetCall) -> TargetReply:
    """Behaves like a target that closes the connection."""
    return Unknown(call.record.target, UnknownReason.CLOSED)


def closes_after(delay_s: float) -> Behaviour:
    """Returns the behaviour of a target that closes the connection after a delay."""

    def behave(call: TargetCall) -> TargetReply:
        tasks.sleep(delay_s)
        return crashes(call)

    return behave


def crashes_first(times: int) -> Behaviour:
    """Returns the behaviour of a target that crashes `times` times, then replies."""
    left = iter(range(times))

    def behave(call: TargetCall) -> TargetReply:
        return replies()(call) if next(left, None) is None else crashes(call)

    return behave


def in_turn(*behaviours: Behaviour) -> Behaviour:
    """Returns a behaviour for several targets: each call uses the next of them."""
    left = iter(behaviours)
    return lambda call: next(left)(call)


def is_unreachable(call: TargetCall) -> TargetReply:
    """Behaves like a target that accepts no connection."""
    return NotRun(call.record.target, NotRunReason.UNREACHABLE)


def leave_after(delay_s: float, inbox: tasks.Mailbox[Event]) -> None:
    """Behaves like a caller that closes its connection after a delay."""
    tasks.sleep(delay_s)
    inbox.send(CallerLeft())


class ScriptedChannel:
    """A connection to a scripted target."""

    def __init__(self, scripted: "ScriptedForwarder") -> None:
        self._scripted = scripted

    def is_usable(self, now_s: float) -> bool:
        """Returns True: the connection is always usable."""
        return True

    def open(self, timeout_s: float) -> bool:
        """Returns True without opening anything."""
        return True

    def has_data(self) -> bool:
        """Returns False: replies are returned as soon as they exist."""
        return False

    def close(self) -> None:
        """Counts the cancelled exchange."""
        self._scripted.closed_count += 1

    def release(self) -> None:
        """Closes the connection; no exchange runs on it."""

    def exchange(self, call: TargetCall, now_s: float) -> TargetReply:
        """Records the call and returns the scripted reply."""
        self._scripted.called_targets.append(call.record.target)
        self._scripted.late_after_s = call.late_at_s - now_s
        return self._scripted.behaviours[call.record.target](call)


class ScriptedForwarder:
    """A forwarder with scripted targets.

    Attributes:
        called_targets: The target of each call, in order.
        closed_count: Number of exchanges that were cancelled.
        late_after_s: Seconds after which the last call was late.
        behaviours: The scripted behaviour of each target.
        stalls: Targets whose stall was broadcast to peers, in order.
        leaving: Targets that were recorded as leaving, in order.
        crashes: What is known of requests that crash targets.
        route: The route of all requests.
        active_routes: The table in force.
        evacuated: The failure domains that the operator has evacuated.
    """

    def __init__(
        self,
        destination_route: Route,
        fixed: float = 800.0,
        window_s: float = 10.0,
        last_resort_s: float = 0.0,
        cold: ColdTargets | None = None,
        avoids_losses: bool = False,
        more_urgent: tuple[Route, ...] = (),
    ) -> None:
        """Starts without any target.

        Args:
            destination_route: The route of all requests.
            fixed: Fixed number of extra sub-requests.
            window_s: Window in which they are counted.
            last_resort_s: For how long a leaving target is a last resort.
            cold: The cold targets; none by default.
            avoids_losses: Whether targets are chosen by their losses.
            more_urgent: Further routes of the table; with them, requests are admitted
                by priority.
        """
        self.called_targets: list[TargetId] = []
        self.closed_count = 0
        self.late_after_s = 0.0
        self.behaviours: dict[TargetId, Behaviour] = {}
        self.stalls: list[TargetId] = []
        self.leaving: list[TargetRun] = []
        self.route = destination_route
        self.evacuated = EvacuatedDomains()
        self.registry = TargetRegistry(last_resort_s, self.evacuated)
        self.views = TargetViews(LOCAL_DOMAIN)
        self.active_routes = ActiveRoutes()
        self.active_routes.adopt(table(1, destination_route, *more_urgent), "test", 0.0)
        self.crashes = CrashEvidence(Quarantine())
        send_check = SendCheck(self.registry, self.views, self.crashes, cold)
        self.forwarder = Forwarder(
            self.active_routes,
            self.registry,
            self.views,
            TargetPools(self._make_channel, send_check.blocking_reason),
            RetryBudgets(RetryAllowance(0.2, fixed, window_s)),
            self.crashes,
            FleetCallbacks(
                self.stalls.append,
                self._record_leaving,
                lambda _: None,
                lambda _: 8,
                lambda _: 1 / 8,
                lambda _: False,
            ),
            ForwardingMetrics(CollectorRegistry()),
            cold,
            admits_by_priority=bool(more_urgent),
            avoids_losses=avoids_losses,
        )

    def add(self, name: str, service: str, behaviour: Behaviour) -> None:
        """Adds a target of a service with its behaviour."""
        self.registry.put(target(name, service))
        self.behaviours[TargetId(name)] = behaviour

    def forward(
        self,
        inbox: tasks.Mailbox[Event] | None = None,
        name: str = "r1",
        wait_s: float = 0.5,
    ) -> Response:
        """Forwards one request, by its id, and returns its response."""
        arrived_s = clock.monotonic_s()
        caller_request = request(arrived_s, arrived_s + wait_s, name)
        return self.forwarder.forward(
            caller_request, self.route, tasks.Mailbox() if inbox is None else inbox
        )

    def _record_leaving(self, run: TargetRun, now_s: float) -> None:
        if self.registry.record_leaving(run, now_s):
            self.leaving.append(run)

    def _make_channel(self, address: Address) -> ScriptedChannel:
        return ScriptedChannel(self)
