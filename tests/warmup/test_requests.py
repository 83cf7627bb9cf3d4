"""Tests of what cold targets mean for requests, by the real forwarder.

The load: more requests than the cold targets of a service may get.
"""

from lavendertide.forwarding.messages import (
    NotRun,
    NotRunReason,
    Passed,
    RefusalCause,
    Refused,
    TargetNotice,
    TargetReply,
)
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.ids import ServiceName, TargetId
from lavendertide.routes.route import Service, SplitServices, WeightedService
from lavendertide.runtime import clock, tasks
from lavendertide.warmup.cold_targets import ColdTargets
from standins.forwarding_records import DESK, reply, route, shards, target
from tests.forwarding.scripted_targets import (
    ScriptedForwarder,
    replies,
    replies_after,
)
from tests.virtual_time import VirtualTimeTestCase

COLD, WARM = TargetId("cold"), TargetId("warm")
OTHER = ServiceName("other")
PART = 3


class ColdRequestsTest(VirtualTimeTestCase):
    """Guards against cold targets that get more than their allowance, on any path."""

    def setUp(self) -> None:
        super().setUp()
        self.cold = ColdTargets(
            lambda name: Service(name, 24, 6.0, 10.0), lambda *_: PART
        )
        self.scripted = ScriptedForwarder(
            route(wait_max_s=3.0, objective_s=0.5), cold=self.cold
        )
        self.scripted.add(COLD, DESK, replies())
        self.cold.record_notice(target(COLD).run, 60.0, clock.monotonic_s())

    def send(self, count: int) -> list[object]:
        """Returns the responses to requests that arrive at the same time."""
        responses: list[object] = []

        def send(number: int) -> None:
            responses.append(self.scripted.forward(name=f"r{number}", wait_s=3.0))

        for number in range(count):
            tasks.spawn(send, number)
        tasks.sleep(0.9)
        return responses

    def test_what_exceeds_the_allowance_is_refused_at_once(self) -> None:
        for number in range(PART):
            self.assertIsInstance(self.scripted.forward(name=f"r{number}"), Passed)
        began_s = clock.monotonic_s()
        response = self.scripted.forward(wait_s=3.0)
        self.assertEqual(clock.monotonic_s(), began_s)
        assert isinstance(response, Refused)
        self.assertIs(response.cause, RefusalCause.TARGETS_COLD)
        assert response.retry_after_s is not None
        tasks.sleep(response.retry_after_s)
        self.assertIsInstance(self.scripted.forward(), Passed)

    def test_calls_that_wait_for_a_connection_are_counted_when_they_are_sent(
        self,
    ) -> None:
        self.scripted.behaviours[COLD] = replies_after(0.05)
        responses = self.send(12)
        self.assertEqual(self.scripted.called_targets, [COLD] * PART)
        causes = [r.cause for r in responses if isinstance(r, Refused)]
        self.assertEqual(causes, [RefusalCause.TARGETS_COLD] * (12 - PART))

    def test_waiting_calls_are_sent_to_a_warm_target(self) -> None:
        self.scripted.behaviours[COLD] = replies_after(0.05)
        self.scripted.add(WARM, DESK, replies_after(0.05))
        responses = self.send(24)
        self.assertTrue(all(isinstance(each, Passed) for each in responses))
        self.assertLessEqual(self.scripted.called_targets.count(COLD), PART)

    def test_hedges_and_retries_keep_to_it(self) -> None:
        self.scripted.behaviours[COLD] = lambda call: NotRun(
            call.record.target, NotRunReason.REFUSED
        )
        self.scripted.add(WARM, DESK, replies_after(2.0))
        self.send(8)
        self.assertLessEqual(self.scripted.called_targets.count(COLD), PART)

    def test_a_service_of_a_split_is_refused_with_the_same_cause(self) -> None:
        """The other service of the split has a target, and gets no requests."""
        parts = (WeightedService(DESK, 1.0), WeightedService(OTHER, 0.0))
        scripted = ScriptedForwarder(route(SplitServices(parts)), cold=self.cold)
        scripted.add(COLD, DESK, replies())
        scripted.add(WARM, OTHER, replies())
        responses = [scripted.forward(name=f"r{number}") for number in range(PART + 1)]
        self.assertEqual(scripted.called_targets, [COLD] * PART)
        assert isinstance(responses[-1], Refused)
        self.assertIs(responses[-1].cause, RefusalCause.TARGETS_COLD)

    def test_a_reply_that_says_so_makes_its_target_cold(self) -> None:
        def behave(call: TargetCall) -> TargetReply:
            notice = TargetNotice(cold_s=2.0)
            return reply(call.record.target, notice=notice)

        self.scripted.add(WARM, DESK, behave)
        self.assertFalse(self.cold.is_cold(target(WARM), clock.monotonic_s()))
        self.scripted.forward()
        self.assertTrue(self.cold.is_cold(target(WARM), clock.monotonic_s()))


class ColdShardsTest(VirtualTimeTestCase):
    """A search is refused only if more shards are held back than it may miss."""

    def search(self, cold_count: int) -> object:
        """Returns the response to a search of four shards that may miss one."""
        cold = ColdTargets(lambda name: Service(name, 24, 6.0, 10.0), lambda *_: 0)
        scripted = ScriptedForwarder(route(shards(4, 0.75)), cold=cold)
        for number in range(4):
            scripted.add(f"t{number}", f"shard-{number}", replies())
            if number < cold_count:
                run = target(f"t{number}").run
                cold.record_notice(run, 60.0, clock.monotonic_s())
        return scripted.forward()

    def test_it_is_served_without_one(self) -> None:
        self.assertNotIsInstance(self.search(1), Refused)
        refused = self.search(2)
        assert isinstance(refused, Refused)
        self.assertIs(refused.cause, RefusalCause.TARGETS_COLD)
