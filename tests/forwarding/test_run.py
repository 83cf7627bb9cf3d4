"""Tests of `lavendertide.forwarding.run`, on targets without a network."""

from dataclasses import replace

from lavendertide.forwarding.deadlines import response_deadlines
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
    """Requests to one service are repeated only if the route kind allows it."""

    def make(self, kind: RequestKind = RequestKind.IDEMPOTENT) -> ScriptedForwarder:
        """Returns a forwarder with one route."""
        return ScriptedForwarder(route(kind=kind, wait_max_s=0.4, objective_s=0.1))

    def test_a_reply_is_passed_on_unchanged(self) -> None:
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

    def test_a_non_idempotent_request_is_not_repeated_after_a_crash(self) -> None:
        scripted = self.make(RequestKind.NON_IDEMPOTENT)
        scripted.add("a", "desk", crashes)
        scripted.add("b", "desk", crashes)
        response = scripted.forward()
        self.assertIsInstance(response, Failed)
        self.assertEqual(len(scripted.called_targets), 1)

    def test_a_non_idempotent_request_is_repeated_after_a_refusal(self) -> None:
        scripted = self.make(RequestKind.NON_IDEMPOTENT)
        scripted.add("a", "desk", refuses)
        scripted.add("b", "desk", replies())
        for _ in range(6):
            self.assertIsInstance(scripted.forward(), Passed)

    def test_a_non_idempotent_request_is_never_hedged(self) -> None:
        scripted = self.make(RequestKind.NON_IDEMPOTENT)
        scripted.add("a", "desk", replies_after(0.2))
        scripted.add("b", "desk", replies_after(0.2))
        self.assertIsInstance(scripted.forward(), Passed)
        self.assertEqual(len(scripted.called_targets), 1)

    def test_full_targets_cause_a_refusal_with_a_retry_time(self) -> None:
        scripted = self.make()
        scripted.add("a", "desk", refuses)
        response = scripted.forward()
        assert isinstance(response, Refused)
        self.assertIs(response.cause, RefusalCause.TARGETS_FULL)
        self.assertIsNotNone(response.retry_after_s)

    def test_a_request_that_may_have_run_is_never_refused(self) -> None:
        scripted = self.make()
        scripted.add("a", "desk", crashes)
        scripted.add("b", "desk", refuses)
        for _ in range(4):
            self.assertNotIsInstance(scripted.forward(), Refused)
            tasks.sleep(0.3)

    def test_a_request_without_a_target_is_refused_at_once(self) -> None:
        began_s = clock.monotonic_s()
        response = self.make().forward()
        assert isinstance(response, Refused)
        self.assertIs(response.cause, RefusalCause.NO_TARGET)
        self.assertLess(clock.monotonic_s() - began_s, 0.1)

    def test_a_request_times_out_at_the_route_limit(self) -> None:
        scripted = self.make()
        scripted.add("a", "desk", replies_after(2.0))
        began_s = clock.monotonic_s()
        response = scripted.forward()
        assert isinstance(response, Failed)
        self.assertTrue(response.is_timeout)
        self.assertLess(clock.monotonic_s() - began_s, 0.4 + 0.5)

    def test_calls_of_a_caller_that_has_left_are_cancelled(self) -> None:
        scripted = self.make()
        scripted.add("a", "desk", replies_after(0.3))
        inbox: tasks.Mailbox[Event] = tasks.Mailbox()
        tasks.spawn(leave_after, 0.02, inbox)
        self.assertIsInstance(scripted.forward(inbox), Abandoned)
        self.assertEqual(scripted.closed_count, 1)


class TargetLogTest(VirtualTimeTestCase):
    """The log shows when a target is considered down and when it replies again."""

    def test_each_change_is_logged_once(self) -> None:
        scripted = ScriptedForwarder(route(wait_max_s=0.4, objective_s=0.1))
        scripted.add("a", "desk", crashes_first(3))
        with self.assertLogs("lavendertide.forwarding.request_log", "INFO") as logs:
            for _ in range(4):
                scripted.forward()
                tasks.sleep(5.0)
        changes = [vars(r) for r in logs.records if r.message.startswith("target ")]
        self.assertEqual(
            [(each["message"], each["failures"]) for each in changes],
            [("target considered down", 2), ("target replies again", 3)],
        )
        self.assertFalse(any("request" in each for each in changes))


