"""Tests of `lavendertide.overload.priority_admission`, without a network."""

import random
import unittest
from dataclasses import replace
from typing import Final

from lavendertide.ids import RouteName
from lavendertide.overload.admission_level import FLOOR
from lavendertide.overload.capacity import Feedback, HalfCovered, Inconclusive, Starved
from lavendertide.overload.priority_admission import (
    RELEASE_S,
    URGENT_DELAY_S,
    PriorityAdmission,
    PriorityPermit,
)
from lavendertide.overload.route_groups import find_priority_groups
from standins.forwarding_records import route, shards

OBJECTIVE_S: Final = 0.6
UNLOADED_S: Final = 0.05
URGENT: Final = RouteName("urgent")
USUAL: Final = RouteName("usual")
BATCH: Final = RouteName("batch")
SEARCH: Final = replace(route(shards(10)), objective_s=OBJECTIVE_S)
ROUTES: Final = tuple(
    replace(SEARCH, name=name, priority=priority)
    for priority, name in enumerate((URGENT, USUAL, BATCH))
)


class AdmissionTestCase(unittest.TestCase):
    """Sends one request at a time, as on a host with few requests."""

    def setUp(self) -> None:
        self.now_s = 0.0
        self.admission = PriorityAdmission(ROUTES, random.Random(1), self.now_s)
        for name in (URGENT, USUAL, BATCH):
            for _ in range(10):
                self.send(name, UNLOADED_S)

    def send(
        self, name: RouteName, took_s: float, feedback: Feedback | None = None
    ) -> bool:
        """Sends a request, unless it is refused; returns whether it was admitted."""
        self.now_s += 0.3
        permit = self.admission.try_acquire(name, self.now_s)
        if permit is None:
            return False
        self.now_s += took_s
        if feedback is None:
            permit.record_half_covered(took_s, self.now_s)
            feedback = HalfCovered(took_s)
        permit.release(feedback, self.now_s)
        return True

    def shares(self) -> tuple[float, ...]:
        """Returns the admitted shares, the most urgent route first."""
        names = (URGENT, USUAL, BATCH)
        return tuple(self.admission.admitted_share(n, self.now_s) for n in names)

    def overload(self, rounds: int, urgent_s: float = UNLOADED_S) -> None:
        """Plays requests of all routes whose less urgent ones are delayed."""
        for _ in range(rounds):
            self.send(URGENT, urgent_s)
            self.send(USUAL, OBJECTIVE_S)
            self.send(BATCH, OBJECTIVE_S)


class ThinningTest(AdmissionTestCase):
    """Less urgent routes are thinned first, and none is starved."""

    def test_one_request_at_a_time_suffices(self) -> None:
        """A limit on the number of requests would never refuse here."""
        self.send(BATCH, OBJECTIVE_S)
        self.assertLess(self.shares()[2], 1.0)

    def test_the_least_urgent_route_is_thinned_first(self) -> None:
        for took_s in (0.38, 0.4, 0.45, 0.5, 0.6):
            with self.subTest(took_s=took_s):
                self.setUp()
                self.send(BATCH, took_s)
                urgent, usual, batch = self.shares()
                self.assertEqual(urgent, 1.0)
                self.assertLess(batch, 1.0)
                self.assertTrue(usual == 1.0 or batch == FLOOR)

    def test_less_urgent_routes_reach_their_floor_before_the_most_urgent(self) -> None:
        """Their delay says nothing about the most urgent requests."""
        self.overload(40)
        urgent, usual, batch = self.shares()
        self.assertEqual(urgent, 1.0)
        self.assertLessEqual(usual, 1.0)
        self.assertAlmostEqual(batch, FLOOR)

    def test_the_most_urgent_route_is_not_thinned_by_the_first_cuts(self) -> None:
        """The other routes must have been at their floor for some time."""
        began_s = self.now_s
        while self.now_s < began_s + URGENT_DELAY_S:
            self.send(URGENT, OBJECTIVE_S)
            self.assertEqual(self.shares()[0], 1.0)

    def test_the_most_urgent_route_is_thinned_if_it_alone_is_too_much(self) -> None:
        for _ in range(40):
            self.send(URGENT, OBJECTIVE_S)
        for share in self.shares()[1:]:
            self.assertAlmostEqual(share, FLOOR)
        self.assertLess(self.shares()[0], 1.0)

    def test_one_slow_urgent_search_thins_no_urgent_requests(self) -> None:
        """With 40% of the targets slow, some searches are slow without a queue."""
        for _ in range(80):
            self.send(USUAL, OBJECTIVE_S)
            self.send(BATCH, OBJECTIVE_S)
        self.assertAlmostEqual(self.shares()[1], FLOOR)
        # Requests of the first second after a cut don't count.
        self.now_s += URGENT_DELAY_S
        self.send(URGENT, OBJECTIVE_S)
        self.assertEqual(self.shares()[0], 1.0)

    def test_one_in_ten_arrivals_is_admitted_at_least(self) -> None:
        self.overload(40)
        admitted = [self.send(BATCH, OBJECTIVE_S) for _ in range(200)]
        for start in range(len(admitted) - 9):
            self.assertTrue(any(admitted[start : start + 10]))

    def test_a_group_without_urgent_requests_is_thinned(self) -> None:
        """The class without any work must not be divided by."""
        self.admission = PriorityAdmission(ROUTES, random.Random(1), self.now_s)
        for _ in range(40):
            self.send(BATCH, 0.0, Starved())
        self.assertAlmostEqual(self.shares()[2], FLOOR)

    def test_first_requests_during_an_overload_are_not_the_time_without_load(
        self,
    ) -> None:
        """Otherwise a host with few requests would see no delay at all."""
        self.admission = PriorityAdmission(ROUTES, random.Random(1), self.now_s)
        self.send(BATCH, OBJECTIVE_S)
        self.assertLess(self.shares()[2], 1.0)

    def test_an_open_request_shows_the_delay_before_it_ends(self) -> None:
        self.assertIsNotNone(self.admission.try_acquire(BATCH, self.now_s))
        self.now_s += OBJECTIVE_S
        self.admission.try_acquire(URGENT, self.now_s)
        self.assertLess(self.shares()[2], 1.0)


