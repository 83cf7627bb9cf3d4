"""A forwarder on targets whose behaviour a test has set, without a network."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry

from lavendertide.forwarding.budget import RetryAllowance, RetryBudgets
from lavendertide.forwarding.forwarder import FleetCallbacks, Forwarder
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
from lavendertide.forwarding.pool import TargetCall, TargetPools
from lavendertide.forwarding.sender import CallerLeft, Event
from lavendertide.forwarding.target_view import TargetViews
from lavendertide.ids import Address, TargetId
from lavendertide.poison.quarantine import Quarantine
from lavendertide.registry.registry import TargetRegistry
from lavendertide.routes.active_routes import ActiveRoutes
from lavendertide.routes.route import Route
from lavendertide.runtime import clock, tasks
from standins.forwarding_records import (
    LOCAL_DOMAIN,
    reply,
    request,
    table,
    target,
)

Behaviour = Callable[[TargetCall], TargetReply]


def answers(body: bytes = b"") -> Behaviour:
    """Returns the behaviour of a target that answers at once."""
    return lambda call: reply(call.record.target, body=body, sign=call.record.target)


def answers_after(delay_s: float) -> Behaviour:
    """Returns the behaviour of a target that takes a while."""

    def behave(call: TargetCall) -> TargetReply:
        tasks.sleep(delay_s)
        return reply(call.record.target, sign=call.record.target)

    return behave


def refuses(call: TargetCall) -> TargetReply:
    """Behaves like a target that has no room."""
    return NotRun(call.record.target, NotRunReason.REFUSED)


def crashes(call: TargetCall) -> TargetReply:
    """Behaves like a target that closes the connection."""
    return Unknown(call.record.target, UnknownReason.CLOSED)


def closes_after(delay_s: float) -> Behaviour:
    """Returns the behaviour of a connection that is closed after a while."""

    def behave(call: TargetCall) -> TargetReply:
        tasks.sleep(delay_s)
        return crashes(call)

    return behave


def crashes_first(times: int) -> Behaviour:
    """Returns the behaviour of a target that answers after some crashes."""
    left = iter(range(times))

    def behave(call: TargetCall) -> TargetReply:
        return answers()(call) if next(left, None) is None else crashes(call)

    return behave


def in_turn(*behaviours: Behaviour) -> Behaviour:
    """Returns a behaviour for several targets: each call meets the next one."""
    left = iter(behaviours)
    return lambda call: next(left)(call)


def cannot_be_reached(call: TargetCall) -> TargetReply:
    """Behaves like a target to which no connection can be opened."""
    return NotRun(call.record.target, NotRunReason.UNREACHABLE)


def leave_after(delay_s: float, inbox: tasks.Mailbox[Event]) -> None:
    """Behaves like a caller that closes its connection."""
    tasks.sleep(delay_s)
    inbox.send(CallerLeft())


class ScriptedWire:
    """A connection to a target whose behaviour a test has set."""

    def __init__(self, world: "World") -> None:
        self._world = world

    def is_usable(self, now_s: float) -> bool:
        """Returns that it is open."""
        return True

    def open(self, timeout_s: float) -> bool:
        """Opens nothing."""
        return True

    def close(self) -> None:
        """Notes that the exchange was broken off."""
        self._world.closed += 1

    def exchange(self, call: TargetCall, now_s: float) -> TargetReply:
        """Behaves as the test has said."""
        self._world.asked.append(call.record.target)
        self._world.late_after_s = call.late_at_s - now_s
        return self._world.behaviours[call.record.target](call)


class World:
    """A forwarder with targets that behave as a test says."""

    def __init__(
        self, destination_route: Route, fixed: float = 800.0, window_s: float = 10.0
    ) -> None:
        self.asked: list[TargetId] = []
        self.closed = 0
        self.late_after_s = 0.0
        self.behaviours: dict[TargetId, Behaviour] = {}
        self.stalls: list[TargetId] = []
        self.route = destination_route
        self.registry = TargetRegistry()
        self.views = TargetViews(LOCAL_DOMAIN)
        book = ActiveRoutes()
        book.adopt(table(1, destination_route), "test", 0.0)
        self.forwarder = Forwarder(
            book,
            self.registry,
            self.views,
            TargetPools(self._make_wire),
            RetryBudgets(RetryAllowance(0.2, fixed, window_s)),
            CrashEvidence(Quarantine()),
            FleetCallbacks(
                self.stalls.append,
                lambda _: None,
                lambda: 8,
                lambda _: 1 / 8,
                lambda _: False,
            ),
            ForwardingMetrics(CollectorRegistry()),
        )

    def add(self, name: str, service: str, behaviour: Behaviour) -> None:
        """Adds a target."""
        self.registry.put(target(name, service))
        self.behaviours[TargetId(name)] = behaviour

    def forward(self, inbox: tasks.Mailbox[Event] | None = None) -> Response:
        """Forwards one request and returns its answer."""
        arrived_s = clock.monotonic_s()
        asked = request(arrived_s, arrived_s + 0.5)
        return self.forwarder.forward(
            asked, self.route, tasks.Mailbox() if inbox is None else inbox
        )

    def _make_wire(self, address: Address) -> ScriptedWire:
        return ScriptedWire(self)
