"""Tests of what an evacuation means for requests, by the real forwarder.

The load: requests that are being sent, wait in a pool, are hedged or are repeated while
the failure domain of their target is evacuated.
"""

from prometheus_client import CollectorRegistry

from lavendertide.evacuation.evacuated_domains import Evacuation
from lavendertide.evacuation.metrics import EvacuationMetrics
from lavendertide.forwarding.early_refusal import EVACUATED_RETRY_S
from lavendertide.forwarding.host_status import count_calls
from lavendertide.forwarding.messages import Passed, RefusalCause, Refused
from lavendertide.ids import TargetId
from lavendertide.runtime import clock, tasks
from standins.forwarding_records import (
    LOCAL_DOMAIN,
    OTHER_DOMAIN,
    at,
    route,
    shards,
    target,
)
from tests.forwarding.scripted_targets import (
    ScriptedForwarder,
    replies,
    replies_after,
)
from tests.virtual_time import VirtualTimeTestCase

NEAR, FAR = TargetId("near"), TargetId("far")
ORDER = Evacuation(LOCAL_DOMAIN, at(5), True)
END = Evacuation(LOCAL_DOMAIN, at(9), False)


class EvacuatedRequestsTest(VirtualTimeTestCase):
    """Guards against requests that reach a domain which the operator has evacuated."""

    def setUp(self) -> None:
        super().setUp()
        self.scripted = ScriptedForwarder(route(wait_max_s=3.0, objective_s=0.5))
        self.scripted.add(NEAR, "desk", replies())
        self.far = target(FAR, failure_domain=OTHER_DOMAIN)

    def add_far(self) -> None:
        """Registers a target in a domain that is not evacuated."""
        self.scripted.add(FAR, "desk", replies())
        self.scripted.registry.put(self.far)

    def apply(self, state: Evacuation) -> None:
        """Applies an order of the operator."""
        self.scripted.evacuated.apply((state,), clock.monotonic_s())

    def test_new_requests_use_the_other_domains(self) -> None:
        self.add_far()
        self.apply(ORDER)
        for number in range(8):
            self.scripted.forward(name=f"r{number}")
        self.assertEqual(set(self.scripted.called_targets), {FAR})

    def test_a_domain_that_is_taken_back_is_used_again(self) -> None:
        self.add_far()
        self.apply(ORDER)
        self.apply(END)
        for number in range(8):
            self.scripted.forward(name=f"r{number}")
        self.assertIn(NEAR, self.scripted.called_targets)

    def test_waiting_calls_are_sent_elsewhere(self) -> None:
        self.scripted.behaviours[NEAR] = replies_after(1.0)
        served: list[bool] = []

        def send(number: int) -> None:
            response = self.scripted.forward(name=f"r{number}", wait_s=3.0)
            served.append(isinstance(response, Passed))

        for number in range(8):
            tasks.spawn(send, number)
        tasks.sleep(0.2)
        sent = self.scripted.called_targets.count(NEAR)
        self.add_far()
        self.apply(ORDER)
        tasks.sleep(3.0)
        self.assertEqual(self.scripted.called_targets.count(NEAR), sent)
        self.assertEqual(served, [True] * 8)

    def test_gauges_follow_the_calls_that_an_evacuated_domain_still_runs(self) -> None:
        """Guards against an operator who stops a domain that still runs requests."""
        metrics = CollectorRegistry()
        EvacuationMetrics(
            metrics,
            self.scripted.evacuated,
            lambda domain: count_calls(
                self.scripted.registry, self.scripted.views, domain
            ),
        )

        def gauges() -> tuple[float | None, float | None]:
            return (
                metrics.get_sample_value("lavendertide_evacuated_domains"),
                metrics.get_sample_value("lavendertide_evacuated_calls_in_flight"),
            )

        self.scripted.behaviours[NEAR] = replies_after(0.3)
        tasks.spawn(self.scripted.forward, None, "r1", 3.0)
        tasks.sleep(0.1)
        self.assertEqual(gauges(), (0.0, 0.0))
        self.apply(ORDER)
        self.assertEqual(gauges(), (1.0, 1.0))
        tasks.sleep(0.3)
        self.assertEqual(gauges(), (1.0, 0.0))
        self.apply(END)
        self.assertEqual(gauges(), (0.0, 0.0))

    def test_a_late_call_is_hedged_elsewhere_only(self) -> None:
        self.scripted.add("near-2", "desk", replies())
        self.scripted.behaviours[NEAR] = replies_after(2.0)
        self.scripted.behaviours[TargetId("near-2")] = replies_after(2.0)

        def evacuate() -> None:
            tasks.sleep(0.05)
            self.apply(ORDER)

        tasks.spawn(evacuate)
        self.scripted.forward(wait_s=3.0)
        self.assertEqual(len(self.scripted.called_targets), 1)

    def test_a_leaving_target_is_no_last_resort_there(self) -> None:
        run = target(NEAR).run
        self.scripted.registry.record_leaving(run, clock.monotonic_s())
        self.apply(ORDER)
        self.assertIsInstance(self.scripted.forward(), Refused)
        self.assertEqual(self.scripted.called_targets, [])

    def test_a_service_with_no_other_target_is_refused_at_once(self) -> None:
        self.apply(ORDER)
        began_s = clock.monotonic_s()
        response = self.scripted.forward(wait_s=3.0)
        self.assertEqual(clock.monotonic_s(), began_s)
        assert isinstance(response, Refused)
        self.assertIs(response.cause, RefusalCause.EVACUATED)
        assert response.retry_after_s is not None
        self.assertGreaterEqual(response.retry_after_s, EVACUATED_RETRY_S)
        self.assertLessEqual(response.retry_after_s, 2 * EVACUATED_RETRY_S)


class EvacuatedShardsTest(VirtualTimeTestCase):
    """A search leaves out the shards of an evacuated domain if it may miss them."""

    def test_it_is_served_without_them(self) -> None:
        scripted = ScriptedForwarder(route(shards(4, 0.75)))
        for number in range(4):
            scripted.add(f"t{number}", f"shard-{number}", replies())
        for number in range(1, 4):
            scripted.registry.put(target(f"t{number}", f"shard-{number}", OTHER_DOMAIN))
        scripted.evacuated.apply((ORDER,), clock.monotonic_s())
        response = scripted.forward()
        self.assertNotIsInstance(response, Refused)
        self.assertNotIn("t0", scripted.called_targets)