class NoOverloadTest(AdmissionTestCase):
    """Nothing is refused without a lasting delay of most sub-requests."""

    def test_a_pause_of_all_targets(self) -> None:
        """Requests that arrive during 200 ms end together at the end of the pause."""
        for _ in range(20):
            open_permits: list[PriorityPermit] = []
            ends_s = self.now_s + 0.2 + UNLOADED_S
            for _ in range(10):
                permit = self.admission.try_acquire(BATCH, self.now_s)
                assert permit is not None
                open_permits.append(permit)
                self.now_s += 0.02
            for permit in open_permits:
                took_s = ends_s - permit.acquired_at_s
                permit.record_half_covered(took_s, ends_s)
                permit.release(HalfCovered(took_s), ends_s)
            self.now_s = ends_s + 1.0
            self.send(BATCH, UNLOADED_S)
        self.assertEqual(self.shares(), (1.0, 1.0, 1.0))

    def test_inconclusive_requests(self) -> None:
        for _ in range(40):
            self.send(BATCH, OBJECTIVE_S, Inconclusive())
        self.assertEqual(self.shares(), (1.0, 1.0, 1.0))

    def test_a_slow_target_of_a_route_with_single_requests(self) -> None:
        """One of its requests in five is slow, which overload would not explain."""
        look_up = replace(route(), name=BATCH, objective_s=OBJECTIVE_S, priority=1)
        routes = (ROUTES[0], look_up)
        self.admission = PriorityAdmission(routes, random.Random(1), self.now_s)
        for number in range(100):
            self.assertTrue(
                self.send(BATCH, OBJECTIVE_S if number % 5 == 0 else UNLOADED_S)
            )


class EndOfOverloadTest(AdmissionTestCase):
    """Thinning ends with the overload."""

    def setUp(self) -> None:
        super().setUp()
        self.overload(40)

    def test_fast_requests_raise_the_level(self) -> None:
        for _ in range(20):
            self.send(URGENT, UNLOADED_S)
            self.send(BATCH, UNLOADED_S)
        self.assertEqual(self.shares(), (1.0, 1.0, 1.0))

    def test_a_time_without_refusals_ends_it(self) -> None:
        self.assertEqual(self.admission.end_thinning(self.now_s), ())
        self.now_s += RELEASE_S
        self.assertTrue(self.send(BATCH, UNLOADED_S))
        self.assertEqual(self.shares(), (1.0, 1.0, 1.0))
        ended = {each.name for each in self.admission.end_thinning(self.now_s)}
        self.assertIn(BATCH, ended)
        self.assertEqual(self.admission.end_thinning(self.now_s), ())

    def test_a_new_route_table_keeps_the_level(self) -> None:
        """A change of the routes during an overload must not admit all again."""
        before = self.shares()
        self.admission.update_routes(ROUTES, self.now_s)
        self.assertEqual(self.shares(), before)

    def test_a_new_class_is_admitted_after_the_end_of_the_overload(self) -> None:
        """A level that was full must not count as one of fewer classes."""
        for _ in range(20):
            self.send(URGENT, UNLOADED_S)
            self.send(BATCH, UNLOADED_S)
        fourth = replace(SEARCH, name=RouteName("fourth"), priority=3)
        self.admission.update_routes((*ROUTES, fourth), self.now_s)
        share = self.admission.admitted_share(fourth.name, self.now_s)
        self.assertEqual(share, 1.0)


