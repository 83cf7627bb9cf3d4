"""The level of an admission by priority: how much work of which classes it admits.

Load pattern: the mix of requests changes, so the work of a class and not its number of
requests says how far a level has to change. Each host applies it to its own arrivals.
"""

import random
from collections.abc import Sequence
from typing import Final

# Share of the arrivals of a route that is admitted at least.
FLOOR: Final = 0.1
# Growth of the admitted work per second while there is no queue, relative to itself. It
# is slow after a cut, as single requests are fast during an overload, too, and becomes
# faster by `GROWTH_GAIN` with each second since then.
GROWTH_GAIN: Final = 0.1
GROWTH_MAX: Final = 1.0
# Growth per second while several hosts see a delay. It isn't zero, so that a few hosts
# whose own links are slow can't keep others from recovering.
GROWTH_REPORTED: Final = 0.05
# Longest time for which one request raises the level.
GROWTH_MAX_S: Final = 1.5
# Share of a group's work from which the more urgent classes count as present. Routes
# without callers are tested by single requests now and then.
PRESENT_SHARE: Final = 0.1
# Retry delays in objectives: the smallest one, to which up to as much again is added.
URGENT_RETRY_OBJECTIVES: Final = 0.5
RETRY_OBJECTIVES: Final = 1.0


def scale_level(level: float, factor: float, work: Sequence[float]) -> float:
    """Returns the level at which the admitted work is multiplied by a factor.

    Args:
        level: The number of admitted classes; its fraction belongs to the next one.
        factor: At least zero.
        work: Offered work of each class, the most urgent first. A host that has had no
            requests takes the classes to be equal.
    """
    if not any(work):
        work = [1.0] * len(work)
    above = [(1.0 - FLOOR) * each for each in work]
    admitted = sum(
        each * max(0.0, min(1.0, level - rank)) for rank, each in enumerate(above)
    )
    rest = factor * (admitted + FLOOR * sum(work)) - FLOOR * sum(work)
    for rank, each in enumerate(above):
        if rest < each:
            return rank + (rest / each if rest > 0.0 else 0.0)
        rest -= each
    return float(len(above))


def has_more_urgent_work(rank: int, work: Sequence[float]) -> bool:
    """Returns whether classes before `rank` compete for the targets at present.

    Args:
        rank: Number of a class, zero for the most urgent one.
        work: Offered work of each class.
    """
    return sum(work[:rank]) >= PRESENT_SHARE * sum(work) > 0.0


def growth_factor(
    since_raise_s: float, since_cut_s: float, is_delay_reported: bool
) -> float:
    """Returns by how much of itself the admitted work grows with one fast request.

    Args:
        since_raise_s: Seconds since the level was raised or cut.
        since_cut_s: Seconds since it was cut.
        is_delay_reported: Whether several hosts still see a delay. The growth then
            stays slow, since a host sees few of the requests that are late.
    """
    growth = min(GROWTH_MAX, GROWTH_GAIN * since_cut_s)
    if is_delay_reported:
        growth = min(growth, GROWTH_REPORTED)
    return growth * min(GROWTH_MAX_S, since_raise_s)


def draw_retry_delay_s(
    objective_s: float, is_urgent: bool, generator: random.Random
) -> float:
    """Returns after how many seconds a refused caller may retry."""
    objectives = URGENT_RETRY_OBJECTIVES if is_urgent else RETRY_OBJECTIVES
    return objectives * (1.0 + generator.random()) * objective_s
