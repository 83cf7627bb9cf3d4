"""Decides from what single requests show whether the queues of the targets are long.

Load pattern: a few targets are slow, or all of them pause for up to 200 ms; neither is
an overload. A delay counts if most sub-requests of a round have it and if it lasts. The
observations may come from several hosts: while these disagree, the median decides.
"""

import math
import statistics
from collections import deque
from dataclasses import dataclass, field
from typing import Final

from lavendertide.ids import DaemonId
from lavendertide.overload.capacity import (
    CONGESTION_MIN_S,
    ROUND_MIN_S,
    ROUND_MIN_SEARCHES,
)

# Two delayed requests further apart than this don't show that the delay has lasted.
CONGESTION_GAP_S: Final = 2.0
# Queueing delay by which a single request shows that it has lasted for
# `CONGESTION_MIN_S`. The delay is measured from the shortest time, and most requests
# take longer; with 0.25 s, pauses of 0.2 s caused refusals.
QUEUED_MIN_S: Final = 0.32
# Urgent searches, and the time within which they are counted, whose median must show
# that pressure.
URGENT_SEARCHES_MIN: Final = 3
URGENT_MEMORY_S: Final = 10.0
# Observations of urgent requests that are kept; the newest ones decide.
URGENT_OBSERVATIONS_MAX: Final = 64


@dataclass(frozen=True, slots=True)
class Observation:
    """What one request shows about the queues.

    Attributes:
        arrived_at_s: When the request was admitted, monotonic.
        due_at_s: When half of its sub-requests would have been covered without load.
        observed_at_s: When its delay was known.
        queued_s: Queueing delay until half of its sub-requests were covered.
        pressure: That delay divided by the allowed one.
        weight: Number of its sub-requests. A slow target delays a request with a single
            one as overload does.
        is_urgent: Whether its route is one of the most urgent of the group.
        peer: The host that has reported it; none for a request of this host.
    """

    arrived_at_s: float
    due_at_s: float
    observed_at_s: float
    queued_s: float
    pressure: float
    weight: float
    is_urgent: bool
    peer: DaemonId | None = None


@dataclass(slots=True)
class Round:
    """The observations on which one adjustment is based.

    Attributes:
        began_at_s: Start of the round.
        hosts_min: Hosts of which there must be an observation.
        observations: The observations, in the order of their arrival.
    """

    began_at_s: float
    hosts_min: int = 1
    observations: list[Observation] = field(default_factory=list)

    def add(self, observation: Observation) -> None:
        """Adds an observation; those of another time no longer count.

        Each peer has at most the weight of one search.
        """
        oldest_s = observation.observed_at_s - CONGESTION_GAP_S
        while self.observations and self.observations[0].observed_at_s < oldest_s:
            self.observations.pop(0)
        if observation.peer is not None:
            same = (o.weight for o in self.observations if o.peer == observation.peer)
            if sum(same) >= ROUND_MIN_SEARCHES:
                return
        self.observations.append(observation)

    def is_complete(self, now_s: float) -> bool:
        """Returns whether there are enough sub-requests and the round lasted."""
        weight = sum(each.weight for each in self.observations)
        hosts = len({each.peer for each in self.observations})
        is_long = now_s - self.began_at_s >= ROUND_MIN_S
        return weight >= ROUND_MIN_SEARCHES and hosts >= self.hosts_min and is_long


class UrgentDelay:
    """The recent observations of the most urgent requests."""

    def __init__(self) -> None:
        self._observations: deque[Observation] = deque(maxlen=URGENT_OBSERVATIONS_MAX)

    def add(self, observation: Observation) -> None:
        """Adds an observation of one of the most urgent requests."""
        self._observations.append(observation)

    def median_pressure(self, from_s: float, now_s: float) -> float:
        """Returns the median of the requests since a time; zero if they are too few.

        One search decides nothing: some are slow whenever many targets are.
        """
        from_s = max(from_s, now_s - URGENT_MEMORY_S)
        recent = [each for each in self._observations if each.arrived_at_s >= from_s]
        weight = sum(each.weight for each in recent)
        if weight < URGENT_SEARCHES_MIN * ROUND_MIN_SEARCHES:
            return 0.0
        return median_pressure(recent)


class DelayDuration:
    """Measures for how long the rounds have shown a delay."""

    def __init__(self) -> None:
        self._since_s = math.inf
        self._until_s = -math.inf

    def end(self) -> None:
        """Records a round without a delay."""
        self._since_s = math.inf

    def has_lasted(self, delayed: list[Observation]) -> bool:
        """Returns whether the delay is longer than a pause of all targets.

        The requests that run or arrive during a pause are delayed until its end. So the
        delay has lasted from when the first one was due to the arrival of the last one,
        or for as long as half of them have queued. The longest of many requests queues
        for longer than the pause.
        """
        first_s = min(each.due_at_s for each in delayed)
        last_s = max(each.arrived_at_s for each in delayed)
        if first_s - self._until_s > CONGESTION_GAP_S:
            self._since_s = first_s
        self._since_s = min(self._since_s, first_s)
        self._until_s = max(self._until_s, last_s)
        queued_s = statistics.median_low(each.queued_s for each in delayed)
        lasted_s = last_s - self._since_s
        return lasted_s >= CONGESTION_MIN_S or queued_s >= QUEUED_MIN_S


class DelayRounds:
    """The consecutive rounds of one set of hosts.

    Args:
        hosts_min: Hosts whose observations a round needs.
        now_s: Present time, monotonic.
    """

    def __init__(self, hosts_min: int, now_s: float) -> None:
        self.duration = DelayDuration()
        self._round = Round(now_s, hosts_min)

    def add(self, observation: Observation, now_s: float) -> list[Observation]:
        """Adds an observation; returns those of the round if it is complete now."""
        self._round.add(observation)
        if not self._round.is_complete(now_s):
            return []
        complete = self._round
        self._round = Round(now_s, complete.hosts_min)
        return complete.observations


def median_pressure(observations: list[Observation]) -> float:
    """Returns the median by weight, the lower one of two.

    The mean would take one request in five at a slow target for a queue.
    """
    ordered = sorted(observations, key=lambda each: each.pressure)
    rest = sum(each.weight for each in ordered) / 2
    for each in ordered:
        rest -= each.weight
        if rest <= 0.0:
            return each.pressure
    raise ValueError("no observations")
