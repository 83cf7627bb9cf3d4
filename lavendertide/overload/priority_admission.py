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
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from lavendertide.ids import RouteName
from lavendertide.overload.capacity import (
    ROUND_MIN_SEARCHES,
    Feedback,
    HalfCovered,
    UnloadedTime,
    compute_pressure,
)
from lavendertide.overload.delay_observations import (
    QUEUED_MIN_S,
    DelayDuration,
    Observation,
    Round,
    median_pressure,
)
from lavendertide.overload.route_state import RouteState
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
# Longest time after a cut for which requests are taken to meet the queue before it.
DRAINING_MAX_S: Final = 1.0
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


class PriorityAdmission:
    """Admits the requests of one group of routes on this host."""

    def __init__(
        self, routes: Iterable[Route], generator: random.Random, now_s: float
    ) -> None:
        self._random = generator
        self._states: dict[RouteName, RouteState] = {}
        self._level = math.inf
        self._round = Round(now_s)
        self._open: dict[PriorityPermit, None] = {}
        self._open_checked_at_s = now_s
        self._raised_at_s = now_s
        self._refused_at_s = -math.inf
        # Requests that arrived before met the queue from before the last cut.
        self._counted_from_s = -math.inf
        self._cut_at_s = self._lowest_since_s = -math.inf
        self._delay = DelayDuration()
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
        self._round = Round(now_s)
        pressure = median_pressure(observations)
        onset_pressure = (
            ONSET_PRESSURE if self._level >= self._level_max else TARGET_PRESSURE
        )
        if pressure < onset_pressure:
            self._delay.end()
            return
        delayed = [each for each in observations if each.pressure >= onset_pressure]
        if self._delay.has_lasted(delayed):
            self._cut_level(pressure, observations, now_s)

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
            and median_pressure(urgent) >= URGENT_PRESSURE
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
