"""Tests of requests that begin under one route table and end under another."""

import random
import unittest
from dataclasses import replace
from enum import Enum
from typing import Final

from hypothesis import given, settings, strategies
from prometheus_client import CollectorRegistry

from lavendertide.forwarding.capacity import RouteAdmission
from lavendertide.forwarding.messages import Gathered, Passed, Refused, Response
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.ids import RouteName
from lavendertide.overload.capacity import Feedback, HalfCovered, Inconclusive, Starved
from lavendertide.overload.priority_admission import PriorityPermit
from lavendertide.routes.route import Route
from lavendertide.runtime import clock, tasks
from standins.forwarding_records import request, route, shards, table
from tests.forwarding.scripted_targets import ScriptedForwarder, replies_after
from tests.virtual_time import VirtualTimeTestCase

# Runs at the targets for longer than the change takes.
RUN_S: Final = 0.1
CHANGE_AFTER_S: Final = 0.05
SHARDS: Final = 4


def change_table(scripted: ScriptedForwarder, *routes: Route) -> None:
    """Puts a table in force while a request runs."""
    tasks.sleep(CHANGE_AFTER_S)
    scripted.active_routes.adopt(table(2, *routes), "test", clock.monotonic_s())


class RemovedClassTest(VirtualTimeTestCase):
    """A request whose class of priority is gone still gets its response.

    Guards against the admission by priority that looked the class up in the new table
    and ended the connection of the caller with the exception.
    """

    def forward(self, least_urgent: Route, *remaining: Route) -> Response:
        """Forwards a request whose table is replaced before the targets reply.

        Args:
            least_urgent: The route of the request.
            remaining: The routes of the new table.
        """
        urgent = replace(least_urgent, name=RouteName("urgent"), priority=0)
        usual = replace(least_urgent, name=RouteName("usual"), priority=1)
        scripted = ScriptedForwarder(least_urgent, more_urgent=(urgent, usual))
        for service in least_urgent.services:
            scripted.add(f"t-{service}", service, replies_after(RUN_S))
        tasks.spawn(change_table, scripted, urgent, usual, *remaining)
        return scripted.forward(wait_s=1.0)

    def test_the_route_is_removed(self) -> None:
        response = self.forward(replace(route(objective_s=0.5), priority=2))
        self.assertIsInstance(response, Passed)

    def test_the_route_of_a_search_is_removed(self) -> None:
        search = replace(route(shards(SHARDS), objective_s=0.5), priority=2)
        response = self.forward(search)
        assert isinstance(response, Gathered)
        self.assertEqual(response.missing, 0)

    def test_the_route_moves_to_a_service_of_its_own(self) -> None:
        look_up = replace(route(objective_s=0.5), priority=2)
        moved = replace(look_up, destination=shards(1))
        self.assertIsInstance(self.forward(look_up, moved), Passed)

    def test_the_route_becomes_as_urgent_as_another(self) -> None:
        look_up = replace(route(objective_s=0.5), priority=2)
        self.assertIsInstance(
            self.forward(look_up, replace(look_up, priority=1)), Passed
        )


class Step(Enum):
    """What happens next in a drawn history."""

    TABLE = "table"
    ARRIVAL = "arrival"
    HALF_COVERED = "half covered"
    END = "end"


class DrawnHistoriesTest(unittest.TestCase):
    """Any order of tables, arrivals and ends of requests raises nothing.

    Each table draws the routes, their priorities, objectives and services anew, so that
    groups appear, merge, divide and vanish under open requests.
    """

    @given(
        strategies.lists(strategies.sampled_from(Step), min_size=20, max_size=120),
        strategies.integers(0, 2**32),
    )
    @settings(max_examples=300, derandomize=True, deadline=None)
    def test_requests_end_under_any_table(self, steps: list[Step], seed: int) -> None:
        generator = random.Random(seed)
        metrics = ForwardingMetrics(CollectorRegistry())
        admission = RouteAdmission(generator, metrics, True)
        routes = self.draw_routes(generator)
        admission.apply_table(table(1, *routes), 0.0)
        running: list[tuple[Route, PriorityPermit]] = []
        now_s = 0.0
        for number, step in enumerate(steps, 2):
            now_s += generator.expovariate(5.0)
            match step:
                case Step.TABLE:
                    routes = self.draw_routes(generator)
                    admission.apply_table(table(number, *routes), now_s)
                case Step.ARRIVAL if routes:
                    called = generator.choice(routes)
                    permit = admission.try_acquire(request(now_s), called, now_s)
                    if isinstance(permit, PriorityPermit):
                        running.append((called, permit))
                    if not isinstance(permit, Refused):
                        admission.allows_repeats(called, now_s)
                case Step.HALF_COVERED if running:
                    permit = generator.choice(running)[1]
                    if not permit.is_half_covered:
                        took_s = now_s - permit.acquired_at_s
                        permit.record_half_covered(took_s, now_s)
                case Step.END if running:
                    ended, permit = running.pop(generator.randrange(len(running)))
                    feedback: Feedback = generator.choice(
                        (
                            HalfCovered(now_s - permit.acquired_at_s),
                            Starved(),
                            Inconclusive(),
                        )
                    )
                    admission.release(permit, ended, feedback, now_s)
            for limit in admission.limits(now_s):
                self.assertTrue(0.0 < limit.admitted_share <= 1.0)

    def draw_routes(self, generator: random.Random) -> tuple[Route, ...]:
        """Returns routes of few names that share few services."""
        drawn = []
        for name in generator.sample("abcde", generator.randint(0, 5)):
            drawn.append(
                replace(
                    route(shards(generator.randint(1, 4))),
                    name=RouteName(name),
                    priority=generator.randint(0, 3),
                    objective_s=generator.choice((0.05, 0.2, 1.0)),
                )
            )
        return tuple(drawn)
