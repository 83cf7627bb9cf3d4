"""Chooses the single index version that a query reads.

A version is usable if every shard has a replica that has not recently denied holding
it. The newest usable version is best; if there is none, the version with the most
available shards. A version that has not served a query yet is tried by one query per
`PROBE_INTERVAL_S` while an older one is known to be served. A publication that is ahead
of its builds then causes few restarts.
"""

from dataclasses import dataclass
from typing import Final

from returns.result import Failure, Result, Success

from lavendertide.configuration.catalog import Index
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.ids import IndexName, IndexVersion, ShardNumber, TargetId

DENIAL_TTL_S: Final = 2.0
DENIALS_MAX: Final = 16_384
PROBE_INTERVAL_S: Final = 0.25
SERVED_VERSIONS_MAX: Final = 8


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A pinned version with its shard map: the replicas of each shard."""

    version: IndexVersion
    replicas: tuple[tuple[TargetId, ...], ...]

    @property
    def shard_count(self) -> int:
        """Number of shards of the version."""
        return len(self.replicas)

    def replicas_of(self, shard: ShardNumber) -> tuple[TargetId, ...]:
        """Returns the targets published as replicas of a shard."""
        return self.replicas[shard]


class Holdings:
    """Tracks which index versions the targets serve, from their replies.

    Memory is bounded: denials expire, and beyond `DENIALS_MAX` the oldest one is
    dropped, which costs one more request to that target.
    """

    def __init__(self) -> None:
        self._denied_until_s: dict[tuple[TargetId, IndexVersion], float] = {}
        self._served: dict[IndexName, dict[IndexVersion, None]] = {}
        self._probe_at_s: dict[IndexName, float] = {}

    def record_denial(
        self, target: TargetId, version: IndexVersion, now_s: float
    ) -> None:
        """Records that a target replied that it does not hold a version."""
        self._denied_until_s.pop((target, version), None)
        if len(self._denied_until_s) >= DENIALS_MAX:
            del self._denied_until_s[next(iter(self._denied_until_s))]
        self._denied_until_s[target, version] = now_s + DENIAL_TTL_S

    def may_hold(self, target: TargetId, version: IndexVersion, now_s: float) -> bool:
        """Returns whether a target has not recently denied a version."""
        if not self._denied_until_s:
            return True
        return self._denied_until_s.get((target, version), 0.0) <= now_s

    def may_any_hold(
        self, targets: tuple[TargetId, ...], version: IndexVersion, now_s: float
    ) -> bool:
        """Returns whether any of the targets may hold a version."""
        return any(self.may_hold(target, version, now_s) for target in targets)

    def record_served(self, index: IndexName, version: IndexVersion) -> None:
        """Records that most shards of a version answered and none lacked it."""
        served = self._served.setdefault(index, {})
        if version in served:
            return
        served[version] = None
        if len(served) > SERVED_VERSIONS_MAX:
            del served[min(served)]

    def pin(self, index: Index, now_s: float) -> Result[Snapshot, Refusal]:
        """Chooses the version that a query reads."""
        usable = [
            version
            for version in sorted(index.versions, reverse=True)
            if self._is_usable(index, version, now_s)
        ]
        if usable:
            version = self._choose_served_or_probe(index.index, usable, now_s)
        elif index.versions:
            version = self._most_complete(index, now_s)
        else:
            return Failure(_no_snapshot(index))
        return Success(Snapshot(version, index.versions[version]))

    def _is_usable(self, index: Index, version: IndexVersion, now_s: float) -> bool:
        if not self._denied_until_s:
            return True
        return all(
            self.may_any_hold(held, version, now_s) for held in index.versions[version]
        )

    def _most_complete(self, index: Index, now_s: float) -> IndexVersion:
        def shards_held(version: IndexVersion) -> int:
            shards = index.versions[version]
            return sum(self.may_any_hold(held, version, now_s) for held in shards)

        return max(index.versions, key=lambda v: (shards_held(v), v))

    def _choose_served_or_probe(
        self, index: IndexName, usable: list[IndexVersion], now_s: float
    ) -> IndexVersion:
        newest = usable[0]
        served = self._served.get(index, {})
        if newest in served or now_s >= self._probe_at_s.get(index, 0.0):
            self._probe_at_s[index] = now_s + PROBE_INTERVAL_S
            return newest
        return next((version for version in usable if version in served), newest)


def _no_snapshot(index: Index) -> Refusal:
    return Refusal(
        RefusalKind.NO_SNAPSHOT,
        f"No version of index '{index.index}' is published.",
        "Publish a version that the targets hold.",
        Fault.TARGET,
    )
