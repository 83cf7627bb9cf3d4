"""Tests of `lavendertide.forwarding.capacity`."""

import random
import unittest
from dataclasses import replace
from typing import Final

from prometheus_client import CollectorRegistry

from lavendertide.forwarding.capacity import RouteAdmission, RouteCapacities
from lavendertide.forwarding.messages import RefusalCause, Refused
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.ids import RouteName
from lavendertide.overload.capacity import (
    LIMIT_RELEASE_S,
    OWN_LOAD_MIN_SEARCHES,
    Feedback,
    HalfCovered,
    Inconclusive,
    Permit,
    Starved,
)
from lavendertide.overload.priority_admission import RELEASE_S, PriorityPermit
from lavendertide.routes.route import Route
from standins.forwarding_records import request, route, shards, table

OBJECTIVE_S: Final = 0.15
UNLOADED_S: Final = 0.02
CONCURRENT_REQUESTS: Final = 10 * OWN_LOAD_MIN_SEARCHES
SEARCH: Final = replace(route(), name=RouteName("search"), objective_s=OBJECTIVE_S)
LOOK_UP: Final = replace(SEARCH, name=RouteName("look-up"))


class RouteCapacitiesTest(unittest.TestCase):
    """Requests are refused for overload only if most would miss their objective."""

    def setUp(self) -> None:
        self.capacities = RouteCapacities(random.Random(1))
        self.now_s = 0.0
        self.request_count = 0
        self.serve(HalfCovered(UNLOADED_S), 1)

    def serve(self, feedback: Feedback, times: int) -> None:
        """Runs waves of concurrent requests that all end with the same feedback."""
        for _ in range(times):
            permits = [self.try_acquire(SEARCH) for _ in range(CONCURRENT_REQUESTS)]
            self.now_s += UNLOADED_S
            self.release(permits, feedback)

    def try_acquire(self, requested_route: Route) -> Permit | Refused:
        """Requests one permit for a route."""
        self.request_count += 1
        caller_request = request(self.now_s, self.now_s + 1.0, f"r{self.request_count}")
        return self.capacities.try_acquire(caller_request, requested_route, self.now_s)

    def release(self, results: list[Permit | Refused], feedback: Feedback) -> None:
        """Releases the permits of a wave."""
        for result in results:
            if isinstance(result, Permit):
                self.capacities.release(result, SEARCH, feedback, self.now_s)

    def refused(self, requested_route: Route) -> list[Refused]:
        """Returns the refusals of a wave of concurrent requests."""
        results = [
            self.try_acquire(requested_route) for _ in range(CONCURRENT_REQUESTS)
        ]
        self.release(results, Inconclusive())
        return [result for result in results if isinstance(result, Refused)]

    def test_delays_within_the_objective_cause_no_refusals(self) -> None:
        """A fault that delays half of the shards for a while must not set a limit."""
        self.serve(HalfCovered(0.9 * OBJECTIVE_S), 100)
        self.assertEqual(self.refused(SEARCH), [])

    def test_half_of_the_shards_after_the_objective_cause_refusals(self) -> None:
        """Without a limit, the targets would work on requests that are late anyway."""
        self.serve(HalfCovered(1.1 * OBJECTIVE_S), 100)
        self.assertGreater(len(self.refused(SEARCH)), CONCURRENT_REQUESTS / 2)

    def test_full_targets_cause_refusals(self) -> None:
        """Targets whose queues are full refuse sub-requests of most requests."""
        self.serve(Starved(), 100)
        self.assertGreater(len(self.refused(SEARCH)), CONCURRENT_REQUESTS / 2)

    def test_a_short_delay_causes_no_refusals(self) -> None:
        """All targets pausing at once for a moment is no overload."""
        self.serve(HalfCovered(2.0 * OBJECTIVE_S), 5)
        self.assertEqual(self.refused(SEARCH), [])

    def test_a_limit_is_lowered_until_queues_are_short(self) -> None:
        while not self.refused(SEARCH):
            self.serve(HalfCovered(1.1 * OBJECTIVE_S), 1)
        admitted_before = CONCURRENT_REQUESTS - len(self.refused(SEARCH))
        self.serve(HalfCovered(0.5 * OBJECTIVE_S), 20)
        self.assertLess(
            CONCURRENT_REQUESTS - len(self.refused(SEARCH)), admitted_before
        )

    def test_the_limit_ends_after_a_time_without_refusals(self) -> None:
        self.serve(Starved(), 100)
        self.now_s += 1.1 * LIMIT_RELEASE_S
        self.assertEqual(self.refused(SEARCH), [])

    def test_another_route_is_not_refused(self) -> None:
        self.serve(Starved(), 100)
        self.assertEqual(self.refused(LOOK_UP), [])

    def test_retry_times_are_spread_over_one_to_two_objectives(self) -> None:
        self.serve(Starved(), 100)
        pauses = set()
        for refused in self.refused(SEARCH):
            self.assertIs(refused.cause, RefusalCause.OVER_CAPACITY)
            assert refused.retry_after_s is not None
            pauses.add(refused.retry_after_s)
        self.assertGreaterEqual(min(pauses), OBJECTIVE_S)
        self.assertLessEqual(max(pauses), 2 * OBJECTIVE_S)
        self.assertGreater(len(pauses), 1)

    def test_limit_changes_and_each_refusal_are_logged(self) -> None:
        with self.assertLogs("lavendertide.forwarding.capacity") as logs:
            self.serve(Starved(), 100)
            self.now_s += 1.1 * LIMIT_RELEASE_S
            self.refused(SEARCH)
        messages = [record.getMessage() for record in logs.records]
        self.assertEqual(messages[0], "requests of a route are limited")
        self.assertEqual(messages[-1], "limit of a route ended")
        refusals = messages.count("request over the limit of its route")
        self.assertEqual(refusals, len(messages) - 2)

    def test_the_limit_of_a_removed_route_is_removed(self) -> None:
        self.serve(Starved(), 100)
        self.capacities.retain_only(frozenset({LOOK_UP.name}))
        self.assertEqual(self.refused(SEARCH), [])


