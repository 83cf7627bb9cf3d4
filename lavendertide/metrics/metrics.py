"""The metrics of one daemon.

Each `Metrics` object has its own registry, so that tests can create several daemons in
one process. Label children are cached, which makes counting a look-up and an addition.
"""

from collections import Counter as Counts
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from prometheus_client import REGISTRY, CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from lavendertide.errors import Fault, RefusalKind
from lavendertide.ids import IndexName, OwnerId, PlanClass
from lavendertide.messages import (
    Answered,
    Declined,
    Lost,
    MemberState,
    Outcome,
    SubReply,
)
from lavendertide.metrics import names
from lavendertide.metrics.hedging import HedgingCollector
from lavendertide.metrics.labels import (
    CLASSES_MAX,
    INDEXES_MAX,
    OWNERS_MAX,
    BoundedLabel,
    Children,
)
from lavendertide.metrics.owner_counts import OwnerCounts, OwnerCountsCollector
from lavendertide.queries.hedging import WithheldCause
from lavendertide.queries.timing import LatencyEstimate

_BY_CLASS = ("owner", "plan_class")


@dataclass(frozen=True, slots=True)
class TargetTotals:
    """Sums over the targets that a daemon holds.

    Attributes:
        queued: Sub-requests that wait for a slot.
        slots_in_use: Slots in use.
        over_slots: Number of targets that may run more than their slots.
        over_connections: Number of targets with more connections than they accept.
        by_state: Number of targets in each state, as the administration API names it.
    """

    queued: int
    slots_in_use: int
    over_slots: int
    over_connections: int
    by_state: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class FleetView:
    """A daemon's view of the fleet and of its configuration.

    Attributes:
        version: Version of the configuration in force.
        is_refused: Whether a later publication was refused.
        is_service_lost: Whether the last call of the configuration service failed.
        members: Number of daemons in the roster in each state.
        reachable: Number of daemons in the roster that this one reaches.
    """

    version: int
    is_refused: bool
    is_service_lost: bool
    members: Mapping[MemberState, int]
    reachable: int


