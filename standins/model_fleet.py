"""Runs the real forwarding code of several hosts on model targets, with no network."""

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Final

from prometheus_client import CollectorRegistry

from lavendertide.forwarding.budget import RetryAllowance, RetryBudgets
from lavendertide.forwarding.capacity import RouteAdmission
from lavendertide.forwarding.fleet_callbacks import FleetCallbacks
from lavendertide.forwarding.forwarder import Forwarder
from lavendertide.forwarding.messages import Response
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.forwarding.poison import CrashEvidence
from lavendertide.forwarding.pool import TargetPools
from lavendertide.forwarding.send_check import SendCheck
from lavendertide.forwarding.target_view import TargetViews
from lavendertide.ids import (
    Address,
    DaemonId,
    FailureDomain,
    RouteName,
    ServiceName,
    TargetId,
)
from lavendertide.messages import Verdict
from lavendertide.overload.capacity_sharing import (
    CapacityObservation,
    CapacitySharing,
    record_observation,
)
from lavendertide.overload.shared_overload import OverloadObservation, OverloadSharing
from lavendertide.poison.quarantine import Quarantine
from lavendertide.registry.record import TargetRecord, TargetRun
from lavendertide.registry.registry import TargetRegistry
from lavendertide.routes.active_routes import ActiveRoutes
from lavendertide.routes.route import RequestKind, Route
from lavendertide.runtime import clock, tasks
from standins.forwarding_records import (
    LOCAL_DOMAIN,
    OTHER_DOMAIN,
    request,
    route,
    shards,
    table,
    target,
)
from standins.model_notices import DRAIN_S
from standins.model_targets import SLOTS, ModelChannel, ModelTarget

REPLICAS: Final = 3
WORK_S: Final = 0.020
OBJECTIVE_S: Final = 0.150
WAIT_MAX_S: Final = 1.0
LAST_RESORT_S: Final = DRAIN_S / 2
# Network delay between hosts of neighbouring failure domains.
BROADCAST_DELAY_S: Final = 0.005
# As in `lavendertide.gateway.capacity_exchange`.
LOOK_INTERVAL_S: Final = 0.05
# As in `lavendertide.gateway.overload_exchange`.
OVERLOAD_RINGS: Final = 8
SLOW_HOST_DELAY_S: Final = 0.5
# Network delays of one way between hosts and targets of three failure domains.
DOMAIN_DELAYS_S: Final = (
    (0.0, 0.0014, 0.0032),
    (0.0014, 0.0, 0.0049),
    (0.0032, 0.0049, 0.0),
)
DOMAINS: Final = (LOCAL_DOMAIN, OTHER_DOMAIN, FailureDomain("north-c"))
RETRY_ALLOWANCE: Final = RetryAllowance(ratio=0.2, fixed=56.0, window_s=10.0)


@dataclass(frozen=True, slots=True)
class Size:
    """The size of a model fleet.

    Attributes:
        hosts: Hosts that forward requests.
        shards: Shards that a search gathers.
        replicas: Targets of each service.
        work_s: Mean time that a request takes in a slot of a target.
        coverage_min: Least share of the shards in the response to a search.
        admits_by_priority: Whether hosts admit requests by their route's priority.
        slow_hosts: Hosts whose own processors or links delay each reply.
        avoids_losses: Whether requests that can't be repeated avoid targets that lose
            them.
    """

    hosts: int = 4
    shards: int = 10
    replicas: int = REPLICAS
    work_s: float = WORK_S
    admits_by_priority: bool = False
    slow_hosts: int = 0
    avoids_losses: bool = False
    coverage_min: float = 0.9

    @property
    def capacity_per_s(self) -> float:
        """Requests per second that the targets could serve if they never paused."""
        return self.replicas * SLOTS / self.work_s * 2

    @property
    def routes(self) -> tuple[Route, ...]:
        """Routes of a search over all shards, and of a look-up and an order.

        The look-up and the order go to the same service.
        """
        search = route(
            shards(self.shards, self.coverage_min), RequestKind.IDEMPOTENT, WAIT_MAX_S
        )
        look_up = replace(route(wait_max_s=WAIT_MAX_S), prefix="/look-up/")
        order = replace(look_up, prefix="/order/", kind=RequestKind.NON_IDEMPOTENT)
        routes = {"search": search, "look-up": look_up, "order": order}
        return tuple(
            replace(each, name=RouteName(name), objective_s=OBJECTIVE_S)
            for name, each in routes.items()
        )


