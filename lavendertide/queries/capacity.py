"""Limits the concurrent searches of each owner over each index.

Each daemon bounds the number of searches that an owner runs over an index at a time.
Searches above what the index's targets can answer in time are refused, and the searches
of other owners are not affected. `lavendertide.overload.capacity` computes the bound.
"""

import random
from typing import Final

from returns.result import Failure, Result, Success

from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.ids import IndexName, OwnerId
from lavendertide.overload.capacities import Capacities
from lavendertide.overload.capacity import (
    Feedback,
    HalfCovered,
    Inconclusive,
    Permit,
    Starved,
)
from lavendertide.queries.coverage import GapReason
from lavendertide.queries.query import SearchResponse

# A search that misses its deadline is lost, so a limit is set as soon as most searches
# queue for longer than their deadline allows.
ONSET_PRESSURE: Final = 1.0


class SearchCapacities:
    """The search capacity of each owner and index on this daemon.

    Memory is bounded by the owners and indexes in the configuration.
    """

    def __init__(self, generator: random.Random) -> None:
        self._capacities: Capacities[tuple[OwnerId, IndexName]] = Capacities(
            generator, ONSET_PRESSURE
        )

    def try_acquire(
        self, owner: OwnerId, index: IndexName, now_s: float
    ) -> Result[Permit, Refusal]:
        """Admits a search, or refuses it; every permit must be released."""
        permit = self._capacities.capacity_of((owner, index), now_s).try_acquire(now_s)
        return Failure(_over_capacity(index)) if permit is None else Success(permit)


def feedback_of(response: SearchResponse) -> Feedback:
    """Returns the load feedback that follows from a response.

    A search counts as starved if at least half of its shards were missed because of
    load.
    """
    if response.half_covered_s is not None:
        return HalfCovered(response.half_covered_s)
    starved = sum(map(_is_caused_by_load, (gap.reason for gap in response.gaps)))
    shards = len(response.covered) + len(response.gaps)
    return Starved() if 2 * starved >= shards else Inconclusive()


def _is_caused_by_load(reason: GapReason) -> bool:
    match reason:
        case GapReason.NO_ANSWER_IN_TIME | GapReason.REFUSED_BY_TARGETS:
            return True
        case _:
            return False


def _over_capacity(index: IndexName) -> Refusal:
    return Refusal(
        RefusalKind.OVER_CAPACITY,
        f"Index '{index}' receives more searches than it can answer in time.",
        "Retry a little later, with fewer searches at a time.",
        Fault.TARGET,
    )
