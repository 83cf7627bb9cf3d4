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

Each host decides by its own requests and by what peers report of theirs
(`lavendertide.overload.shared_overload`). All hosts see the queues of the same targets,
so while they disagree, the hosts that admit more see the delay more often and are the
ones that reduce their level. A host that has just started admits all until then.
"""

import itertools
import math
import random
from collections.abc import Iterable
from typing import Final

from lavendertide.ids import DaemonId, RouteName
from lavendertide.overload.admission_level import (
    FLOOR,
    draw_retry_delay_s,
    growth_factor,
    has_more_urgent_work,
    scale_level,
)
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
    DelayRounds,
    Observation,
    UrgentDelay,
    median_pressure,
)
from lavendertide.overload.priority_classes import PriorityClasses
from lavendertide.overload.priority_permit import PriorityPermit as PriorityPermit
from lavendertide.overload.route_state import RouteState, work_by_class
from lavendertide.overload.shared_overload import (
    HOSTS_MIN,
    PRESSURE_MAX,
    OverloadObservation,
    SharedOverload,
    group_number,
)
from lavendertide.routes.route import Route

# Pressure from which thinning begins. A higher one left a third of the hosts without
# thinning three seconds after the load had risen.
ONSET_PRESSURE: Final = 1.0
# Pressure to which the level is cut while requests are thinned, and below which it is
# raised. The last shards that a search needs queue for longer than the first half, so
# their share of the time has to stay free.
TARGET_PRESSURE: Final = 0.5
# Pressure of the most urgent requests from which they are thinned as well, and the time
# that they get to recover after all other routes have reached their floor.
URGENT_PRESSURE: Final = 2.0
URGENT_DELAY_S: Final = 1.0
# Smallest factor of one cut. A host may observe the overload only once in a second.
CUT_MIN: Final = 0.1
# Additional factor of a cut that peers' observations support. Each host applies only a
# few of them before the delay is over, and a host that isn't sure admits too much.
SHARED_CUT: Final = 0.3
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


class PriorityAdmission:
    """Admits the requests of one group of routes on this host."""

    def __init__(
        self, routes: Iterable[Route], generator: random.Random, now_s: float
    ) -> None:
        self._random = generator
        self._states: dict[RouteName, RouteState] = {}
        self._classes = PriorityClasses()
        self._level = math.inf
        self._own_rounds = DelayRounds(1, now_s)
        self._joint_rounds = DelayRounds(HOSTS_MIN, now_s)
        self._open: dict[PriorityPermit, None] = {}
        self._open_checked_at_s = self._raised_at_s = now_s
        self._refused_at_s = -math.inf
        # Requests that arrived before met the queue from before the last cut.
        self._counted_from_s = -math.inf
        self._cut_at_s = self._lowest_since_s = -math.inf
        self._shared = SharedOverload()
        self._urgent = UrgentDelay()
        self.update_routes(routes, now_s)

    @property
    def level(self) -> float:
        """How many classes of equal priority are admitted, the most urgent first.

        The fraction belongs to the class after them, the others are at their floor.
        """
        return self._level

    @property
    def _level_max(self) -> float:
        return float(len(self._classes))

    @property
    def number(self) -> int:
        """Number of the group in notices to peers."""
        return group_number(self._states)

    @property
    def shared(self) -> SharedOverload:
        """What this host shares of the group, and what peers have reported."""
        return self._shared

    @property
    def routes(self) -> frozenset[RouteName]:
        """The routes of the group."""
        return frozenset(self._states)

    def update_routes(self, routes: Iterable[Route], now_s: float) -> None:
        """Replaces the routes; those that were known keep what was learned."""
        former, self._states = self._states, {}
        for route in routes:
            state = former.get(route.name)
            if state is None:
                # Hosts that start together must not admit at the same arrivals.
                credit = self._random.random()
                state = RouteState(route, UnloadedTime(now_s), credit, work_at_s=now_s)
            state.route = route
            self._states[route.name] = state
        was_full = self._level >= self._level_max
        self._classes = PriorityClasses.of(s.route for s in self._states.values())
        self._level = self._level_max if was_full else min(self._level, self._level_max)

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
        permit = PriorityPermit(self, state, state.route, now_s)
        self._open[permit] = None
        return permit

    def retry_after_s(self, name: RouteName) -> float:
        """Returns after how many seconds the caller of a refused request may retry."""
        route = self._states[name].route
        is_urgent = self._classes.is_most_urgent(route.priority)
        return draw_retry_delay_s(route.objective_s, is_urgent, self._random)

    def admitted_share(self, name: RouteName, now_s: float) -> float:
        """Returns the share of a route's arrivals that is admitted at present."""
        rank = self._classes.rank_of(self._states[name].route.priority)
        return FLOOR + (1.0 - FLOOR) * max(0.0, min(1.0, self._level - rank))

    def allows_repeats(self, name: RouteName, now_s: float) -> bool:
        """Returns whether requests of a route may be hedged and retried now.

        Under overload these are left to more urgent routes that have requests. A
        service's budget of them is small, and each one lengthens the queues.
        """
        rank = self._classes.rank_of(self._states[name].route.priority)
        work = work_by_class(self._states.values(), self._classes, now_s)
        if not has_more_urgent_work(rank, work):
            return True
        is_full = self._level >= self._level_max
        return is_full and not self._shared.withholds_repeats(now_s)

    def in_flight(self, name: RouteName) -> int:
        """Returns the number of requests of a route that run at present."""
        return sum(permit.route.name == name for permit in self._open)

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
        match feedback:
            case HalfCovered(took_s):
                permit.state.record_half_covered(took_s, now_s)
        self._observe(permit, feedback, now_s)

    def record_from_peer(
        self, peer: DaemonId, item: OverloadObservation, now_s: float
    ) -> bool:
        """Records what a peer has observed; returns whether it counts."""
        observation = self._shared.accept(peer, item, now_s)
        self._join_peers(now_s)
        if observation is None or observation.arrived_at_s < self._counted_from_s:
            return False
        if counts := self._shared.is_corroborated(now_s):
            self._add(self._joint_rounds, observation, now_s)
        return counts

    def _join_peers(self, now_s: float) -> None:
        """Takes over the level of the peers if this host alone refuses nothing."""
        if self._level < self._level_max:
            return
        level = self._shared.find_joint_level(self._level_max, now_s)
        if level is not None:
            self._level = max(1.0, level)
            self._lowest_since_s = self._refused_at_s = self._cut_at_s = now_s

    def remove(self, permit: PriorityPermit, now_s: float) -> None:
        """Removes a request that has ended."""
        self._open.pop(permit, None)
        if not permit.is_half_covered or permit.acquired_at_s < self._counted_from_s:
            return
        objective_s = permit.route.objective_s
        took_s = now_s - permit.acquired_at_s
        if took_s < objective_s and permit.pressure < TARGET_PRESSURE:
            spare = min(1.0, (1.0 - took_s / objective_s) / SPARE_SHARE)
            self._raise_level(spare * (1.0 - permit.pressure / TARGET_PRESSURE), now_s)

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
        # The terms under which the request was admitted, also if others are in force.
        route, unloaded_s = permit.route, permit.state.unloaded_s
        pressure = compute_pressure(feedback, route.objective_s, unloaded_s)
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
            min(ROUND_MIN_SEARCHES, route.sub_requests),
            self._classes.is_most_urgent(route.priority),
        )
        self._shared.record_own(observation)
        self._add(self._own_rounds, observation, now_s)
        if self._shared.is_corroborated(now_s):
            self._add(self._joint_rounds, observation, now_s)

    def _add(self, rounds: DelayRounds, observation: Observation, now_s: float) -> None:
        if observation.is_urgent:
            self._urgent.add(observation)
        observations = rounds.add(observation, now_s)
        if observations:
            self._adjust_level(observations, rounds.duration, now_s)

    def _adjust_level(
        self, observations: list[Observation], duration: DelayDuration, now_s: float
    ) -> None:
        pressure = median_pressure(observations)
        is_onset = self._level >= self._level_max
        is_onset = is_onset and not self._shared.is_long_delay(now_s)
        onset_pressure = ONSET_PRESSURE if is_onset else TARGET_PRESSURE
        if pressure < onset_pressure:
            duration.end()
            return
        delayed = [each for each in observations if each.pressure >= onset_pressure]
        if duration.has_lasted(delayed):
            self._cut_level(pressure, observations, now_s)

    def _cut_level(
        self, pressure: float, counted: list[Observation], now_s: float
    ) -> None:
        """Admits less work, in proportion to the pressure."""
        lower = 1.0
        if self._level > 1.0:
            self._lowest_since_s = now_s
        from_s = self._lowest_since_s + URGENT_DELAY_S
        if self._urgent.median_pressure(from_s, now_s) >= URGENT_PRESSURE:
            lower = 0.0
        factor = max(CUT_MIN, TARGET_PRESSURE / pressure)
        if self._shared.is_corroborated(now_s):
            factor *= SHARED_CUT
        level = self._scaled_level(factor, now_s)
        self._level = min(self._level, max(lower, level))
        longest_s = max(each.queued_s for each in counted)
        self._counted_from_s = now_s + min(longest_s, DRAINING_MAX_S)
        self._cut_at_s = self._raised_at_s = self._refused_at_s = now_s

    def _scaled_level(self, factor: float, now_s: float) -> float:
        """Returns the level at which the admitted work is multiplied by a factor."""
        work = work_by_class(self._states.values(), self._classes, now_s)
        return scale_level(self._level, factor, work)

    def _raise_level(self, spare: float, now_s: float) -> None:
        """Raises the level after a request that was in good time.

        Args:
            spare: How much room there is, from 0 to 1.
            now_s: Present time, monotonic.
        """
        if self._level >= self._level_max:
            return
        growth = growth_factor(
            now_s - self._raised_at_s,
            now_s - self._cut_at_s,
            self._shared.is_corroborated(now_s),
        )
        self._raised_at_s = now_s
        level = self._scaled_level(1.0 + growth * spare, now_s)
        self._level = max(self._level, level)
