"""Refuses searches of an owner above what an index's targets can answer in time.

Each daemon bounds how many searches of an owner run over an index at a time, so that an
owner's excess is refused and the neighbours' searches are not. How the bound is found
is told in `lavendertide.overload.capacity`.
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

# The budget of a search is its deadline: what is over it is lost, so a limit is due as
# soon as most searches queue for longer than they may.
ONSET_PRESSURE: Final = 1.0


class SearchCapacities:
    """The capacities of all owners and indexes, as this daemon sees them.

    Memory is bounded by the owners and indexes that the configuration names.
    """

    def __init__(self, generator: random.Random) -> None:
        self._capacities: Capacities[tuple[OwnerId, IndexName]] = Capacities(
            generator, ONSET_PRESSURE
        )

    def try_acquire(
        self, owner: OwnerId, index: IndexName, now_s: float
    ) -> Result[Permit, Refusal]:
        """Lets a search in, or says why not; every permit has to be given back."""
        permit = self._capacities.capacity_of((owner, index), now_s).try_acquire(now_s)
        return Failure(_over_capacity(index)) if permit is None else Success(permit)


def feedback_of(answer: SearchResponse) -> Feedback:
    """Returns what an answer says about the load."""
    if answer.half_covered_s is not None:
        return HalfCovered(answer.half_covered_s)
    starved = sum(map(_is_of_load, (gap.reason for gap in answer.gaps)))
    shards = len(answer.covered) + len(answer.gaps)
    return Starved() if 2 * starved >= shards else Inconclusive()


def _is_of_load(reason: GapReason) -> bool:
    match reason:
        case GapReason.NO_ANSWER_IN_TIME | GapReason.REFUSED_BY_TARGETS:
            return True
        case _:
            return False


def _over_capacity(index: IndexName) -> Refusal:
    return Refusal(
        RefusalKind.OVER_CAPACITY,
        f"Index '{index}' gets more searches than it can answer in time.",
        "Send again a little later, and fewer at a time.",
        Fault.TARGET,
    )
