"""Joins what operators see: the metrics and the administration API."""

from collections import Counter

from lavendertide.daemon.admin_front import AdminFront
from lavendertide.daemon.admin_service import AdminParts, AdminService
from lavendertide.metrics.metrics import Metrics
from lavendertide.options import AdminOptions


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
        self._metrics.set_targets(
            sum(lane.queued for lane in lanes),
            sum(lane.slots_in_use for lane in lanes),
        )
        return self._metrics.exposition()