@dataclass(frozen=True, slots=True)
class Conditions:
    """How the targets differ, what they report, and how hosts learn of it.

    Attributes:
        slots: Slots of each target.
        work_factors: How many times as long work takes at the replicas of a service.
        crowding: How many times as long it takes while more than half of the slots of a
            target are used.
        reports_load: Whether targets report their load.
        links: Peers to which each host is linked and sends its observations of targets;
            none are sent if zero.
        make_views: Makes a host's statistics and ranking of the targets.
        domains: Failure domains, up to three, in which the replicas of each service and
            the hosts take turns.
        named_hosts: Hosts that receive all requests; all of them if zero.
    """

    slots: int = SLOTS
    work_factors: tuple[float, ...] = (1.0,)
    crowding: float = 1.0
    reports_load: bool = False
    links: int = 0
    make_views: Callable[[FailureDomain], TargetViews] = TargetViews
    domains: int = 1
    named_hosts: int = 0


class ModelHost:
    """The forwarding of one host.

    Stalls and verdicts reach all hosts after one network delay.
    """

    def __init__(self, fleet: "ModelFleet", number: int) -> None:
        self._fleet = fleet
        self.domain = number % fleet.conditions.domains
        self.registry = TargetRegistry(LAST_RESORT_S)
        self.views = fleet.conditions.make_views(DOMAINS[self.domain])
        self.number = number
        self.sharing = CapacitySharing()
        self.overload_sharing = OverloadSharing(random.Random(number))
        self.crashes = CrashEvidence(Quarantine())
        send_check = SendCheck(self.registry, self.views, self.crashes)
        self._forwarder = Forwarder(
            fleet.active_routes,
            self.registry,
            self.views,
            TargetPools(
                lambda address: fleet.make_channel(number, address),
                send_check.blocking_reason,
            ),
            RetryBudgets(RETRY_ALLOWANCE),
            self.crashes,
            FleetCallbacks(
                fleet.broadcast_stall,
                self._record_leaving,
                fleet.broadcast_verdict,
                lambda _: fleet.connection_hosts,
                lambda _: 1 / len(fleet.named_hosts),
                # The day starts with a fleet that has already served for some time.
                lambda _: False,
            ),
            ForwardingMetrics(CollectorRegistry()),
            admits_by_priority=fleet.size.admits_by_priority,
            avoids_losses=fleet.size.avoids_losses,
        )

    def forward(self, name: str, path: str, wait_max_s: float) -> Response:
        """Forwards one request and returns the response.

        Args:
            name: Id of the request.
            path: Path of the request.
            wait_max_s: How long the caller waits for the response.
        """
        now_s = clock.monotonic_s()
        caller_request = request(now_s, now_s + wait_max_s, name, path)
        found = self._forwarder.find_route(caller_request.host, caller_request.path)
        assert isinstance(found, Route)
        return self._forwarder.forward(caller_request, found, tasks.Mailbox())

    @property
    def admission(self) -> RouteAdmission:
        """The limits of the routes on this host."""
        return self._forwarder.admission

    def _record_leaving(self, run: TargetRun, now_s: float) -> None:
        self.registry.record_leaving(run, now_s)


NO_CONDITIONS: Final = Conditions()


