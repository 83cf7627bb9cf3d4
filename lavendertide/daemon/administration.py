"""Builds the administration API and exports the aggregates' state as metrics."""

from collections import Counter

from lavendertide.daemon.admin_documents import STATES, state_of
from lavendertide.daemon.admin_front import AdminFront
from lavendertide.daemon.admin_service import AdminDependencies, AdminService
from lavendertide.fleet.roster import SILENCE_S
from lavendertide.metrics import names
from lavendertide.metrics.metrics import FleetView, Metrics, TargetTotals
from lavendertide.metrics.owner_counts import OwnerCounts
from lavendertide.options import AdminOptions
from lavendertide.queries.dependencies import FanOutDependencies
from lavendertide.runtime import clock
from lavendertide.targets.lane import Lane
from lavendertide.targets.target_pool import TargetPool


class Administration:
    """The administration API of one daemon and its metrics.

    Gauges of the fleet and the targets are computed when the metrics are scraped.
    """

    def __init__(
        self, options: AdminOptions, metrics: Metrics, dependencies: AdminDependencies
    ) -> None:
        self._metrics = metrics
        self._dependencies = dependencies
        self._front = AdminFront(options, AdminService(dependencies), self._exposition)

    @property
    def front(self) -> AdminFront:
        """The WSGI application of the administration API."""
        return self._front

    def _exposition(self) -> bytes:
        now_s = clock.monotonic_s()
        self._metrics.set_fleet(_fleet_view(self._dependencies, now_s))
        self._metrics.set_targets(
            _target_totals(self._dependencies.targets.lanes, now_s)
        )
        return self._metrics.exposition()


def export_owner_counts(
    metrics: Metrics, queries: FanOutDependencies, pool: TargetPool
) -> None:
    """Exports the aggregates' per-owner counters as metrics."""
    metrics.register_owner_counts(
        OwnerCounts(
            names.HEDGES,
            "Sub-requests sent while another was open, within the owner's budget.",
            lambda: queries.hedge_budgets.spent,
        ),
        OwnerCounts(
            names.RETRIES,
            "Sub-requests sent after a failed one, within the owner's budget.",
            lambda: queries.retry_budgets.spent,
        ),
        OwnerCounts(
            names.SLOT_BREACHES,
            "Sub-requests that began while the target's slots were all in use.",
            lambda: pool.slot_breaches,
        ),
    )


def _fleet_view(dependencies: AdminDependencies, now_s: float) -> FleetView:
    roster = dependencies.roster
    service = dependencies.configuration_status(now_s).service
    return FleetView(
        version=dependencies.configuration.version,
        is_refused=dependencies.configuration.refused is not None,
        is_service_lost=service.is_watching and service.problem is not None,
        members=Counter(member.state for member in roster.members),
        reachable=sum(
            roster.is_reachable(member.daemon, SILENCE_S, now_s)
            for member in roster.members
        ),
    )


def _target_totals(lanes: list[Lane], now_s: float) -> TargetTotals:
    states = Counter(state_of(lane, now_s) for lane in lanes)
    return TargetTotals(
        queued=sum(lane.queued for lane in lanes),
        slots_in_use=sum(lane.slots_in_use for lane in lanes),
        over_slots=sum(lane.slots_in_use > lane.place.slots for lane in lanes),
        over_connections=sum(
            lane.condition.open_connections > lane.place.connections for lane in lanes
        ),
        by_state={state: states[state] for state in STATES},
    )
