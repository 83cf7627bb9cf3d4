"""Admits requests of routes that compete for the same targets, by their priority.

Load pattern: four to six times the usual load while 40% of the targets are six times
slower, spread over hosts of which some see only one request in flight at a time. There
a limit on the number of requests in flight has no effect, so the queueing delay itself
sets the share of the arrivals that is admitted.

The signal is that of `lavendertide.overload.capacity`: the time until half of a
request's sub-requests are covered, compared to that time without load. One level for
the group is the share of the offered work that is admitted. The least urgent routes are
thinned first, down to a floor, then the next ones.

Each host decides by its own requests and sends no message. All hosts see the queues of
the same targets, so while they disagree, the hosts that admit more see the delay more
often and are the ones that reduce their level. A host that has just started admits all.
"""

import math
import random
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
# Pressure from which thinning begins. Faults of single targets delay half of the shards
# of some requests by more than the allowed queueing time.
ONSET_PRESSURE: Final = 2.0
# Pressure of the most urgent requests from which they are thinned as well. Half of
# their shards then take half of their time, so the last ones arrive too late.
URGENT_PRESSURE: Final = 2.0
# Smallest factor of one cut: one request alone may cause it.
CUT_MIN: Final = 0.25
# Growth of the level per second while there is no queue, relative to the level.
GROWTH_PER_S: Final = 0.3
# Longest time for which one observation raises the level. A host with few requests
# observes the targets only once in a few seconds.
GROWTH_MAX_S: Final = 3.0
# Two delayed requests further apart than this don't show that the delay has lasted.
CONGESTION_GAP_S: Final = 1.0
# Age from which an observation says nothing about the present.
OBSERVATION_MAX_AGE_S: Final = 3.0
# Half-life of the offered work by route; several requests of a host with few of them.
DEMAND_HALF_LIFE_S: Final = 5.0
# Time without refusals after which the level is reset and the thinning of a route has
# ended. It has to be longer than the pauses between arrivals of a host with few.
RELEASE_S: Final = 10.0
# Interval between checks of the open requests, and the number of requests checked.
# They bound the cost on a host with many requests.
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
        queued_s: Queueing delay until half of its sub-requests were covered.
        pressure: That delay divided by the allowed one.
        weight: Number of its sub-requests. A slow target delays a request with a single
            one as overload does.
        is_urgent: Whether its route is one of the most urgent of the group.
    """

    arrived_at_s: float
    queued_s: float
    pressure: float
    weight: int
    is_urgent: bool


@dataclass(slots=True)
class RouteState:
    """The arrivals of one route on this host.

    Attributes:
        unloaded: The time that half of the sub-requests take without load.
        credit: Fraction of the next admission that refused arrivals have earned.
        work: Offered work with older arrivals counted less, as of `work_at_s`.
        refused_at_s: When a request was last refused.
        is_thinned: Whether requests have been refused within `RELEASE_S`.
    """

    route: Route
    unloaded: UnloadedTime
    credit: float
    work: float = 0.0
    work_at_s: float = 0.0
    refused_at_s: float = -math.inf
    is_thinned: bool = False

    @property
    def sub_requests(self) -> int:
        """Number of sub-requests of one request."""
        return self.route.sub_requests

    def record_arrival(self, now_s: float) -> None:
        """Adds the work of one request, in seconds of usual target time."""
        unloaded_s = self.unloaded.shortest_s
        usual_s = unloaded_s if math.isfinite(unloaded_s) else self.route.objective_s
        self.work = self.current_work(now_s) + self.sub_requests * usual_s
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

    def record_half_covered(self, took_s: float, now_s: float) -> None:
        """Records that half of the sub-requests have been answered."""
        self.is_half_covered = True
        self.admission.record(self, HalfCovered(took_s), now_s)

    def release(self, feedback: Feedback, now_s: float) -> None:
        """Ends the request; its feedback counts unless half was covered before."""
        if not self.is_half_covered:
            self.admission.record(self, feedback, now_s)
        self.admission.remove(self)


@dataclass(slots=True)
class _Round:
    """The observations on which one adjustment is based."""

    began_at_s: float
    observations: list[Observation] = field(default_factory=list)

    def is_complete(self, now_s: float) -> bool:
        weight = sum(each.weight for each in self.observations)
        return weight >= ROUND_MIN_SEARCHES and now_s - self.began_at_s >= ROUND_MIN_S


class PriorityAdmission:
    """Admits the requests of one group of routes on this host."""

    def __init__(
        self, routes: Iterable[Route], generator: random.Random, now_s: float
    ) -> None:
        self._random = generator
        self._states: dict[RouteName, RouteState] = {}
        self._level = 1.0
        self._round = _Round(now_s)
        self._open: dict[PriorityPermit, None] = {}
        self._open_checked_at_s = now_s
        self._raised_at_s = now_s
        self._refused_at_s = -math.inf
        # Requests that arrived before met the queue from before the last cut.
        self._counted_from_s = -math.inf
        self._congested_since_s = math.inf
        self._congested_until_s = -math.inf
        self.update_routes(routes, now_s)

    @property
    def level(self) -> float:
        """The admitted share of the offered work, up to one."""
        return self._level

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
                state = RouteState(route, UnloadedTime(now_s), credit, 0.0, now_s)
            state.route = route
            self._states[route.name] = state
        self._most_urgent = min(s.route.priority for s in self._states.values())

    def try_acquire(self, name: RouteName, now_s: float) -> PriorityPermit | None:
        """Returns a permit for a request; none if it is refused.

        Of ten arrivals in a row of one route at least one is admitted.
        """
        state = self._states[name]
        state.record_arrival(now_s)
        self._check_open_requests(now_s)
        if now_s - self._refused_at_s >= RELEASE_S:
            self._level = 1.0
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
        is_urgent = route.priority == self._most_urgent
        objectives = URGENT_RETRY_OBJECTIVES if is_urgent else RETRY_OBJECTIVES
        return objectives * (1.0 + self._random.random()) * route.objective_s

    def admitted_share(self, name: RouteName, now_s: float) -> float:
        """Returns the share of a route's arrivals that is admitted at present."""
        if self._level >= 1.0:
            return 1.0
        work = self._work_by_priority(now_s)
        rest = (self._level - FLOOR) * sum(work.values())
        for priority in sorted(work):
            above_floor = (1.0 - FLOOR) * work[priority]
            if priority == self._states[name].route.priority:
                if above_floor <= 0.0:
                    return 1.0
                extra = max(0.0, min(1.0, rest / above_floor))
                return FLOOR + (1.0 - FLOOR) * extra
            rest -= above_floor
        raise KeyError(name)

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
                state.unloaded.record(took_s, now_s)
            case _:
                took_s = now_s - permit.acquired_at_s
        unloaded_s = state.unloaded.shortest_s
        pressure = compute_pressure(feedback, state.route.objective_s, unloaded_s)
        if pressure is None:
            return
        # Requests from before the last cut don't show its effect, neither way.
        if permit.acquired_at_s < self._counted_from_s:
            return
        queued_s = took_s - unloaded_s if math.isfinite(unloaded_s) else 0.0
        observations = self._round.observations
        while observations and now_s - observations[0].arrived_at_s > (
            OBSERVATION_MAX_AGE_S
        ):
            observations.pop(0)
        observations.append(
            Observation(
                permit.acquired_at_s,
                queued_s,
                pressure,
                state.sub_requests,
                state.route.priority == self._most_urgent,
            )
        )
        if self._round.is_complete(now_s):
            self._adjust_level(now_s)

    def remove(self, permit: PriorityPermit) -> None:
        """Removes a request that has ended."""
        self._open.pop(permit, None)

    def _check_open_requests(self, now_s: float) -> None:
        """Counts the delay of requests that still wait for half of their replies.

        With few requests, waiting for their end would delay the reaction.
        """
        if now_s - self._open_checked_at_s < OPEN_CHECK_INTERVAL_S:
            return
        self._open_checked_at_s = now_s
        for permit in list(self._open)[:OPEN_CHECK_MAX]:
            if permit.is_half_covered or permit.is_observed:
                continue
            waited = HalfCovered(now_s - permit.acquired_at_s)
            unloaded_s = permit.state.unloaded.shortest_s
            if math.isinf(unloaded_s):
                continue
            budget_s = permit.state.route.objective_s
            pressure = compute_pressure(waited, budget_s, unloaded_s)
            if pressure is not None and pressure >= ONSET_PRESSURE:
                permit.is_observed = True
                self.record(permit, waited, now_s)

    def _work_by_priority(self, now_s: float) -> dict[int, float]:
        work: dict[int, float] = {}
        for state in self._states.values():
            priority = state.route.priority
            work[priority] = work.get(priority, 0.0) + state.current_work(now_s)
        return work

    def _adjust_level(self, now_s: float) -> None:
        observations = self._round.observations
        pressure = _median_pressure(observations)
        onset_pressure = ONSET_PRESSURE if self._level >= 1.0 else 1.0
        if pressure <= 1.0:
            self._congested_since_s = math.inf
            self._raise_level(pressure, now_s)
        elif pressure < onset_pressure:
            self._congested_since_s = math.inf
        elif self._has_lasted(
            [each for each in observations if each.pressure >= onset_pressure]
        ):
            self._cut_level(pressure, now_s)
        self._round = _Round(now_s)

    def _has_lasted(self, delayed: list[Observation]) -> bool:
        """Returns whether the delay is longer than a pause of all targets.

        The requests that arrive during a pause are delayed until its end, so the delay
        has lasted from the arrival of the first to the arrival of the last one, or for
        as long as a single request has queued.
        """
        first_s = min(each.arrived_at_s for each in delayed)
        last_s = max(each.arrived_at_s for each in delayed)
        if first_s - self._congested_until_s > CONGESTION_GAP_S:
            self._congested_since_s = first_s
        self._congested_since_s = min(self._congested_since_s, first_s)
        self._congested_until_s = max(self._congested_until_s, last_s)
        longest_s = max(each.queued_s for each in delayed)
        lasted_s = max(last_s - self._congested_since_s, longest_s)
        return lasted_s >= CONGESTION_MIN_S

    def _cut_level(self, pressure: float, now_s: float) -> None:
        observations = self._round.observations
        urgent = [each for each in observations if each.is_urgent]
        is_urgent_late = bool(urgent) and _median_pressure(urgent) >= URGENT_PRESSURE
        work = self._work_by_priority(now_s)
        total = sum(work.values())
        lower = FLOOR
        if not is_urgent_late:
            urgent_work = work[self._most_urgent]
            lower += (1.0 - FLOOR) * urgent_work / total if total > 0.0 else 0.0
            # An adjustment for less urgent requests doesn't raise the level.
            lower = min(lower, self._level)
        level = self._level * max(CUT_MIN, 1.0 / pressure)
        self._level = max(lower, level)
        self._refused_at_s = max(self._refused_at_s, now_s)
        longest_s = max(each.queued_s for each in observations)
        self._counted_from_s = now_s + min(longest_s, CONGESTION_GAP_S)
        self._raised_at_s = now_s

    def _raise_level(self, pressure: float, now_s: float) -> None:
        elapsed_s = min(GROWTH_MAX_S, now_s - self._raised_at_s)
        self._raised_at_s = now_s
        growth = GROWTH_PER_S * (1.0 - max(0.0, pressure)) * elapsed_s
        self._level = min(1.0, self._level * (1.0 + growth))


def _median_pressure(observations: list[Observation]) -> float:
    """Returns the median by weight, the lower one of two."""
    ordered = sorted(observations, key=lambda each: each.pressure)
    half = sum(each.weight for each in ordered) / 2
    reached = 0.0
    for each in ordered:
        reached += each.weight
        if reached >= half:
            return each.pressure
    raise ValueError("no observations")
