"""Which version a query reads, and what it reads instead once that is gone."""

from dataclasses import dataclass

from returns.result import Result

from lavendertide.configuration.catalog import Catalog, Index
from lavendertide.errors import Refusal
from lavendertide.ids import ShardNumber
from lavendertide.queries.dependencies import FanOutDependencies
from lavendertide.queries.snapshot import Snapshot


@dataclass(frozen=True, slots=True)
class Pinned:
    """A snapshot with the configuration that it comes from."""

    index: Index
    catalog: Catalog
    snapshot: Snapshot


def pin(
    parts: FanOutDependencies, index: Index, catalog: Catalog, now_s: float
) -> Result[Pinned, Refusal]:
    """Returns the best version of an index, with its shard map and targets."""
    return parts.holdings.pin(index, now_s).map(
        lambda snapshot: Pinned(index, catalog, snapshot)
    )


def find_successor(
    parts: FanOutDependencies, pinned: Pinned, shard: ShardNumber, now_s: float
) -> Pinned | None:
    """Returns what to read once no replica of a shard serves the pinned version.

    The configuration in force is read anew, since the version may be gone because a
    newer one has been published. None if the shard may still be served, or if there
    is no other version.
    """
    gone = pinned.snapshot
    if parts.holdings.may_any_hold(gone.replicas_of(shard), gone.version, now_s):
        return None
    catalog = parts.configuration.catalog.value_or(None)
    index = catalog.indexes.get(pinned.index.index) if catalog else None
    if catalog is None or index is None:
        return None
    successor = pin(parts, index, catalog, now_s).value_or(None)
    if successor is None or successor.snapshot.version == gone.version:
        return None
    return successor
