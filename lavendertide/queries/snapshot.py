"""The one index version that a query reads.

The best version is the newest of which every shard has a replica that has not lately
denied holding it.
"""

from dataclasses import dataclass
from typing import Final

from returns.result import Failure, Result, Success

from lavendertide.configuration.catalog import Index
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.ids import IndexVersion, ShardNumber, TargetId

DENIAL_S: Final = 5.0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A pinned version with its shard map."""

    version: IndexVersion
    replicas: tuple[tuple[TargetId, ...], ...]

    @property
    def shard_count(self) -> int:
        """How many shards the version has."""
        return len(self.replicas)

    def replicas_of(self, shard: ShardNumber) -> tuple[TargetId, ...]:
        """Returns the targets that hold a shard of this version."""
        return self.replicas[shard]


class Holdings:
    """Which versions targets have lately denied holding."""

    def __init__(self) -> None:
        self._denied_until_s: dict[tuple[TargetId, IndexVersion], float] = {}

    def deny(self, target: TargetId, version: IndexVersion, now_s: float) -> None:
        """Remembers that a target does not hold a version."""
        self._denied_until_s[target, version] = now_s + DENIAL_S

    def may_hold(self, target: TargetId, version: IndexVersion, now_s: float) -> bool:
        """Returns whether it is worth asking a target for a version."""
        return self._denied_until_s.get((target, version), 0.0) <= now_s

    def pin(self, index: Index, now_s: float) -> Result[Snapshot, Refusal]:
        """Chooses the version that a query reads."""
        for version in sorted(index.versions, reverse=True):
            replicas = index.versions[version]
            if all(self._any_may_hold(held, version, now_s) for held in replicas):
                return Success(Snapshot(version, replicas))
        return Failure(
            Refusal(
                RefusalKind.NO_SNAPSHOT,
                f"No version of '{index.index}' is held for every shard.",
                "Publish a version that the targets hold, or wait for their builds.",
                Fault.TARGET,
            )
        )

    def _any_may_hold(
        self, targets: tuple[TargetId, ...], version: IndexVersion, now_s: float
    ) -> bool:
        return any(self.may_hold(target, version, now_s) for target in targets)
