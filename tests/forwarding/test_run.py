"""Tests of `lavendertide.forwarding.run`, on targets without a network."""

from dataclasses import replace

from lavendertide.forwarding.messages import (
    Abandoned,
    Failed,
    Gathered,
    Passed,
    RefusalCause,
    Refused,
)
from lavendertide.forwarding.run import RequestRun
from lavendertide.forwarding.sender import Event
from lavendertide.forwarding.timing import RouteTimings
from lavendertide.ids import RouteName
from lavendertide.overload.capacity import (
    Feedback,
    HalfCovered,
    Inconclusive,
    Starved,
)
from lavendertide.routes.route import RequestKind
from lavendertide.runtime import clock, tasks
from standins.forwarding_records import (
    reply,
    request,
    route,
    shards,
)
from tests.forwarding.scripted_targets import (
    Behaviour,
    ScriptedForwarder,
    crashes,
    crashes_first,
    in_turn,
    is_unreachable,
    leave_after,
    refuses,
    replies,
    replies_after,
)
from tests.virtual_time import VirtualTimeTestCase


class OneServiceTest(VirtualTimeTestCase):
    """One target answers, and another is asked only where that is allowed."""

    def make(self, kind: RequestKind = RequestKind.IDEMPOTENT) -> ScriptedForwarder:
        """Returns a world with one route."""
        return ScriptedForwarder(route(kind=kind, wait_max_s=0.4, objective_s=0.1))

    def test_a_reply_is_passed_on(self) -> None:
        scripted = self.make()
        scripted.add("a", "desk", replies(b"found"))
        response = scripted.forward()
        assert isinstance(response, Passed)
        self.assertEqual(response.reply.body, b"found")

    def test_an_idempotent_request_is_repeated_after_a_crash(self) -> None:
        scripted = self.make()
        scripted.add("a", "desk", crashes)
        scripted.add("b", "desk", replies())
        for _ in range(6):
            self.assertIsInstance(scripted.forward(), Passed)

    def test_a_non_idempotent_one_is_not(self) -> None:
        scripted = self.make(RequestKind.NON_IDEMPOTENT)
        scripted.add("a", "desk", crashes)
        scripted.add("b", "desk", crashes)
        response = scripted.forward()
        self.assertIsInstance(response, Failed)
        self.assertEqual(len(scripted.called_targets), 1)

    def test_a_non_idempotent_one_goes_on_after_a_refusal(self) -> None:
        scripted = self.make(RequestKind.NON_IDEMPOTENT)
        scripted.add("a", "desk", refuses)
        scripted.add("b", "desk", replies())
        for _ in range(6):
            self.assertIsInstance(scripted.forward(), Passed)

    def test_a_non_idempotent_one_is_never_sent_beside_an_open_attempt(self) -> None:
        scripted = self.make(RequestKind.NON_IDEMPOTENT)
        scripted.add("a", "desk", replies_after(0.2))
        scripted.add("b", "desk", replies_after(0.2))
        self.assertIsInstance(scripted.forward(), Passed)
        self.assertEqual(len(scripted.called_targets), 1)

    def test_full_targets_are_a_refusal_that_says_when_to_come_back(self) -> None:
        scripted = self.make()
        scripted.add("a", "desk", refuses)
        response = scripted.forward()
        assert isinstance(response, Refused)
        self.assertIs(response.cause, RefusalCause.TARGETS_FULL)
        self.assertIsNotNone(response.retry_after_s)

    def test_what_may_have_run_is_never_a_refusal(self) -> None:
        scripted = self.make()
        scripted.add("a", "desk", crashes)
        scripted.add("b", "desk", refuses)
        for _ in range(4):
            self.assertNotIsInstance(scripted.forward(), Refused)
            tasks.sleep(0.3)

    def test_without_a_target_it_is_refused_at_once(self) -> None:
        began_s = clock.monotonic_s()
        response = self.make().forward()
        assert isinstance(response, Refused)
        self.assertIs(response.cause, RefusalCause.NO_TARGET)
        self.assertLess(clock.monotonic_s() - began_s, 0.1)

    def test_an_answer_comes_at_the_routes_limit(self) -> None:
        scripted = self.make()
        scripted.add("a", "desk", replies_after(2.0))
        began_s = clock.monotonic_s()
        response = scripted.forward()
        assert isinstance(response, Failed)
        self.assertTrue(response.is_timeout)
        self.assertLess(clock.monotonic_s() - began_s, 0.4 + 0.5)

    def test_work_for_a_caller_that_has_left_is_broken_off(self) -> None:
        scripted = self.make()
        scripted.add("a", "desk", replies_after(0.3))
        inbox: tasks.Mailbox[Event] = tasks.Mailbox()
        tasks.spawn(leave_after, 0.02, inbox)
        self.assertIsInstance(scripted.forward(inbox), Abandoned)
        self.assertEqual(scripted.closed_count, 1)


