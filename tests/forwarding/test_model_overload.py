"""Simulates overload of routes with priorities with the real forwarding code."""

import functools
import logging
import unittest
from collections.abc import Sequence

from standins.model_overload import (
    LOOK_UP,
    REPORT,
    SIXFOLD_DAY,
    UNEVEN_DAY,
    URGENT,
    LoadPhase,
    OverloadResult,
    PrioritySize,
    simulate_overload,
)

SEEDS = (1, 2)
DAYS = {"uneven": UNEVEN_DAY, "sixfold": SIXFOLD_DAY}
# The required share of urgent requests within their objective under overload.
URGENT_SHARE = 0.9
# By this much, urgent requests may fare worse than less urgent ones.
FAIRNESS_SLACK = 0.05
# A route is starved if its share is less than a quarter of the most urgent one's.
STARVED_SHARE = 0.25
REFUSAL_MAX_S = 0.02


@functools.cache
def play(
    seed: int, phases: Sequence[LoadPhase], hosts: int = 62, by_priority: bool = True
) -> OverloadResult:
    """Simulates a day; the result is shared by several tests."""
    size = PrioritySize(hosts=hosts, admits_by_priority=by_priority)
    return simulate_overload(seed, phases, size)


def in_objective(result: OverloadResult, name: str) -> float:
    """Returns the share of a route's requests within the objective."""
    route = result.by_route[name]
    return route.share(route.in_objective)


class OverloadDayTest(unittest.TestCase):
    """Four to six times the load, 40% of the targets six times slower, 62 hosts.

    Guards against urgent requests that are late because of less urgent ones on hosts
    with one request in flight at a time.
    """

    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_urgent_requests_fare_better_than_with_limits_by_route(self) -> None:
        for day, gain in (("uneven", 0.05), ("sixfold", 0.15)):
            for seed in SEEDS:
                with self.subTest(day=day, seed=seed):
                    present = play(seed, DAYS[day], by_priority=False)
                    result = play(seed, DAYS[day])
                    least = in_objective(present, URGENT) + gain
                    self.assertGreaterEqual(in_objective(result, URGENT), least)
                    self.assertGreater(result.worst_window, present.worst_window)

    def test_no_route_is_starved_and_the_most_urgent_one_is_not_behind(self) -> None:
        for day in DAYS:
            for seed in SEEDS:
                with self.subTest(day=day, seed=seed):
                    result = play(seed, DAYS[day])
                    urgent = in_objective(result, URGENT)
                    for name in (LOOK_UP, REPORT):
                        share = in_objective(result, name)
                        self.assertGreaterEqual(share, STARVED_SHARE * urgent)
                        self.assertGreaterEqual(urgent, share - FAIRNESS_SLACK)

    def test_refusals_are_immediate_and_true(self) -> None:
        for day in DAYS:
            for seed in SEEDS:
                with self.subTest(day=day, seed=seed):
                    result = play(seed, DAYS[day])
                    self.assertGreater(result.over_capacity, 0)
                    self.assertLessEqual(result.slowest_refusal_s, REFUSAL_MAX_S)
                    self.assertEqual(result.ran_although_refused, 0)

    def test_urgent_requests_of_few_hosts_are_in_time(self) -> None:
        """Four hosts have many requests in flight each."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                result = play(seed, UNEVEN_DAY, hosts=4)
                self.assertGreaterEqual(in_objective(result, URGENT), URGENT_SHARE)

    def test_urgent_requests_of_many_hosts_are_in_time(self) -> None:
        """The requirement for hosts with one request in flight at a time."""
        for day in DAYS:
            for seed in SEEDS:
                with self.subTest(day=day, seed=seed):
                    result = play(seed, DAYS[day])
                    self.assertGreaterEqual(in_objective(result, URGENT), URGENT_SHARE)


class NoOverloadDayTest(unittest.TestCase):
    """Nothing is refused for pauses, for a few slow targets, or at twice the load."""

    def test_pauses_of_all_targets_at_the_same_time(self) -> None:
        for hosts in (4, 62):
            for seed in (1, 2, 3):
                with self.subTest(hosts=hosts, seed=seed):
                    size = PrioritySize(hosts=hosts, pauses_together=True)
                    self.assertEqual(simulate_overload(seed, (), size).over_capacity, 0)

    def test_a_fifth_of_the_targets_is_slow(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                result = play(seed, (LoadPhase(6.0, 14.0, slow_share=0.2),))
                self.assertEqual(result.over_capacity, 0)

    def test_twice_the_load(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                result = play(seed, (LoadPhase(6.0, 14.0, factor=2.0),))
                self.assertEqual(result.over_capacity, 0)

    def test_a_host_that_is_slow_itself(self) -> None:
        """Its notices must not make the other hosts refuse requests."""
        for hosts in (4, 62):
            for seed in SEEDS:
                with self.subTest(hosts=hosts, seed=seed):
                    size = PrioritySize(hosts=hosts, slow_hosts=1)
                    refused = simulate_overload(seed, (), size).over_capacity_by_host
                    self.assertEqual(sum(refused.values()) - refused[0], 0)
