"""Which replica of a shard is asked, and which comes next."""

from collections.abc import Iterator, Mapping

from lavendertide.configuration.catalog import TargetPlace
from lavendertide.ids import FailureDomain, IndexVersion, Region, TargetId
from lavendertide.queries.snapshot import Holdings


class ReplicaChoice:
    """Orders the replicas of a shard: near ones first, equal ones in rotation."""

    def __init__(
        self,
        region: Region,
        failure_domain: FailureDomain,
        holdings: Holdings,
    ) -> None:
        self._region = region
        self._failure_domain = failure_domain
        self._holdings = holdings
        self._rotation = 0

    def order(
        self,
        replicas: tuple[TargetId, ...],
        version: IndexVersion,
        places: Mapping[TargetId, TargetPlace],
        now_s: float,
    ) -> Iterator[TargetPlace]:
        """Returns the replicas that are worth asking, the best first."""
        self._rotation += 1
        known = [
            places[target]
            for target in replicas
            if target in places and self._holdings.may_hold(target, version, now_s)
        ]
        turn = self._rotation % max(1, len(known))
        rotated = known[turn:] + known[:turn]
        return iter(sorted(rotated, key=self._distance))

    def _distance(self, place: TargetPlace) -> int:
        if place.failure_domain == self._failure_domain:
            return 0
        return 1 if place.region == self._region else 2