class Metrics:
    """Counters, gauges and histograms of one daemon, in a registry of their own."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._owners = BoundedLabel(OWNERS_MAX)
        self._classes = BoundedLabel(CLASSES_MAX)
        self._indexes = BoundedLabel(INDEXES_MAX)
        self._make_query_metrics()
        self._make_target_metrics()
        self._make_fleet_metrics()

    def _make_query_metrics(self) -> None:
        self._latency = Children(
            self._histogram(
                names.LATENCY_SECONDS,
                "From a search's arrival to its answer.",
                _BY_CLASS,
                names.LATENCY_BUCKETS_S,
            ).labels
        )
        self._coverage = Children(
            self._histogram(
                names.COVERAGE_RATIO,
                "Part of the version's shards that an answer covers.",
                _BY_CLASS,
                names.COVERAGE_BUCKETS,
            ).labels
        )
        self._queries = self._counter(
            names.QUERIES, "Searches by outcome.", (*_BY_CLASS, "outcome")
        )
        self._executions = self._counter(
            names.EXECUTIONS,
            "Non-idempotent requests by outcome.",
            (*_BY_CLASS, "outcome"),
        )
        self._refusals = self._counter(
            names.REFUSALS,
            "Requests refused before any of them ran.",
            ("owner", "kind", "fault"),
        )
        self._gaps = self._counter(
            names.GAPS,
            "Shards that answers do not cover.",
            ("owner", "reason", "fault"),
        )
        self._deadline_breaches = self._counter(
            names.DEADLINE_BREACHES,
            "Answers that came after the deadline in force.",
            ("owner",),
        )
        self._attempts = self._counter(
            names.ATTEMPTS, "Sub-requests sent for searches.", ("owner",)
        )
        self._extra_attempts = self._counter(
            names.EXTRA_ATTEMPTS,
            "Sub-requests beyond one for each shard: hedges and retries.",
            ("owner",),
        )

    def _make_target_metrics(self) -> None:
        self._queueing = Children(
            self._histogram(
                names.QUEUEING_SECONDS,
                "Time that sub-requests wait for a target's slot.",
                _BY_CLASS,
                names.QUEUEING_BUCKETS_S,
            ).labels
        )
        self._sub_requests = self._counter(
            names.SUB_REQUESTS,
            "Sub-requests to targets held here, by result.",
            ("owner", "result"),
        )
        self._over_limit = self._gauge(
            names.TARGETS_OVER_LIMIT,
            "Targets held here with more in use than their limit.",
            ("limit",),
        )
        self._queued = self._gauge(
            names.TARGETS_QUEUED, "Sub-requests that wait for slots held here."
        )
        self._slots_in_use = self._gauge(
            names.TARGET_SLOTS_IN_USE, "Slots held here that are in use."
        )
        self._targets = self._gauge(
            names.TARGETS_HELD, "Targets held here by state.", ("state",)
        )

    def _make_fleet_metrics(self) -> None:
        self._version = self._gauge(
            names.CONFIGURATION_VERSION, "Version of both lists in force."
        )
        self._refused = self._gauge(
            names.CONFIGURATION_REFUSED, "1 while a later publication is refused."
        )
        self._service_lost = self._gauge(
            names.SERVICE_LOST,
            "1 while the configuration service does not answer this daemon.",
        )
        self._members = self._gauge(
            names.MEMBERS, "Daemons in the roster by state.", ("state",)
        )
        self._reachable = self._gauge(
            names.MEMBERS_REACHABLE, "Daemons that this one reaches."
        )

    def observe_search(
        self,
        owner: OwnerId,
        plan_class: PlanClass,
        outcome: Outcome,
        latency_s: float,
        coverage: float,
        is_late: bool = False,
    ) -> None:
        """Records the outcome, latency and coverage of an answered search.

        Args:
            owner: Owner of the plan that the search used.
            plan_class: Class of that plan.
            outcome: How the search ended.
            latency_s: Time from the search's arrival to its response.
            coverage: Part of the shards that the response covers, 0 to 1.
            is_late: Whether the response came after the deadline in force.
        """
        labels = self._label_values(owner, plan_class)
        self._latency.child_of(*labels).observe(latency_s)
        self._coverage.child_of(*labels).observe(coverage)
        self._queries.child_of(*labels, outcome.value).inc()
        self._deadline_breaches.child_of(labels[0]).inc(int(is_late))

    def count_execution(
        self, owner: OwnerId, plan_class: PlanClass, outcome: Outcome
    ) -> None:
        """Counts a non-idempotent request by its outcome."""
        self._executions.child_of(
            *self._label_values(owner, plan_class), outcome.value
        ).inc()

    def count_refusal(self, owner: OwnerId, kind: RefusalKind, fault: Fault) -> None:
        """Counts a request that was refused before any part of it ran."""
        self._refusals.child_of(
            self._owners.value(owner), kind.value, fault.value
        ).inc()

    def count_gap(self, owner: OwnerId, reason: str, fault: Fault, shards: int) -> None:
        """Counts the shards that a response does not cover for one reason."""
        self._gaps.child_of(self._owners.value(owner), reason, fault.value).inc(shards)

    def count_attempts(self, owner: OwnerId, attempts: int, shards: int) -> None:
        """Counts the sub-requests of one search; those above `shards` are extra."""
        label = self._owners.value(owner)
        self._attempts.child_of(label).inc(attempts)
        self._extra_attempts.child_of(label).inc(max(0, attempts - shards))

    def observe_queueing(
        self, owner: OwnerId, plan_class: PlanClass, waited_s: float
    ) -> None:
        """Records how long a sub-request waited for its slot."""
        self._queueing.child_of(*self._label_values(owner, plan_class)).observe(
            waited_s
        )

    def count_sub_request(self, owner: OwnerId, reply: SubReply) -> None:
        """Counts a sub-request to a target held here, by the result in its reply."""
        match reply:
            case Answered():
                result = "answered"
            case Declined(reason=decline):
                result = decline.value
            case Lost(reason=loss):
                result = loss.value
        self._sub_requests.child_of(self._owners.value(owner), result).inc()

    def set_fleet(self, view: FleetView) -> None:
        """Updates the gauges of the fleet, before each exposition."""
        self._version.set(view.version)
        self._refused.set(view.is_refused)
        self._service_lost.set(view.is_service_lost)
        self._reachable.set(view.reachable)
        for state in MemberState:
            self._members.labels(state.value).set(view.members.get(state, 0))

    def set_targets(self, totals: TargetTotals) -> None:
        """Updates the gauges of the targets held here, before each exposition."""
        self._queued.set(totals.queued)
        self._slots_in_use.set(totals.slots_in_use)
        for state, count in totals.by_state.items():
            self._targets.labels(state).set(count)
        self._over_limit.labels("slots").set(totals.over_slots)
        self._over_limit.labels("connections").set(totals.over_connections)

    def register_owner_counts(self, *sources: OwnerCounts) -> None:
        """Exports counters by owner of aggregates, which are read at each scrape."""
        self._registry.register(OwnerCountsCollector(sources, self._owners))

    def register_hedging(
        self,
        withheld: Callable[[], dict[OwnerId, Counts[WithheldCause]]],
        estimates: Callable[[], dict[IndexName, LatencyEstimate]],
    ) -> None:
        """Exports the hedging state, which is read at each scrape.

        Args:
            withheld: Returns each owner's hedges that were due but not sent, by cause.
            estimates: Returns the latency estimate of each index.
        """
        collector = HedgingCollector(withheld, estimates, self._owners, self._indexes)
        self._registry.register(collector)

    def exposition(self) -> bytes:
        """Returns all metrics in the text format of Prometheus."""
        return generate_latest(self._registry) + generate_latest(REGISTRY)

    def _label_values(self, owner: OwnerId, plan_class: PlanClass) -> tuple[str, str]:
        return self._owners.value(owner), self._classes.value(plan_class)

    def _histogram(
        self,
        name: str,
        help_text: str,
        labels: tuple[str, ...],
        buckets: tuple[float, ...],
    ) -> Histogram:
        return Histogram(
            name, help_text, labels, registry=self._registry, buckets=buckets
        )

    def _gauge(self, name: str, help_text: str, labels: tuple[str, ...] = ()) -> Gauge:
        return Gauge(name, help_text, labels, registry=self._registry)

    def _counter(
        self, name: str, help_text: str, labels: tuple[str, ...]
    ) -> Children[Counter]:
        return Children(
            Counter(name, help_text, labels, registry=self._registry).labels
        )
