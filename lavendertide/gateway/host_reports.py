"""Reports of this host about itself, which change nothing and send nothing."""

from dataclasses import replace

from lavendertide.encodings.explanation_json import encode_explanation, encode_status
from lavendertide.evacuation.evacuated_domains import EvacuatedDomains
from lavendertide.fleet.readiness import Readiness
from lavendertide.forwarding.forwarder import Forwarder
from lavendertide.forwarding.host_status import (
    HostStatus,
    StoreStatus,
    cold_status,
    evacuated_status,
)
from lavendertide.forwarding.messages import CallerRequest
from lavendertide.forwarding.target_view import TargetViews
from lavendertide.gateway.follower import Follower
from lavendertide.ids import HostId, ServiceName
from lavendertide.registry.registry import TargetRegistry
from lavendertide.runtime import tasks
from lavendertide.warmup.cold_targets import ColdTargets


class HostReports:
    """Builds the reports that operators read from one host."""

    def __init__(
        self,
        host: HostId,
        forwarder: Forwarder,
        readiness: Readiness,
        registry: TargetRegistry,
        views: TargetViews,
        evacuated: EvacuatedDomains,
        cold: ColdTargets,
        follower: Follower,
    ) -> None:
        self._host = host
        self._forwarder = forwarder
        self._readiness = readiness
        self._registry = registry
        self._views = views
        self._evacuated = evacuated
        self._cold = cold
        self._follower = follower

    def explain(self, request: CallerRequest, now_s: float) -> bytes:
        """Returns the document that explains where a request would be sent now."""
        arriving = replace(request, arrived_at_s=now_s)
        is_ready = self._readiness.accepts(now_s)
        explanation = self._forwarder.explainer.explain(arriving, is_ready, now_s)
        names = {each.service for each in explanation.services}
        # Other tasks run between the services, as while they were explained.
        return encode_explanation(
            explanation, self._status(now_s, names), lambda: tasks.sleep(0.0)
        )

    def describe(self, now_s: float) -> bytes:
        """Returns the document about what is in force on this host."""
        return encode_status(self._status(now_s))

    def _status(
        self, now_s: float, services: set[ServiceName] | None = None
    ) -> HostStatus:
        return HostStatus(
            self._host,
            self._readiness.state.value,
            self._forwarder.routes_age(now_s),
            evacuated_status(self._evacuated, self._registry, self._views, now_s),
            self._forwarder.admission.limits(now_s),
            self._cold.count(now_s),
            cold_status(self._cold, self._registry, services, now_s),
            StoreStatus(
                self._follower.history.position,
                now_s - self._follower.answered_at_s,
                self._follower.restorations.count,
            ),
        )