class ModelFleet:
    """The hosts and targets of one simulated day."""

    def __init__(
        self,
        size: Size,
        generator: random.Random,
        conditions: Conditions = NO_CONDITIONS,
    ) -> None:
        self.size = size
        self.conditions = conditions
        self.active_routes = ActiveRoutes()
        now_s = clock.monotonic_s()
        self.active_routes.adopt(table(1, *size.routes), "model", now_s)
        self.targets: dict[Address, ModelTarget] = {}
        for number, service in enumerate(size.replicas * self._services()):
            record = target(f"t{number}", service)
            record = replace(record, address=Address(f"10.0.0.1:{number + 1}"))
            record = replace(record, slots=conditions.slots)
            domain = DOMAINS[number // len(self._services()) % conditions.domains]
            record = replace(record, failure_domain=domain)
            model = ModelTarget(record, size.work_s, random.Random(generator.random()))
            # The replicas of one service follow each other at this distance.
            replica = number // len(self._services())
            factors = conditions.work_factors
            # In each failure domain, the replicas of the services differ in speed.
            turn = replica + number if conditions.domains > 1 else replica
            model.work_factor = factors[turn % len(factors)]
            model.crowding = conditions.crowding
            model.reports_load = conditions.reports_load
            self.targets[record.address] = model
        self.hosts = [ModelHost(self, number) for number in range(size.hosts)]
        for number in range(size.hosts if conditions.links else 0):
            others = [host for host in self.hosts if host is not self.hosts[number]]
            links = random.Random(number).sample(others, conditions.links)
            tasks.spawn(self._share_forever, self.hosts[number], links)
        if size.admits_by_priority:
            for host, receivers in self._overload_receivers():
                tasks.spawn(self._share_overload_forever, host, receivers)
        for model in self.targets.values():
            self.publish(model.record)

    @property
    def named_hosts(self) -> list[ModelHost]:
        """The hosts that are named to callers and receive their requests."""
        return self.hosts[: self.conditions.named_hosts or len(self.hosts)]

    @property
    def connection_hosts(self) -> int:
        """By how many hosts a target's connections are divided.

        As in `lavendertide.gateway.budget_share`, half of them are for the named hosts.
        """
        return min(self.size.hosts, 2 * len(self.named_hosts))

    def publish(self, record: TargetRecord) -> None:
        """Enters a target, or a new run of it, into the registries of all hosts."""
        for host in self.hosts:
            host.registry.put(record)

    def make_channel(self, host: int, address: Address) -> ModelChannel:
        """Returns a connection to the target at an address, which is not open yet."""
        model = self.targets[address]
        target_domain = DOMAINS.index(model.record.failure_domain)
        delay_s = DOMAIN_DELAYS_S[self.hosts[host].domain][target_domain]
        host_delay_s = SLOW_HOST_DELAY_S if host < self.size.slow_hosts else 0.0
        return ModelChannel(host, model, delay_s, host_delay_s)

    def broadcast_stall(self, stalled: TargetId) -> None:
        """Reports a stalled target to all hosts."""
        tasks.spawn(self._apply_stall, stalled)

    def broadcast_verdict(self, verdict: Verdict) -> None:
        """Sends all hosts a verdict on a request that may crash targets."""
        tasks.spawn(self._apply_verdict, verdict)

    def _services(self) -> list[ServiceName]:
        names = [name for route in self.size.routes for name in route.services]
        return list(dict.fromkeys(names))

    def _share_forever(self, host: ModelHost, links: list[ModelHost]) -> None:
        while True:
            tasks.sleep(LOOK_INTERVAL_S)
            now_s = clock.monotonic_s()
            items, reached = host.sharing.select(
                host.views.capacities, len(links), now_s
            )
            if items:
                receivers = random.sample(links, reached)
                tasks.spawn(self._apply_observations, receivers, items)

    def _overload_receivers(self) -> list[tuple[ModelHost, list[ModelHost]]]:
        """Returns each host's successors on rings of all hosts, in random orders."""
        successors: dict[int, dict[int, ModelHost]] = defaultdict(dict)
        for ring in range(OVERLOAD_RINGS):
            order = random.Random(ring).sample(self.hosts, len(self.hosts))
            for host, successor in zip(order, [*order[1:], order[0]], strict=True):
                if host is not successor:
                    successors[host.number][successor.number] = successor
        return [(host, list(successors[host.number].values())) for host in self.hosts]

    def _share_overload_forever(
        self, host: ModelHost, receivers: list[ModelHost]
    ) -> None:
        while True:
            tasks.sleep(LOOK_INTERVAL_S)
            items, reached = host.overload_sharing.select(
                host.admission.shared_overloads(),
                len(receivers),
                clock.monotonic_s(),
            )
            if items:
                chosen = random.sample(receivers, reached)
                tasks.spawn(self._apply_overloads, host, chosen, items)

    def _apply_overloads(
        self,
        sender: ModelHost,
        receivers: list[ModelHost],
        items: tuple[OverloadObservation, ...],
    ) -> None:
        tasks.sleep(BROADCAST_DELAY_S)
        for host in receivers:
            for item in items:
                host.admission.record_from_peer(
                    DaemonId(f"h{sender.number}"), item, clock.monotonic_s()
                )

    def _apply_observations(
        self, receivers: list[ModelHost], items: tuple[CapacityObservation, ...]
    ) -> None:
        tasks.sleep(BROADCAST_DELAY_S)
        now_s = clock.monotonic_s()
        for host in receivers:
            for item in items:
                view = host.views.view_of(item.target)
                record_observation(view.capacity, item, now_s)

    def _apply_stall(self, stalled: TargetId) -> None:
        tasks.sleep(BROADCAST_DELAY_S)
        for host in self.hosts:
            host.views.record_stall(stalled, clock.monotonic_s())

    def _apply_verdict(self, verdict: Verdict) -> None:
        tasks.sleep(BROADCAST_DELAY_S)
        for host in self.hosts:
            host.crashes.apply_verdicts((verdict,), clock.monotonic_s())
