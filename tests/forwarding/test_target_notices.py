"""Tests of what forwarding does with notices of leaving and of full targets.

The loads: a wave of leaving targets while the platform is away, and a service whose
targets are full one after the other.
"""

from lavendertide.forwarding.messages import (
    Gathered,
    NotRun,
    NotRunReason,
    Passed,
    RefusalCause,
    Refused,
    Response,
    TargetNotice,
    TargetReply,
)
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.forwarding.target_choice import FULL_RETRY_S, RETRY_SPREAD_SHARE
from lavendertide.ids import TargetId
from lavendertide.routes.route import RequestKind
from lavendertide.runtime import clock, tasks
from standins.forwarding_records import reply, route, shards, target
from tests.forwarding.scripted_targets import (
    Behaviour,
    ScriptedForwarder,
    replies,
    replies_after,
)
from tests.virtual_time import VirtualTimeTestCase

LAST_RESORT_S = 1.5
LEAVING = TargetNotice(is_leaving=True)


def replies_and_leaves(call: TargetCall) -> TargetReply:
    """Behaves like a target that serves a request and says that it is leaving."""
    name = call.record.target
    return reply(name, signature=name, notice=LEAVING)


def turns_away_for(pause_s: float) -> Behaviour:
    """Returns the behaviour of a full target that says how long to stay away."""
    notice = TargetNotice(pause_s=pause_s)
    return lambda call: NotRun(call.record.target, NotRunReason.REFUSED, notice)


class LeavingWaveTest(VirtualTimeTestCase):
    """Targets leave in a wave while their entries still say that they are ready."""

    def setUp(self) -> None:
        super().setUp()
        self.scripted = ScriptedForwarder(
            route(wait_max_s=0.4, objective_s=0.1), last_resort_s=LAST_RESORT_S
        )
        for number in range(6):
            behaviour = replies_and_leaves if number < 4 else replies()
            self.scripted.add(f"t{number}", "desk", behaviour)

    def test_each_leaving_target_gets_one_request_at_most(self) -> None:
        for _ in range(60):
            self.assertIsInstance(self.scripted.forward(), Passed)
        calls = self.scripted.called_targets
        for number in range(4):
            with self.subTest(number=number):
                self.assertLessEqual(calls.count(TargetId(f"t{number}")), 1)
        called = {t for t in calls if t in ("t0", "t1", "t2", "t3")}
        self.assertEqual({run.target for run in self.scripted.leaving}, called)

    def test_a_refusal_that_says_so_counts_as_well(self) -> None:
        leaves = NotRun(TargetId("t0"), NotRunReason.REFUSED, LEAVING)
        self.scripted.behaviours[TargetId("t0")] = lambda _: leaves
        for _ in range(60):
            self.assertIsInstance(self.scripted.forward(), Passed)
        self.assertLessEqual(self.scripted.called_targets.count(TargetId("t0")), 1)

    def test_a_new_run_of_the_target_is_used_again(self) -> None:
        for _ in range(60):
            self.scripted.forward()
        self.scripted.behaviours[TargetId("t0")] = replies()
        self.scripted.registry.put(target("t0", "desk", started_at_ms=2))
        for _ in range(60):
            self.scripted.forward()
        self.assertGreater(self.scripted.called_targets.count(TargetId("t0")), 5)

    def test_the_last_ones_serve_until_shortly_before_they_have_to_be_left(
        self,
    ) -> None:
        for name in ("t4", "t5"):
            self.scripted.behaviours[TargetId(name)] = replies_and_leaves
        last_served_s, began_s = 0.0, clock.monotonic_s()
        responses: list[Response] = []
        while clock.monotonic_s() < began_s + 2 * LAST_RESORT_S:
            responses.append(self.scripted.forward())
            if isinstance(responses[-1], Passed):
                last_served_s = clock.monotonic_s()
            tasks.sleep(0.02)
        self.assertGreater(last_served_s, began_s + 0.8 * LAST_RESORT_S)
        self.assertLess(last_served_s, began_s + 1.2 * LAST_RESORT_S)
        refused = responses[-1]
        assert isinstance(refused, Refused)
        self.assertIs(refused.cause, RefusalCause.NO_TARGET)

    def test_a_restarted_host_learns_it_from_the_first_reply(self) -> None:
        """This host's knowledge ends with its process, as the platform allows."""
        self.scripted.forward()
        self.setUp()
        for _ in range(60):
            self.scripted.forward()
        for number in range(4):
            name = TargetId(f"t{number}")
            self.assertLessEqual(self.scripted.called_targets.count(name), 1)

    def test_a_shard_of_a_search_that_says_so_gets_nothing_new(self) -> None:
        scripted = ScriptedForwarder(route(shards(4), wait_max_s=0.4, objective_s=0.1))
        for number in range(4):
            scripted.add(f"a{number}", f"shard-{number}", replies_and_leaves)
            scripted.add(f"b{number}", f"shard-{number}", replies())
        for _ in range(20):
            response = scripted.forward()
            assert isinstance(response, Gathered)
            self.assertEqual(response.missing, 0)
        for number in range(4):
            name = TargetId(f"a{number}")
            self.assertLessEqual(scripted.called_targets.count(name), 1)


