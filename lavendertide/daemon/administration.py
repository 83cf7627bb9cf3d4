"""Joins what operators see: the metrics and the administration API."""

from collections import Counter

from lavendertide.daemon.admin_front import AdminFront
from lavendertide.daemon.admin_service import AdminParts, AdminService
from lavendertide.metrics.metrics import Metrics, TargetUse
from lavendertide.options import AdminOptions
from lavendertide.targets.lane import Lane


class Administration:
    """The administration of one daemon."""

    def __init__(
        self, options: AdminOptions, metrics: Metrics, parts: AdminParts
    ) -> None:
        self._metrics = metrics
        self._parts = parts
        self._front = AdminFront(options, AdminService(parts), self._exposition)

    @property
    def front(self) -> AdminFront:
        """The WSGI application that operators and owners reach."""
        return self._front

    def _exposition(self) -> bytes:
        lanes = self._parts.targets.lanes
        states = Counter(member.state for member in self._parts.roster.members)
        self._metrics.set_fleet(self._parts.configuration.version, states)
        self._metrics.set_targets(_use_of(lanes))
        return self._metrics.exposition()


def _use_of(lanes: list[Lane]) -> TargetUse:
    return TargetUse(
        queued=sum(lane.queued for lane in lanes),
        slots_in_use=sum(lane.slots_in_use for lane in lanes),
        over_slots=sum(lane.slots_in_use > lane.place.slots for lane in lanes),
        over_connections=sum(
            lane.condition.open_connections > lane.place.connections for lane in lanes
        ),
    )
