"""Chooses the index version that a query reads, and its successor if it is gone."""

from dataclasses import dataclass

from returns.result import Result

from lavendertide.configuration.catalog import Catalog, Index
from lavendertide.errors import Refusal
from lavendertide.ids import ShardNumber
from lavendertide.queries.dependencies import FanOutDependencies
from lavendertide.queries.snapshot import Snapshot


@dataclass(frozen=True, slots=True)
class PinnedSnapshot:
    """A snapshot together with the configuration that it was taken from."""

    index: Index
    catalog: Catalog
    snapshot: Snapshot


def pin(
    dependencies: FanOutDependencies, index: Index, catalog: Catalog, now_s: float
) -> Result[PinnedSnapshot, Refusal]:
    """Pins the best version of an index, with its shard map and targets."""
    return dependencies.holdings.pin(index, now_s).map(
        lambda snapshot: PinnedSnapshot(index, catalog, snapshot)
    )


def find_successor(
    dependencies: FanOutDependencies,
    pinned: PinnedSnapshot,
    shard: ShardNumber,
    now_s: float,
) -> PinnedSnapshot | None:
    """Returns the snapshot to read if no replica of a shard serves the pinned version.

    The current configuration is read again, since the version may be gone because a
    newer one has been published. Returns None if some replica may still serve the
    shard, or if there is no other version.
    """
    previous = pinned.snapshot
    if dependencies.holdings.may_any_hold(
        previous.replicas_of(shard), previous.version, now_s
    ):
        return None
    catalog = dependencies.configuration.catalog.value_or(None)
    index = catalog.indexes.get(pinned.index.index) if catalog else None
    if catalog is None or index is None:
        return None
    successor = pin(dependencies, index, catalog, now_s).value_or(None)
    if successor is None or successor.snapshot.version == previous.version:
        return None
    return successor