class FullInTurnTest(VirtualTimeTestCase):
    """The targets of a service are full one after the other, then all of them."""

    def make(self, kind: RequestKind = RequestKind.IDEMPOTENT) -> ScriptedForwarder:
        """Returns a forwarder with two targets, of which one is full for 2 s."""
        scripted = ScriptedForwarder(route(kind=kind, wait_max_s=0.4, objective_s=0.1))
        scripted.add("a", "desk", turns_away_for(2.0))
        scripted.add("b", "desk", replies())
        return scripted

    def test_a_full_target_gets_nothing_until_its_pause_is_over(self) -> None:
        scripted = self.make()
        while TargetId("a") not in scripted.called_targets:
            self.assertIsInstance(scripted.forward(), Passed)
        for _ in range(38):
            tasks.sleep(0.05)
            self.assertIsInstance(scripted.forward(), Passed)
        self.assertEqual(scripted.called_targets.count(TargetId("a")), 1)

    def test_its_refusal_does_not_count_against_the_other_target(self) -> None:
        scripted = self.make()
        while TargetId("a") not in scripted.called_targets:
            scripted.forward()
        now_s = clock.monotonic_s()
        view = scripted.views.view_of(TargetId("b"))
        self.assertEqual(view.current_failure_rate(now_s), 0.0)

    def test_a_full_service_is_refused_at_once_until_a_pause_ends(self) -> None:
        for kind in RequestKind:
            with self.subTest(kind=kind):
                scripted = self.make(kind)
                scripted.behaviours[TargetId("b")] = turns_away_for(1.0)
                scripted.forward()
                scripted.forward()
                sent = len(scripted.called_targets)
                self.assertEqual(sent, 2)
                began_s = clock.monotonic_s()
                response = scripted.forward()
                assert isinstance(response, Refused)
                self.assertIs(response.cause, RefusalCause.TARGETS_FULL)
                self.assertEqual(clock.monotonic_s(), began_s)
                self.assertEqual(len(scripted.called_targets), sent)

    def test_callers_return_after_the_first_pause_and_not_together(self) -> None:
        scripted = self.make()
        scripted.behaviours[TargetId("b")] = turns_away_for(1.0)
        scripted.forward()
        waits_s = []
        for _ in range(50):
            response = scripted.forward()
            assert isinstance(response, Refused)
            assert response.retry_after_s is not None
            waits_s.append(response.retry_after_s)
        latest_s = 1.0 + max(FULL_RETRY_S, RETRY_SPREAD_SHARE)
        self.assertTrue(all(0.9 < wait_s <= latest_s for wait_s in waits_s), waits_s)
        self.assertGreater(max(waits_s) - min(waits_s), 0.3)

    def test_the_service_serves_again_after_the_pause(self) -> None:
        scripted = self.make()
        scripted.behaviours[TargetId("b")] = turns_away_for(1.0)
        scripted.forward()
        scripted.behaviours[TargetId("b")] = replies()
        tasks.sleep(1.0)
        self.assertIsInstance(scripted.forward(), Passed)

    def test_a_search_leaves_out_a_full_shard_or_is_refused(self) -> None:
        """Three of four shards are enough for an answer, two are not."""
        scripted = ScriptedForwarder(route(shards(4), wait_max_s=0.4, objective_s=0.1))
        for number in range(4):
            scripted.add(f"a{number}", f"shard-{number}", replies())
        scripted.behaviours[TargetId("a0")] = turns_away_for(2.0)
        for _ in range(2):
            response = scripted.forward()
            assert isinstance(response, Gathered)
            self.assertEqual(response.missing, 1)
        scripted.behaviours[TargetId("a1")] = turns_away_for(1.0)
        scripted.forward()
        sent = len(scripted.called_targets)
        refused = scripted.forward()
        assert isinstance(refused, Refused)
        self.assertIs(refused.cause, RefusalCause.TARGETS_FULL)
        assert refused.retry_after_s is not None
        self.assertGreater(refused.retry_after_s, 0.9)
        self.assertEqual(len(scripted.called_targets), sent)

    def test_requests_that_wait_for_a_connection_are_not_sent_any_more(self) -> None:
        """One connection is busy when the target turns the request on it away."""
        scripted = ScriptedForwarder(route(wait_max_s=0.4, objective_s=0.3))

        def turns_away_late(call: TargetCall) -> TargetReply:
            tasks.sleep(0.1)
            return turns_away_for(2.0)(call)

        scripted.add("a", "desk", turns_away_late)
        responses: list[Response] = []
        for _ in range(12):
            tasks.spawn(lambda: responses.append(scripted.forward()))
        tasks.sleep(0.5)
        self.assertEqual(len(responses), 12)
        self.assertTrue(all(isinstance(each, Refused) for each in responses))
        self.assertLess(len(scripted.called_targets), 12)

    def test_a_slow_refusal_does_not_end_the_wait_for_a_better_target(self) -> None:
        scripted = self.make()
        scripted.behaviours[TargetId("b")] = replies_after(0.05)
        for _ in range(10):
            self.assertIsInstance(scripted.forward(), Passed)
