"""Ranks the replicas of a shard for a query."""

import random
from collections.abc import Mapping
from typing import Final

from lavendertide.ids import FailureDomain, IndexVersion, Region, TargetId
from lavendertide.options import AnyReplica, NearFirst, ReplicaPolicy
from lavendertide.queries.snapshot import Holdings
from lavendertide.queries.target_reports import TargetReports
from lavendertide.targets.observations import Preference
from lavendertide.targets.place import TargetPlace

# One-way delays within a failure domain, within a region and between regions.
HOP_DELAYS_S: Final = (0.001, 0.005, 0.020)


class ReplicaSelector:
    """Ranks the replicas of a shard by the replica policy in the settings."""

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
    def attempts_per_shard(self) -> int:
        """Number of replicas of each shard that get a first attempt."""
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
        """Returns the usable replicas, best first.

        Replicas that denied the version, are leaving or are not in `places` are left
        out. `NearFirst` puts avoided and ejected replicas last; `AnyReplica` ranks at
        random.
        """
        candidates = [
            places[target]
            for target in replicas
            if target in places and self._holdings.may_hold(target, version, now_s)
        ]
        if self._reports.observations.has_restricted:
            candidates = [
                place for place in candidates if not self._is_leaving(place, now_s)
            ]
        if len(candidates) < 2:
            return candidates
        match self._policy:
            case AnyReplica():
                random.shuffle(candidates)
                return candidates
            case NearFirst():
                return self._near_first(candidates, now_s)

    def hop_s(self, place: TargetPlace) -> float:
        """Returns the assumed one-way delay to a target's failure domain."""
        return HOP_DELAYS_S[self._distance(place)]

    def _near_first(
        self, candidates: list[TargetPlace], now_s: float
    ) -> list[TargetPlace]:
        offset = int(random.random() * len(candidates))
        rotated = candidates[offset:] + candidates[:offset]
        rotated.sort(key=self._distance)
        if self._reports.has_avoided(now_s):
            rotated.sort(key=lambda p: self._reports.is_avoided(p.target, now_s))
        observations = self._reports.observations
        if observations.has_restricted:
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
