"""Decides which targets of a service a request may be sent to now, and in which order.

All paths choose here: first attempts, hedges, retries and early refusals. A call that
has waited for a connection is checked again by `lavendertide.forwarding.send_check`.
"""

import math
import random
from collections.abc import Iterable
from typing import Final

from lavendertide.forwarding.loss_risk import LossRisks
from lavendertide.forwarding.target_view import TargetViews
from lavendertide.ids import ServiceName
from lavendertide.registry.record import TargetRecord
from lavendertide.registry.registry import TargetRegistry
from lavendertide.routes.route import RequestKind
from lavendertide.warmup.cold_targets import ColdTargets

# Retry time for callers when all targets were full: a few service times.
FULL_RETRY_S: Final = 0.25
# Services of a refused request whose shortage is recorded. Looking at all targets of a
# search over 100 shards would make a refusal take twice as long.
HELD_BACK_RECORDED: Final = 4
# Callers that were refused because of a pause return over this share of it, so that
# they don't fill the targets again all at once.
RETRY_SPREAD_SHARE: Final = 0.5


class TargetChoice:
    """Chooses among the registered targets by this host's statistics of them.

    Args:
        registry: The registered targets.
        views: This host's statistics of them.
        cold: What may be sent to cold targets.
        risks: Risks of losing requests that can't be repeated; none if these are ranked
            like others.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        views: TargetViews,
        cold: ColdTargets,
        risks: LossRisks | None = None,
    ) -> None:
        self._registry = registry
        self._views = views
        self._cold = cold
        self._risks = risks

    def rank_targets(
        self, service: ServiceName, kind: RequestKind, now_s: float
    ) -> list[TargetRecord]:
        """Returns the usable targets of a service, the best one first.

        Args:
            service: The service.
            kind: Whether the request to be sent may be run more than once.
            now_s: Present time, monotonic.
        """
        ready_targets = self._registry.ready_targets(service, now_s)
        ranked = self._views.rank_targets(ready_targets, now_s, random.random())
        if self._risks is not None and kind is RequestKind.NON_IDEMPOTENT:
            ranked = self._risks.rank(
                ranked,
                lambda record: self._views.score(record, now_s),
                now_s,
            )
        return self._cold.rank(ranked, self._views.view_of, now_s)

    def loss_cost(self, record: TargetRecord, kind: RequestKind, now_s: float) -> float:
        """Returns what a target's risk of losing a request adds to its score.

        It is zero for requests that can be repeated.
        """
        if self._risks is None or kind is not RequestKind.NON_IDEMPOTENT:
            return 0.0
        return self._risks.cost_of(record, now_s)

    def has_usable_target(self, service: ServiceName, now_s: float) -> bool:
        """Returns whether a service has a target that takes requests now."""
        usable = self._select_usable(service, now_s)
        return bool(self._cold.select_allowed(usable, now_s))

    def is_held_back(self, service: ServiceName, now_s: float) -> bool:
        """Returns whether the allowances of a service's cold targets are used up."""
        usable = self._select_usable(service, now_s)
        return bool(usable) and not self._cold.select_allowed(usable, now_s)

    def record_held_back(self, services: Iterable[ServiceName], now_s: float) -> None:
        """Records that a request was refused as allowances are used up.

        Other hosts are then asked for what they don't use.
        """
        names = list(services)
        for service in random.sample(names, min(len(names), HELD_BACK_RECORDED)):
            usable = self._select_usable(service, now_s)
            if usable:
                self._cold.record_shortage((random.choice(usable),), now_s)

    def is_evacuated(self, service: ServiceName) -> bool:
        """Returns whether a service has ready targets in evacuated domains only."""
        return self._registry.is_evacuated(service)

    def cold_wait_s(self, record: TargetRecord, now_s: float) -> float | None:
        """Returns the seconds until a cold target may get a request; none if warm."""
        if not self._cold.is_cold(record, now_s):
            return None
        return self._cold.wait_s(record, now_s)

    def time_to_target_s(self, service: ServiceName, now_s: float) -> float:
        """Returns the seconds until a service has a usable target, or infinity.

        The ends of pauses and the return of the allowances of cold targets are known.
        """
        if self.has_usable_target(service, now_s):
            return 0.0
        usable = self._select_usable(service, now_s)
        wait_s = self._cold.shortest_wait_s(usable, now_s)
        pause_end_s = self._registry.pause_end_s(service, now_s)
        return wait_s if pause_end_s is None else min(wait_s, pause_end_s - now_s)

    def _select_usable(
        self, service: ServiceName, now_s: float
    ) -> tuple[TargetRecord, ...]:
        ready_targets = self._registry.ready_targets(service, now_s)
        return self._views.select_usable(ready_targets, now_s)

    def retry_after_s(
        self, services: Iterable[ServiceName], required: int, now_s: float
    ) -> float:
        """Returns when a caller should retry a request that targets are too full for.

        That is when enough services have a target whose pause has ended, or to which
        this host may send again while it is cold.

        Args:
            services: The services that the request is sent to.
            required: How many of them have to reply.
            now_s: Present time, monotonic.
        """
        waits_s = sorted(self.time_to_target_s(name, now_s) for name in services)
        wait_s = waits_s[required - 1] if required <= len(waits_s) else 0.0
        if math.isinf(wait_s):
            wait_s = 0.0
        if not wait_s:
            return FULL_RETRY_S
        spread_s = max(FULL_RETRY_S, RETRY_SPREAD_SHARE * wait_s)
        return wait_s + random.uniform(0.0, spread_s)
