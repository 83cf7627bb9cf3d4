"""Admits requests of routes that compete for the same targets, by their priority.

Load pattern: four to six times the usual load while 40% of the targets are six times
slower, spread over hosts of which some see only one request in flight at a time. There
a limit on the number of requests in flight has no effect, so the queueing delay itself
sets the share of the arrivals that is admitted.

The signal is that of `lavendertide.overload.capacity`: the time until half of a
request's sub-requests are covered, compared to that time without load. One level for
the group says how many classes of equal priority are admitted. The least urgent routes
are thinned first, down to a floor, then the next ones. A class and not a share of the
work is the unit, so that a change in the mix of requests never thins the urgent ones.

Each host decides by its own requests and sends no message. All hosts see the queues of
the same targets, so while they disagree, the hosts that admit more see the delay more
often and are the ones that reduce their level. A host that has just started admits all.
"""

import itertools
import math
import random
import statistics
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from lavendertide.ids import RouteName
from lavendertide.overload.capacity import (
    CONGESTION_MIN_S,
    ROUND_MIN_S,
    ROUND_MIN_SEARCHES,
    Feedback,
    HalfCovered,
    UnloadedTime,
    compute_pressure,
)
from lavendertide.routes.route import Route

# Share of the arrivals of a route that is admitted at least.
FLOOR: Final = 0.1
# Pressure from which thinning begins. A higher one left a third of the hosts without
# thinning three seconds after the load had risen.
ONSET_PRESSURE: Final = 1.0
# Pressure to which the level is cut while requests are thinned, and below which it is
# raised. The last shards that a search needs queue for longer than the first half, so
# their share of the time has to stay free.
TARGET_PRESSURE: Final = 0.5
# Highest pressure that counts: half of the shards took the whole objective.
PRESSURE_MAX: Final = 4.0
# Pressure of the most urgent requests from which they are thinned as well, and the time
# that they get to recover after all other routes have reached their floor.
URGENT_PRESSURE: Final = 2.0
URGENT_DELAY_S: Final = 1.0
# Smallest factor of one cut. A host may observe the overload only once in a second.
CUT_MIN: Final = 0.1
# Requests of a route from which the time without load is known. Before, it counts as a
# share of the objective at most, since a host with few requests may see its first ones
# during the overload.
LEARNING_REQUESTS: Final = 8
UNLOADED_SHARE_MAX: Final = 0.25
# Growth of the admitted work per second while there is no queue, relative to itself. It
# is slow after a cut, as single requests are fast during an overload, too, and becomes
# faster by `GROWTH_GAIN` with each second since then.
GROWTH_GAIN: Final = 0.1
GROWTH_MAX: Final = 1.0
# Longest time for which one request raises the level.
GROWTH_MAX_S: Final = 1.5
# Only requests that end within the objective raise the level; it grows at the full rate
# if half of the objective is left.
SPARE_SHARE: Final = 0.5
# Two delayed requests further apart than this don't show that the delay has lasted.
CONGESTION_GAP_S: Final = 2.0
# Queueing delay by which a single request shows that it has lasted for
# `CONGESTION_MIN_S`. The delay is measured from the shortest time, and most requests
# take longer; with 0.25 s, pauses of 0.2 s caused refusals.
QUEUED_MIN_S: Final = 0.32
# Longest time after a cut for which requests are taken to meet the queue before it.
DRAINING_MAX_S: Final = 1.0
# Half-life of the offered work by route; several requests of a host with few of them.
DEMAND_HALF_LIFE_S: Final = 5.0
# Time without refusals after which the level is reset and the thinning of a route has
# ended. It is longer than the pauses between arrivals of a host with few of them.
RELEASE_S: Final = 10.0
# Interval between checks of the open requests, and the number of requests checked. They
# bound the cost on a host with many requests.
OPEN_CHECK_INTERVAL_S: Final = 0.05
OPEN_CHECK_MAX: Final = 16
# Retry delays in objectives: the smallest one, to which up to as much again is added.
URGENT_RETRY_OBJECTIVES: Final = 0.5
RETRY_OBJECTIVES: Final = 1.0


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
    """

    arrived_at_s: float
    due_at_s: float
    observed_at_s: float
    queued_s: float
    pressure: float
    weight: int
    is_urgent: bool


@dataclass(slots=True)
class RouteState:
    """The arrivals of one route on this host.

    Attributes:
        unloaded: The time that half of the sub-requests take without load.
        observed: Number of requests in that estimate, up to `LEARNING_REQUESTS`.
        credit: Fraction of the next admission that refused arrivals have earned.
        work: Offered work with older arrivals counted less, as of `work_at_s`.
        refused_at_s: When a request was last refused.
        is_thinned: Whether requests have been refused within `RELEASE_S`.
    """

    route: Route
    unloaded: UnloadedTime
    credit: float
    observed: int = 0
    work: float = 0.0
    work_at_s: float = 0.0
    refused_at_s: float = -math.inf
    is_thinned: bool = False

    @property
    def sub_requests(self) -> int:
        """Number of sub-requests of one request."""
        return self.route.sub_requests

    @property
    def unloaded_s(self) -> float:
        """Seconds that half of the sub-requests take without load."""
        shortest_s = self.unloaded.shortest_s
        if self.observed < LEARNING_REQUESTS:
            return min(shortest_s, UNLOADED_SHARE_MAX * self.route.objective_s)
        return shortest_s

    def record_half_covered(self, took_s: float, now_s: float) -> None:
        """Adds the time of one request to the estimate without load."""
        self.unloaded.record(took_s, now_s)
        self.observed = min(LEARNING_REQUESTS, self.observed + 1)

    def record_arrival(self, now_s: float) -> None:
        """Adds the work of one request, in seconds of usual target time."""
        work = self.sub_requests * min(self.unloaded_s, self.route.objective_s)
        self.work = self.current_work(now_s) + work
        self.work_at_s = now_s

    def current_work(self, now_s: float) -> float:
        """Returns the offered work, which decays."""
        decay: float = 0.5 ** ((now_s - self.work_at_s) / DEMAND_HALF_LIFE_S)
        return self.work * decay


@dataclass(eq=False, slots=True)
class PriorityPermit:
    """Permission to run one request; it must be released when the request ends."""

    admission: "PriorityAdmission"
    state: RouteState
    acquired_at_s: float
    is_observed: bool = False
    is_half_covered: bool = False
    pressure: float = 0.0

    def record_half_covered(self, took_s: float, now_s: float) -> None:
        """Records that half of the sub-requests have been answered."""
        self.is_half_covered = True
        self.admission.record(self, HalfCovered(took_s), now_s)

    def release(self, feedback: Feedback, now_s: float) -> None:
        """Ends the request; its feedback counts unless half was covered before."""
        if not self.is_half_covered:
            self.admission.record(self, feedback, now_s)
        self.admission.remove(self, now_s)


@dataclass(slots=True)
class _Round:
    """The observations on which one adjustment is based."""

    began_at_s: float
    observations: list[Observation] = field(default_factory=list)

    def add(self, observation: Observation) -> None:
        """Adds an observation; those of another time no longer count."""
        oldest_s = observation.observed_at_s - CONGESTION_GAP_S
        while self.observations and self.observations[0].observed_at_s < oldest_s:
            self.observations.pop(0)
        self.observations.append(observation)

    def is_complete(self, now_s: float) -> bool:
        """Returns whether there are enough sub-requests and the round lasted."""
        weight = sum(each.weight for each in self.observations)
        return weight >= ROUND_MIN_SEARCHES and now_s - self.began_at_s >= ROUND_MIN_S


class PriorityAdmission:
    """Admits the requests of one group of routes on this host."""

    def __init__(
        self, routes: Iterable[Route], generator: random.Random, now_s: float
    ) -> None:
        self._random = generator
        self._states: dict[RouteName, RouteState] = {}
        self._level = math.inf
        self._round = _Round(now_s)
        self._open: dict[PriorityPermit, None] = {}
        self._open_checked_at_s = now_s
        self._raised_at_s = now_s
        self._refused_at_s = -math.inf
        # Requests that arrived before met the queue from before the last cut.
        self._counted_from_s = -math.inf
        self._cut_at_s = self._lowest_since_s = -math.inf
        self._congested_since_s = math.inf
        self._congested_until_s = -math.inf
        self.update_routes(routes, now_s)

    @property
    def level(self) -> float:
        """How many classes of equal priority are admitted, the most urgent first.

        The fraction belongs to the class after them, the others are at their floor.
        """
        return self._level

    @property
    def _level_max(self) -> float:
        return float(len(self._ranks))

    @property
    def routes(self) -> frozenset[RouteName]:
        """The routes of the group."""
        return frozenset(self._states)

    def update_routes(self, routes: Iterable[Route], now_s: float) -> None:
        """Replaces the routes; those that were known keep what was learned."""
        former = self._states
        self._states = {}
        for route in routes:
            state = former.get(route.name)
            if state is None:
                # Hosts that start together must not admit at the same arrivals.
                credit = self._random.random()
                state = RouteState(route, UnloadedTime(now_s), credit, work_at_s=now_s)
            state.route = route
            self._states[route.name] = state
        priorities = {state.route.priority for state in self._states.values()}
        self._ranks = {priority: i for i, priority in enumerate(sorted(priorities))}
        self._level = min(self._level, self._level_max)

    def try_acquire(self, name: RouteName, now_s: float) -> PriorityPermit | None:
        """Returns a permit for a request; none if it is refused.

        Of ten arrivals in a row of one route at least one is admitted.
        """
        state = self._states[name]
        state.record_arrival(now_s)
        self._check_open_requests(now_s)
        if now_s - self._refused_at_s >= RELEASE_S:
            self._level = self._level_max
        share = self.admitted_share(name, now_s)
        state.credit += share
        # The floor must hold although sums of fractions are rounded.
        if share < 1.0 and state.credit < 1.0 - 1e-9:
            state.refused_at_s = self._refused_at_s = now_s
            state.is_thinned = True
            return None
        state.credit = max(0.0, min(1.0, state.credit - 1.0))
        permit = PriorityPermit(self, state, now_s)
        self._open[permit] = None
        return permit

    def retry_after_s(self, name: RouteName) -> float:
        """Returns after how many seconds the caller of a refused request may retry."""
        route = self._states[name].route
        is_urgent = self._ranks[route.priority] == 0
        objectives = URGENT_RETRY_OBJECTIVES if is_urgent else RETRY_OBJECTIVES
        return objectives * (1.0 + self._random.random()) * route.objective_s

    def admitted_share(self, name: RouteName, now_s: float) -> float:
        """Returns the share of a route's arrivals that is admitted at present."""
        rank = self._ranks[self._states[name].route.priority]
        return FLOOR + (1.0 - FLOOR) * max(0.0, min(1.0, self._level - rank))

    def in_flight(self, name: RouteName) -> int:
        """Returns the number of requests of a route that run at present."""
        return sum(permit.state.route.name == name for permit in self._open)

    def end_thinning(self, now_s: float) -> tuple[Route, ...]:
        """Returns the routes whose thinning has ended since the last call."""
        ended = [
            state
            for state in self._states.values()
            if state.is_thinned and now_s - state.refused_at_s >= RELEASE_S
        ]
        for state in ended:
            state.is_thinned = False
        return tuple(state.route for state in ended)

    def is_thinned(self, name: RouteName) -> bool:
        """Returns whether requests of a route are being refused."""
        return self._states[name].is_thinned

    def record(self, permit: PriorityPermit, feedback: Feedback, now_s: float) -> None:
        """Records what a request shows about the load, and adjusts the level."""
        state = permit.state
        match feedback:
            case HalfCovered(took_s):
                state.record_half_covered(took_s, now_s)
        self._observe(permit, feedback, now_s)

    def remove(self, permit: PriorityPermit, now_s: float) -> None:
        """Removes a request that has ended."""
        self._open.pop(permit, None)
        if permit.is_half_covered:
            self._raise_level(permit, now_s)

    def _check_open_requests(self, now_s: float) -> None:
        """Counts the delay of requests that still wait for half of their replies.

        With few requests, waiting for their end would delay the reaction.
        """
        if now_s - self._open_checked_at_s < OPEN_CHECK_INTERVAL_S:
            return
        self._open_checked_at_s = now_s
        for permit in list(itertools.islice(self._open, OPEN_CHECK_MAX)):
            if permit.is_half_covered or permit.is_observed:
                continue
            waited_s = now_s - permit.acquired_at_s
            if waited_s - permit.state.unloaded_s >= QUEUED_MIN_S:
                permit.is_observed = True
                self._observe(permit, HalfCovered(waited_s), now_s)

    def _observe(
        self, permit: PriorityPermit, feedback: Feedback, now_s: float
    ) -> None:
        state = permit.state
        unloaded_s, budget_s = state.unloaded_s, state.route.objective_s
        pressure = compute_pressure(feedback, budget_s, unloaded_s)
        # Requests from before the last cut don't show its effect, neither way.
        if pressure is None or permit.acquired_at_s < self._counted_from_s:
            return
        permit.pressure = pressure = min(PRESSURE_MAX, max(0.0, pressure))
        observation = Observation(
            permit.acquired_at_s,
            permit.acquired_at_s + unloaded_s,
            now_s,
            max(0.0, now_s - permit.acquired_at_s - unloaded_s),
            pressure,
            min(ROUND_MIN_SEARCHES, state.sub_requests),
            self._ranks[state.route.priority] == 0,
        )
        self._round.add(observation)
        if self._round.is_complete(now_s):
            self._adjust_level(now_s)

    def _adjust_level(self, now_s: float) -> None:
        observations = self._round.observations
        self._round = _Round(now_s)
        pressure = _median_pressure(observations)
        onset_pressure = (
            ONSET_PRESSURE if self._level >= self._level_max else TARGET_PRESSURE
        )
        if pressure < onset_pressure:
            self._congested_since_s = math.inf
            return
        delayed = [each for each in observations if each.pressure >= onset_pressure]
        if self._has_lasted(delayed):
            self._cut_level(pressure, observations, now_s)

    def _has_lasted(self, delayed: list[Observation]) -> bool:
        """Returns whether the delay is longer than a pause of all targets.

        The requests that run or arrive during a pause are delayed until its end. So the
        delay has lasted from when the first one was due to the arrival of the last one,
        or for as long as half of them have queued. The longest of many requests queues
        for longer than the pause.
        """
        first_s = min(each.due_at_s for each in delayed)
        last_s = max(each.arrived_at_s for each in delayed)
        if first_s - self._congested_until_s > CONGESTION_GAP_S:
            self._congested_since_s = first_s
        self._congested_since_s = min(self._congested_since_s, first_s)
        self._congested_until_s = max(self._congested_until_s, last_s)
        queued_s = statistics.median_low(each.queued_s for each in delayed)
        lasted_s = last_s - self._congested_since_s
        return lasted_s >= CONGESTION_MIN_S or queued_s >= QUEUED_MIN_S

    def _cut_level(
        self, pressure: float, counted: list[Observation], now_s: float
    ) -> None:
        """Admits less work, in proportion to the pressure."""
        lower = 1.0
        if self._level > 1.0:
            self._lowest_since_s = now_s
        urgent = [each for each in counted if each.is_urgent]
        if (
            now_s - self._lowest_since_s >= URGENT_DELAY_S
            and urgent
            and _median_pressure(urgent) >= URGENT_PRESSURE
        ):
            lower = 0.0
        level = self._scaled_level(max(CUT_MIN, TARGET_PRESSURE / pressure), now_s)
        self._level = min(self._level, max(lower, level))
        longest_s = max(each.queued_s for each in counted)
        self._counted_from_s = now_s + min(longest_s, DRAINING_MAX_S)
        self._cut_at_s = self._raised_at_s = self._refused_at_s = now_s

    def _scaled_level(self, factor: float, now_s: float) -> float:
        """Returns the level at which the admitted work is multiplied by a factor."""
        work = [0.0] * len(self._ranks)
        for state in self._states.values():
            work[self._ranks[state.route.priority]] += state.current_work(now_s)
        above = [(1.0 - FLOOR) * each for each in work]
        admitted = sum(
            each * max(0.0, min(1.0, self._level - rank))
            for rank, each in enumerate(above)
        )
        rest = factor * (admitted + FLOOR * sum(work)) - FLOOR * sum(work)
        for rank, each in enumerate(above):
            if rest < each:
                return rank + (rest / each if rest > 0.0 else 0.0)
            rest -= each
        return float(len(above))

    def _raise_level(self, permit: PriorityPermit, now_s: float) -> None:
        """Raises the level if a request has ended in good time."""
        if (
            self._level >= self._level_max
            or permit.acquired_at_s < self._counted_from_s
        ):
            return
        objective_s = permit.state.route.objective_s
        took_s = now_s - permit.acquired_at_s
        spare = min(1.0, (1.0 - took_s / objective_s) / SPARE_SHARE)
        spare *= 1.0 - permit.pressure / TARGET_PRESSURE
        if took_s >= objective_s or permit.pressure >= TARGET_PRESSURE:
            return
        elapsed_s = min(GROWTH_MAX_S, now_s - self._raised_at_s)
        self._raised_at_s = now_s
        growth = min(GROWTH_MAX, GROWTH_GAIN * (now_s - self._cut_at_s))
        level = self._scaled_level(1.0 + growth * spare * elapsed_s, now_s)
        self._level = max(self._level, level)


def _median_pressure(observations: list[Observation]) -> float:
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