class RepeatBudgetTest(VirtualTimeTestCase):
    """Sub-requests that reach a target beyond the first one spend the budget."""

    def test_a_repeat_after_a_refusal_spends_the_budget(self) -> None:
        """A refused sub-request has reached a target, so the next one is an extra."""
        scripted = ScriptedForwarder(route(wait_max_s=0.3, objective_s=0.1), fixed=10.0)
        behaviour = in_turn(refuses, is_unreachable, replies())
        scripted.add("a", "desk", behaviour)
        scripted.add("b", "desk", behaviour)
        self.assertIsInstance(scripted.forward(), Refused)

    def test_a_repeat_after_unreachable_targets_needs_no_budget(self) -> None:
        scripted = ScriptedForwarder(route(wait_max_s=0.3, objective_s=0.1), fixed=0.0)
        behaviour = in_turn(is_unreachable, is_unreachable, replies())
        scripted.add("a", "desk", behaviour)
        scripted.add("b", "desk", behaviour)
        self.assertIsInstance(scripted.forward(), Passed)

    def test_unreachable_targets_are_no_attempts(self) -> None:
        """Guards against an order that is refused though a third target is free."""
        orders = route(kind=RequestKind.NON_IDEMPOTENT, attempts_max=1)
        scripted = ScriptedForwarder(orders, fixed=0.0)
        behaviour = in_turn(is_unreachable, is_unreachable, replies())
        for name in ("a", "b", "c"):
            scripted.add(name, "desk", behaviour)
        began_s = clock.monotonic_s()
        self.assertIsInstance(scripted.forward(), Passed)
        self.assertLess(clock.monotonic_s() - began_s, 0.1)

    def test_nothing_is_repeated_without_a_budget(self) -> None:
        scripted = ScriptedForwarder(route(wait_max_s=0.3, objective_s=0.1), fixed=0.0)
        scripted.add("a", "desk", refuses)
        scripted.add("b", "desk", refuses)
        scripted.forward()
        self.assertEqual(len(scripted.called_targets), 1)

    def test_a_failed_request_waits_until_the_budget_recovers(self) -> None:
        """Many targets fail at once, more than the budget allows to repeat."""
        scripted = ScriptedForwarder(
            route(wait_max_s=0.45, objective_s=0.1), 10.0, window_s=0.2
        )
        for _ in range(2):
            one_crash = crashes_first(1)
            scripted.add("a", "desk", one_crash)
            scripted.add("b", "desk", one_crash)
            self.assertIsInstance(scripted.forward(), Passed)

    def test_a_refused_request_does_not_wait_for_the_budget(self) -> None:
        scripted = ScriptedForwarder(
            route(wait_max_s=0.45, objective_s=0.1), 0.0, window_s=0.2
        )
        scripted.add("a", "desk", refuses)
        scripted.add("b", "desk", refuses)
        began_s = clock.monotonic_s()
        self.assertIsInstance(scripted.forward(), Refused)
        self.assertLess(clock.monotonic_s() - began_s, 0.1)


class ChangedRoutesTest(VirtualTimeTestCase):
    """No state is kept of routes that were removed."""

    def test_timings_of_a_removed_route_are_removed(self) -> None:
        timings = RouteTimings()
        kept, gone = route(), replace(route(), name=RouteName("gone"))
        for entry in (kept, gone):
            timings.timing_of(entry, 0.0).observe(0.1, 0.0)
        timings.retain_only(frozenset({kept.name}))
        self.assertIsNotNone(timings.timing_of(kept, 1.0).mean_s)
        self.assertIsNone(timings.timing_of(gone, 1.0).mean_s)


