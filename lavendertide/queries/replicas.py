"""Which replica of a shard is asked, and which comes next."""

import random
from collections.abc import Mapping
from typing import Final

from lavendertide.ids import FailureDomain, IndexVersion, Region, TargetId
from lavendertide.options import AnyReplica, NearFirst, ReplicaPolicy
from lavendertide.queries.snapshot import Holdings
from lavendertide.queries.target_reports import TargetReports
from lavendertide.targets.observations import Preference
from lavendertide.targets.place import TargetPlace

# One way, within a failure domain, within a region, between regions.
HOP_S: Final = (0.001, 0.005, 0.020)


class ReplicaSelector:
    """Orders the replicas of a shard by the policy of the settings."""

    def __init__(
        self,
        policy: ReplicaPolicy,
        region: Region,
        failure_domain: FailureDomain,
        holdings: Holdings,
        reports: TargetReports,
    ) -> None:
        self._policy = policy
        self._region = region
        self._failure_domain = failure_domain
        self._holdings = holdings
        self._reports = reports

    @property
    def at_once(self) -> int:
        """How many replicas of each shard are asked at once."""
        match self._policy:
            case AnyReplica(at_once=at_once):
                return at_once
            case NearFirst():
                return 1

    def rank(
        self,
        replicas: tuple[TargetId, ...],
        version: IndexVersion,
        places: Mapping[TargetId, TargetPlace],
        now_s: float,
    ) -> list[TargetPlace]:
        """Returns the replicas that are worth asking, the best first."""
        known = [
            places[target]
            for target in replicas
            if target in places and self._holdings.may_hold(target, version, now_s)
        ]
        if self._reports.observations.has_notable:
            known = [place for place in known if not self._is_leaving(place, now_s)]
        if len(known) < 2:
            return known
        match self._policy:
            case AnyReplica():
                random.shuffle(known)
                return known
            case NearFirst():
                return self._near_first(known, now_s)

    def hop_s(self, place: TargetPlace) -> float:
        """Returns how long a message takes one way to a target's failure domain."""
        return HOP_S[self._distance(place)]

    def _near_first(self, known: list[TargetPlace], now_s: float) -> list[TargetPlace]:
        turn = int(random.random() * len(known))
        rotated = known[turn:] + known[:turn]
        rotated.sort(key=self._distance)
        if self._reports.avoids_any(now_s):
            rotated.sort(key=lambda p: self._reports.is_avoided(p.target, now_s))
        observations = self._reports.observations
        if observations.has_notable:
            rotated.sort(
                key=lambda p: (
                    observations.preference(p.target, now_s) is not Preference.USABLE
                )
            )
        return rotated

    def _is_leaving(self, place: TargetPlace, now_s: float) -> bool:
        return self._reports.observations.is_leaving(place.target, now_s)

    def _distance(self, place: TargetPlace) -> int:
        if place.failure_domain == self._failure_domain:
            return 0
        return 1 if place.region == self._region else 2