class TargetLogTest(VirtualTimeTestCase):
    """The log says when a target is taken to be down, and when it answers again."""

    def test_each_change_is_one_line(self) -> None:
        scripted = ScriptedForwarder(route(wait_max_s=0.4, objective_s=0.1))
        scripted.add("a", "desk", crashes_first(3))
        with self.assertLogs("lavendertide.forwarding.request_log", "INFO") as logs:
            for _ in range(4):
                scripted.forward()
                tasks.sleep(5.0)
        beliefs = [vars(r) for r in logs.records if r.message.startswith("target ")]
        self.assertEqual(
            [(each["message"], each["failures"]) for each in beliefs],
            [("target considered down", 2), ("target replies again", 3)],
        )
        self.assertFalse(any("request" in each for each in beliefs))


class RepeatBudgetTest(VirtualTimeTestCase):
    """Arrivals beyond the first one of a request come out of the fleet's budget."""

    def test_after_a_refusal_another_target_costs_a_repeat(self) -> None:
        """What was refused has arrived, so that the next arrival is an extra one."""
        scripted = ScriptedForwarder(route(wait_max_s=0.3, objective_s=0.1), fixed=10.0)
        behaviour = in_turn(refuses, is_unreachable, replies())
        scripted.add("a", "desk", behaviour)
        scripted.add("b", "desk", behaviour)
        self.assertIsInstance(scripted.forward(), Refused)

    def test_what_has_reached_no_target_is_free(self) -> None:
        scripted = ScriptedForwarder(route(wait_max_s=0.3, objective_s=0.1), fixed=0.0)
        behaviour = in_turn(is_unreachable, is_unreachable, replies())
        scripted.add("a", "desk", behaviour)
        scripted.add("b", "desk", behaviour)
        self.assertIsInstance(scripted.forward(), Passed)

    def test_nothing_is_repeated_without_a_budget(self) -> None:
        scripted = ScriptedForwarder(route(wait_max_s=0.3, objective_s=0.1), fixed=0.0)
        scripted.add("a", "desk", refuses)
        scripted.add("b", "desk", refuses)
        scripted.forward()
        self.assertEqual(len(scripted.called_targets), 1)

    def test_a_failed_request_waits_for_its_budget(self) -> None:
        """The pattern: many targets fail at once, more than the budget repeats."""
        scripted = ScriptedForwarder(
            route(wait_max_s=0.45, objective_s=0.1), 10.0, window_s=0.2
        )
        for _ in range(2):
            one_crash = crashes_first(1)
            scripted.add("a", "desk", one_crash)
            scripted.add("b", "desk", one_crash)
            self.assertIsInstance(scripted.forward(), Passed)

    def test_a_refused_request_does_not(self) -> None:
        scripted = ScriptedForwarder(
            route(wait_max_s=0.45, objective_s=0.1), 0.0, window_s=0.2
        )
        scripted.add("a", "desk", refuses)
        scripted.add("b", "desk", refuses)
        began_s = clock.monotonic_s()
        self.assertIsInstance(scripted.forward(), Refused)
        self.assertLess(clock.monotonic_s() - began_s, 0.1)


class ChangedRoutesTest(VirtualTimeTestCase):
    """Nothing is kept of routes that are gone."""

    def test_timings_of_a_route_end_with_it(self) -> None:
        timings = RouteTimings()
        kept, gone = route(), replace(route(), name=RouteName("gone"))
        for entry in (kept, gone):
            timings.timing_of(entry, 0.0).observe(0.1, 0.0)
        timings.retain_only(frozenset({kept.name}))
        self.assertIsNotNone(timings.timing_of(kept, 1.0).mean_s)
        self.assertIsNone(timings.timing_of(gone, 1.0).mean_s)