class FeedbackTest(VirtualTimeTestCase):
    """The feedback of a completed request about the load of its targets."""

    def feedback(
        self, *behaviours: Behaviour, inbox: tasks.Mailbox[Event] | None = None
    ) -> Feedback:
        """Completes a search over one shard for each behaviour."""
        found = route(shards(len(behaviours), 1.0), wait_max_s=0.3, objective_s=0.1)
        scripted = ScriptedForwarder(found)
        for number, behaviour in enumerate(behaviours):
            scripted.add(f"t{number}", f"shard-{number}", behaviour)
        now_s = clock.monotonic_s()
        caller_request = request(now_s, now_s + 0.3)
        run = RequestRun(
            scripted.forwarder,
            caller_request,
            found,
            found.services,
            response_deadlines(caller_request, found, None),
            tasks.Mailbox() if inbox is None else inbox,
        )
        run.complete()
        return run.feedback

    def test_the_time_until_half_of_the_shards_replied_is_reported(self) -> None:
        quick, slow = replies(), replies_after(0.2)
        match self.feedback(quick, quick, slow):
            case HalfCovered(took_s):
                self.assertLess(took_s, 0.1)
            case other:
                self.fail(str(other))

    def test_full_targets_of_half_of_the_shards_are_starvation(self) -> None:
        self.assertIsInstance(self.feedback(refuses, replies_after(0.3)), Starved)

    def test_late_targets_of_half_of_the_shards_are_starvation(self) -> None:
        slow = replies_after(1.0)
        self.assertIsInstance(self.feedback(slow, slow, replies()), Starved)

    def test_failures_are_inconclusive(self) -> None:
        self.assertIsInstance(self.feedback(crashes, crashes, replies()), Inconclusive)

    def test_a_caller_that_leaves_early_is_inconclusive(self) -> None:
        inbox: tasks.Mailbox[Event] = tasks.Mailbox()
        tasks.spawn(leave_after, 0.02, inbox)
        feedback = self.feedback(replies_after(0.2), inbox=inbox)
        self.assertIsInstance(feedback, Inconclusive)


class GatheredShardsTest(VirtualTimeTestCase):
    """A search is sent to every shard; the response reports the missing ones."""

    def make(self, count: int = 4, coverage_min: float = 0.75) -> ScriptedForwarder:
        """Returns a forwarder with one index of several shards."""
        destination = shards(count, coverage_min)
        return ScriptedForwarder(route(destination, wait_max_s=0.4, objective_s=0.1))

    def test_a_full_response_contains_all_shards(self) -> None:
        scripted = self.make()
        for number in range(4):
            body = bytes([number]) * 16
            scripted.add(f"t{number}", f"shard-{number}", replies(body))
        response = scripted.forward()
        assert isinstance(response, Gathered)
        self.assertEqual(set(response.signatures), {f"t{n}" for n in range(4)})
        self.assertEqual(response.missing, 0)
        self.assertEqual(response.body, b"".join(bytes([n]) * 16 for n in (3, 2, 1, 0)))

    def test_a_stalled_shard_is_left_out_at_the_objective(self) -> None:
        scripted = self.make()
        for number in range(3):
            scripted.add(f"t{number}", f"shard-{number}", replies())
        scripted.add("t3", "shard-3", replies_after(0.35))
        began_s = clock.monotonic_s()
        response = scripted.forward()
        assert isinstance(response, Gathered)
        self.assertEqual((len(response.signatures), response.missing), (3, 1))
        self.assertLess(clock.monotonic_s() - began_s, 0.1)

    def test_a_response_after_the_objective_is_sent_once_it_is_sufficient(self) -> None:
        scripted = self.make(2, 1.0)
        scripted.add("t0", "shard-0", replies())
        scripted.add("t1", "shard-1", replies_after(0.2))
        response = scripted.forward()
        assert isinstance(response, Gathered)
        self.assertEqual(response.missing, 0)

    def test_too_many_lost_shards_end_the_request_at_once(self) -> None:
        scripted = self.make(4, 1.0)
        for number in range(3):
            scripted.add(f"t{number}", f"shard-{number}", replies())
        began_s = clock.monotonic_s()
        self.assertIsInstance(scripted.forward(), Refused)
        self.assertLess(clock.monotonic_s() - began_s, 0.05)
        self.assertEqual(scripted.called_targets, [])

    def test_a_failed_reply_is_not_merged(self) -> None:
        scripted = self.make(2, 0.5)
        scripted.add("t0", "shard-0", replies())
        scripted.add("t1", "shard-1", lambda call: reply("t1", status=500))
        response = scripted.forward()
        assert isinstance(response, Gathered)
        self.assertEqual((response.signatures, response.missing), (("t0",), 1))
