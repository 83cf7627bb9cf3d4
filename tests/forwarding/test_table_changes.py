"""Tests of requests that begin under one route table and end under another."""

from dataclasses import replace
from typing import Final

from lavendertide.forwarding.messages import Gathered, Passed, Response
from lavendertide.ids import RouteName
from lavendertide.routes.route import Route
from lavendertide.runtime import clock, tasks
from standins.forwarding_records import route, shards, table
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