class FeedbackTest(VirtualTimeTestCase):
    """What an ended request says about the load of its targets."""

    def feedback(
        self, *behaviours: Behaviour, inbox: tasks.Mailbox[Event] | None = None
    ) -> Feedback:
        """Runs a search over one shard for each behaviour to its end."""
        found = route(shards(len(behaviours), 1.0), wait_max_s=0.3, objective_s=0.1)
        scripted = ScriptedForwarder(found)
        for number, behaviour in enumerate(behaviours):
            scripted.add(f"t{number}", f"shard-{number}", behaviour)
        now_s = clock.monotonic_s()
        run = RequestRun(
            scripted.forwarder,
            request(now_s, now_s + 0.3),
            found,
            found.services,
            tasks.Mailbox() if inbox is None else inbox,
        )
        run.complete()
        return run.feedback

    def test_the_time_of_the_first_half_counts(self) -> None:
        quick, slow = replies(), replies_after(0.2)
        match self.feedback(quick, quick, slow):
            case HalfCovered(took_s):
                self.assertLess(took_s, 0.1)
            case other:
                self.fail(str(other))

    def test_half_without_room_is_starved(self) -> None:
        self.assertIsInstance(self.feedback(refuses, replies_after(0.3)), Starved)

    def test_half_without_an_answer_is_starved(self) -> None:
        slow = replies_after(1.0)
        self.assertIsInstance(self.feedback(slow, slow, replies()), Starved)

    def test_failures_say_nothing(self) -> None:
        self.assertIsInstance(self.feedback(crashes, crashes, replies()), Inconclusive)

    def test_a_caller_that_leaves_early_says_nothing(self) -> None:
        inbox: tasks.Mailbox[Event] = tasks.Mailbox()
        tasks.spawn(leave_after, 0.02, inbox)
        feedback = self.feedback(replies_after(0.2), inbox=inbox)
        self.assertIsInstance(feedback, Inconclusive)


class GatheredShardsTest(VirtualTimeTestCase):
    """Every shard is asked; the answer says truly what it covers."""

    def make(self, count: int = 4, coverage_min: float = 0.75) -> ScriptedForwarder:
        """Returns a world with one index of some shards."""
        destination = shards(count, coverage_min)
        return ScriptedForwarder(route(destination, wait_max_s=0.4, objective_s=0.1))

    def test_all_shards_are_in_a_whole_answer(self) -> None:
        scripted = self.make()
        for number in range(4):
            body = bytes([number]) * 16
            scripted.add(f"t{number}", f"shard-{number}", replies(body))
        response = scripted.forward()
        assert isinstance(response, Gathered)
        self.assertEqual(set(response.signatures), {f"t{n}" for n in range(4)})
        self.assertEqual(response.missing, 0)
        self.assertEqual(response.body, b"".join(bytes([n]) * 16 for n in (3, 2, 1, 0)))

    def test_a_stalled_shard_is_left_out_when_the_objective_is_near(self) -> None:
        scripted = self.make()
        for number in range(3):
            scripted.add(f"t{number}", f"shard-{number}", replies())
        scripted.add("t3", "shard-3", replies_after(0.35))
        began_s = clock.monotonic_s()
        response = scripted.forward()
        assert isinstance(response, Gathered)
        self.assertEqual((len(response.signatures), response.missing), (3, 1))
        self.assertLess(clock.monotonic_s() - began_s, 0.1)

    def test_a_late_answer_is_still_delivered_once_enough_is_there(self) -> None:
        scripted = self.make(2, 1.0)
        scripted.add("t0", "shard-0", replies())
        scripted.add("t1", "shard-1", replies_after(0.2))
        response = scripted.forward()
        assert isinstance(response, Gathered)
        self.assertEqual(response.missing, 0)

    def test_too_many_lost_shards_end_it_at_once(self) -> None:
        scripted = self.make(4, 1.0)
        for number in range(3):
            scripted.add(f"t{number}", f"shard-{number}", replies())
        began_s = clock.monotonic_s()
        self.assertIsInstance(scripted.forward(), Refused)
        self.assertLess(clock.monotonic_s() - began_s, 0.05)
        self.assertEqual(scripted.called_targets, [])

    def test_a_failure_is_no_part(self) -> None:
        scripted = self.make(2, 0.5)
        scripted.add("t0", "shard-0", replies())
        scripted.add("t1", "shard-1", lambda call: reply("t1", status=500))
        response = scripted.forward()
        assert isinstance(response, Gathered)
        self.assertEqual((response.signatures, response.missing), (("t0",), 1))
