"""Prometheus metrics of forwarded requests."""

from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from lavendertide.forwarding.messages import Replied, TargetReply, outcome_of
from lavendertide.forwarding.missing import MissingCause
from lavendertide.metrics.labels import BoundedLabel, Children
from lavendertide.metrics.names import LATENCY_BUCKETS_S
from lavendertide.overload.reported_load import ReportedLoad

ROUTES_MAX: Final = 200


class ForwardingMetrics:
    """Counters and histograms of one host's forwarder.

    Attributes:
        sub_requests: Sub-requests that were handed to connections.
        withheld: Repeated sub-requests that the budget did not allow.
        capacities_shared: Observations of targets that were sent to peers.
        capacities_received: Observations of peers that were taken into account.
        overloads_shared: Observations of queueing delays that were sent to peers.
        overloads_received: Observations of peers that were taken into account.
        pauses: Refusals that told this host how long to leave a target alone.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._routes = BoundedLabel(ROUTES_MAX)
        self._responses = Counter(
            "lavendertide_forwarded_requests",
            "Requests of callers by route and outcome.",
            ("route", "outcome"),
            registry=registry,
        )
        self._latency = Histogram(
            "lavendertide_forwarded_latency_seconds",
            "From a request's arrival to its answer.",
            ("route",),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._caller_time = Histogram(
            "lavendertide_forwarded_caller_time_seconds",
            "What callers had used of their time when they sent their requests.",
            ("route",),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        replies = Counter(
            "lavendertide_forwarded_replies",
            "Replies of targets by outcome.",
            ("outcome",),
            registry=registry,
        )
        self._replies = Children(replies.labels)
        missing = Counter(
            "lavendertide_forwarded_missing_shards",
            "Shards that responses to searches leave out, by cause.",
            ("cause",),
            registry=registry,
        )
        self._missing = Children(missing.labels)
        self.sub_requests = Counter(
            "lavendertide_forwarded_sub_requests",
            "Sub-requests handed to connections.",
            registry=registry,
        )
        self.withheld = Counter(
            "lavendertide_forwarded_repeats_withheld",
            "Repeated sub-requests that the budget did not allow.",
            registry=registry,
        )

        self.pauses = Counter(
            "lavendertide_forwarded_target_pauses",
            "Refusals by which a full target told how long to leave it alone.",
            registry=registry,
        )

        self.capacities_shared = Counter(
            "lavendertide_forwarded_capacities_shared",
            "Observations of slow or fast targets that were sent to peers.",
            registry=registry,
        )
        self.capacities_received = Counter(
            "lavendertide_forwarded_capacities_received",
            "Observations of slow or fast targets that peers have sent.",
            registry=registry,
        )
        self.overloads_shared = Counter(
            "lavendertide_forwarded_overloads_shared",
            "Observations of queueing delays that were sent to peers.",
            registry=registry,
        )
        self.overloads_received = Counter(
            "lavendertide_forwarded_overloads_received",
            "Observations of queueing delays of peers that were taken into account.",
            registry=registry,
        )
        losses = Counter(
            "lavendertide_forwarded_unrepeatable_losses",
            "Sub-requests that can't be repeated and brought no usable reply.",
            ("outcome",),
            registry=registry,
        )
        self._losses = Children(losses.labels)
        late_calls = Counter(
            "lavendertide_forwarded_late_calls",
            "Calls that became late, by what their targets had reported just before.",
            ("cause",),
            registry=registry,
        )
        self._late_calls = Children(late_calls.labels)
        self._admitted_share = Gauge(
            "lavendertide_forwarded_admitted_share",
            "Admitted share of the arrivals of a route with a priority.",
            ("route",),
            registry=registry,
        )
        self._priority_refusals = Counter(
            "lavendertide_forwarded_priority_refusals",
            "Requests refused in favour of more urgent or earlier ones, by route.",
            ("route",),
            registry=registry,
        )

    def record_late_call(self, load: ReportedLoad | None, is_stalled: bool) -> None:
        """Records a late call.

        Args:
            load: What its target has just reported; none if it has reported nothing.
            is_stalled: Whether the target is taken for stalled.
        """
        cause = "unreported"
        if load is not None:
            cause = "stalled" if is_stalled else "queued"
        self._late_calls.child_of(cause).inc()

    def record_admitted_share(self, route: str, share: float) -> None:
        """Records which share of a route's arrivals is admitted at present."""
        self._admitted_share.labels(self._routes.value(route)).set(share)

    def record_priority_refusal(self, route: str) -> None:
        """Counts a request that the admission by priority has refused."""
        self._priority_refusals.labels(self._routes.value(route)).inc()

    def record_response(self, route: str, outcome: str, latency_s: float) -> None:
        """Records the outcome and the latency of one response to a caller."""
        route = self._routes.value(route)
        self._responses.labels(route, outcome).inc()
        self._latency.labels(route).observe(latency_s)

    def record_caller_time(self, route: str, used_s: float) -> None:
        """Records what a caller had used of its time when it sent its request."""
        self._caller_time.labels(self._routes.value(route)).observe(used_s)

    def record_loss(self, reply: TargetReply) -> None:
        """Records how a sub-request was lost that can't be repeated."""
        self._losses.child_of(outcome_of(reply)).inc()

    def record_missing(self, cause: MissingCause) -> None:
        """Records one shard that the response to a search leaves out."""
        self._missing.child_of(cause.value).inc()

    def record_reply(self, reply: TargetReply) -> None:
        """Records the outcome of one sub-request."""
        match reply:
            case Replied():
                outcome = "success" if reply.is_success else "failure"
            case _:
                outcome = outcome_of(reply)
        self._replies.child_of(outcome).inc()