class RetryTest(AdmissionTestCase):
    """Callers return after their route's time, and not all together."""

    def test_urgent_callers_return_earlier(self) -> None:
        for name, least in ((URGENT, 0.5), (USUAL, 1.0), (BATCH, 1.0)):
            drawn = {self.admission.retry_after_s(name) for _ in range(100)}
            self.assertGreaterEqual(min(drawn), least * OBJECTIVE_S)
            self.assertLessEqual(max(drawn), 2 * least * OBJECTIVE_S)
            self.assertGreater(len(drawn), 90)


class RouteGroupsTest(unittest.TestCase):
    """Only routes that compete for targets and differ in priority form a group."""

    def names(self, *routes: object) -> list[set[str]]:
        """Returns the names of the routes of each group."""
        groups = find_priority_groups(routes)  # type: ignore[arg-type]
        return [{each.name for each in group} for group in groups]

    def test_a_chain_of_shared_services(self) -> None:
        first = replace(route(shards(2)), name=RouteName("a"), priority=0)
        second = replace(first, name=RouteName("b"), destination=shards(5))
        third = replace(route(shards(5)), name=RouteName("c"), priority=2)
        third = replace(
            third, destination=replace(shards(5), shards=shards(5).shards[4:])
        )
        self.assertEqual(self.names(first, third, second), [{"a", "b", "c"}])

    def test_routes_of_equal_priority_or_without_shared_services(self) -> None:
        search = replace(route(shards(2)), name=RouteName("a"), priority=0)
        equal = replace(search, name=RouteName("b"))
        separate = replace(route(), name=RouteName("c"), priority=3)
        self.assertEqual(self.names(search, equal, separate), [])


class ChangedRoutesTest(AdmissionTestCase):
    """Requests that were admitted under one set of routes end under another.

    Guards against look-ups of a class that is gone, by a request itself or by an
    arrival that checks the open ones, which left callers without a response.
    """

    def acquire(self, name: RouteName) -> PriorityPermit:
        """Admits a request that stays open."""
        permit = self.admission.try_acquire(name, self.now_s)
        assert permit is not None
        return permit

    def remove_batch(self) -> None:
        """Removes the least urgent route."""
        self.admission.update_routes(ROUTES[:2], self.now_s)

    def test_half_of_the_replies_arrive_after_the_change(self) -> None:
        permit = self.acquire(BATCH)
        self.remove_batch()
        permit.record_half_covered(UNLOADED_S, self.now_s + UNLOADED_S)
        permit.release(HalfCovered(UNLOADED_S), self.now_s + UNLOADED_S)

    def test_a_starved_request_ends_after_the_change(self) -> None:
        permit = self.acquire(BATCH)
        self.remove_batch()
        permit.release(Starved(), self.now_s + OBJECTIVE_S)

    def test_another_request_checks_the_open_ones_after_the_change(self) -> None:
        self.acquire(BATCH)
        self.remove_batch()
        self.now_s += OBJECTIVE_S
        self.assertIsNotNone(self.admission.try_acquire(URGENT, self.now_s))

    def test_the_most_urgent_class_is_removed(self) -> None:
        permit = self.acquire(URGENT)
        self.admission.update_routes(ROUTES[1:], self.now_s)
        permit.record_half_covered(OBJECTIVE_S, self.now_s + OBJECTIVE_S)
        permit.release(HalfCovered(OBJECTIVE_S), self.now_s + OBJECTIVE_S)

    def test_the_priority_of_the_route_changes(self) -> None:
        permit = self.acquire(USUAL)
        merged = replace(ROUTES[1], priority=ROUTES[2].priority)
        self.admission.update_routes((ROUTES[0], merged, ROUTES[2]), self.now_s)
        permit.record_half_covered(UNLOADED_S, self.now_s + UNLOADED_S)
        permit.release(HalfCovered(UNLOADED_S), self.now_s + UNLOADED_S)