class RouteAdmissionTest(unittest.TestCase):
    """Admission by priority serves only what a deployment enables it for."""

    def setUp(self) -> None:
        self.now_s = 0.0
        self.registry = CollectorRegistry()
        search = replace(SEARCH, destination=shards(10), priority=0)
        self.batch = replace(search, name=RouteName("batch"), priority=1)
        self.table = table(1, search, self.batch, LOOK_UP)

    def admission(self, is_enabled: bool) -> RouteAdmission:
        """Returns the admission of a host with the table in force."""
        metrics = ForwardingMetrics(self.registry)
        admission = RouteAdmission(random.Random(1), metrics, is_enabled)
        admission.apply_table(self.table, self.now_s)
        return admission

    def send(self, admission: RouteAdmission, sent_route: Route) -> Refused | None:
        """Sends a request that is starved; returns its refusal, if any."""
        self.now_s += 0.5
        permit = admission.try_acquire(request(), sent_route, self.now_s)
        if isinstance(permit, Refused):
            return permit
        self.now_s += OBJECTIVE_S + 1.0
        admission.release(permit, sent_route, Starved(), self.now_s)
        return None

    def test_other_deployments_and_other_routes_keep_their_limits(self) -> None:
        for is_enabled, tested in ((False, self.batch), (True, LOOK_UP)):
            with self.subTest(is_enabled=is_enabled):
                self.registry = CollectorRegistry()
                admission = self.admission(is_enabled)
                permit = admission.try_acquire(request(), tested, self.now_s)
                self.assertIsInstance(permit, Permit)
                self.assertEqual(admission.waiting_priority(tested), 0)

    def test_thinning_is_refused_logged_and_counted(self) -> None:
        admission = self.admission(True)
        self.assertEqual(admission.waiting_priority(self.batch), 1)
        with self.assertLogs("lavendertide.forwarding.capacity") as logs:
            results = [self.send(admission, self.batch) for _ in range(20)]
            self.now_s += RELEASE_S
            self.assertIsNone(self.send(admission, self.batch))
        refusals = [each for each in results if each is not None]
        for refused in refusals:
            self.assertIs(refused.cause, RefusalCause.OVER_CAPACITY)
        messages = [record.getMessage() for record in logs.records]
        self.assertEqual(
            messages, ["requests of a route are thinned", "thinning of a route ended"]
        )
        counted = self.registry.get_sample_value(
            "lavendertide_forwarded_priority_refusals_total", {"route": "batch"}
        )
        self.assertEqual(counted, len(refusals))

    def test_a_new_table_keeps_open_permits_and_what_was_learned(self) -> None:
        admission = self.admission(True)
        permit = admission.try_acquire(request(), self.batch, self.now_s)
        assert isinstance(permit, PriorityPermit)
        for _ in range(5):
            self.send(admission, self.batch)
        admission.apply_table(self.table, self.now_s)
        admission.release(permit, self.batch, Inconclusive(), self.now_s)
        results = [self.send(admission, self.batch) for _ in range(10)]
        self.assertGreater(sum(each is not None for each in results), 5)
