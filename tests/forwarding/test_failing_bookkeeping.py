"""Tests of requests whose records or whose run raise an exception."""

import contextlib
import dataclasses
from unittest import mock

from lavendertide.bookkeeping import FAILURES
from lavendertide.forwarding.capacity import RouteAdmission
from lavendertide.forwarding.messages import (
    Failed,
    Gathered,
    Passed,
    RefusalCause,
    Refused,
)
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.forwarding.reply_progress import ReplyProgress
from lavendertide.forwarding.reply_recorder import ReplyRecorder
from lavendertide.forwarding.run import RequestRun
from lavendertide.forwarding.run_log import RunLog
from lavendertide.forwarding.target_choice import TargetChoice
from lavendertide.ids import RouteName
from lavendertide.overload.priority_admission import PriorityAdmission
from lavendertide.routes.route import RequestKind
from lavendertide.runtime import clock, tasks
from standins.forwarding_records import reply, request, route, shards, target
from tests.forwarding.scripted_targets import (
    ScriptedForwarder,
    crashes,
    replies,
    replies_after,
)
from tests.virtual_time import VirtualTimeTestCase

SHARDS = 4


def failing(target: type, method: str) -> "mock._patch[mock.MagicMock]":
    """Returns a patch by which a method raises an exception."""
    return mock.patch.object(target, method, side_effect=KeyError(2))


class FailingRecordTest(VirtualTimeTestCase):
    """A record that fails leaves the response as it is.

    Guards against statistics and limits whose exceptions end the request.
    """

    def failures(self, kind: str) -> float:
        """Returns how many records of a kind have failed."""
        return FAILURES.labels(kind)._value.get()  # type: ignore[no-any-return]

    def test_the_record_of_a_reply_fails(self) -> None:
        scripted = ScriptedForwarder(route())
        scripted.add("a", "desk", replies(b"found"))
        before = self.failures("reply")
        with failing(ReplyRecorder, "record"):
            response = scripted.forward()
        assert isinstance(response, Passed)
        self.assertEqual(response.reply.body, b"found")
        self.assertEqual(self.failures("reply"), before + 1)

    def test_the_release_of_the_admission_fails(self) -> None:
        scripted = ScriptedForwarder(route())
        scripted.add("a", "desk", replies())
        before = self.failures("admission")
        with failing(RouteAdmission, "release"):
            self.assertIsInstance(scripted.forward(), Passed)
        self.assertEqual(self.failures("admission"), before + 1)

    def test_the_listener_of_the_coverage_fails(self) -> None:
        progress = ReplyProgress(request(), 2)
        progress.set_listener(mock.Mock(side_effect=KeyError(2)))
        before = self.failures("coverage")
        for name in ("a", "b"):
            progress.add(reply(name), 0.1)
        self.assertTrue(progress.is_whole)
        self.assertEqual(progress.half_covered_s, 0.1)
        self.assertEqual(self.failures("coverage"), before + 1)


class FailingRunTest(VirtualTimeTestCase):
    """A run that fails ends with a response that is true of what was sent."""

    def test_a_request_that_was_not_sent_is_refused(self) -> None:
        scripted = ScriptedForwarder(route())
        scripted.add("a", "desk", replies())
        with failing(RequestRun, "_send_first"):
            response = scripted.forward()
        assert isinstance(response, Refused)
        self.assertIs(response.cause, RefusalCause.INTERNAL_ERROR)
        self.assertIsNotNone(response.retry_after_s)
        self.assertEqual(scripted.called_targets, [])

    def test_a_request_that_was_sent_is_not_refused(self) -> None:
        """A refusal would have its caller send a running order again."""
        scripted = ScriptedForwarder(route(kind=RequestKind.NON_IDEMPOTENT))
        scripted.add("a", "desk", crashes)
        with failing(RequestRun, "_plan_retry"):
            response = scripted.forward()
        assert isinstance(response, Failed)
        self.assertFalse(response.is_timeout)
        self.assertEqual(len(scripted.called_targets), 1)

    def test_calls_that_wait_for_a_connection_are_not_sent_later(self) -> None:
        scripted = ScriptedForwarder(route())
        scripted.add("a", "desk", replies())
        with failing(RequestRun, "_time_to_next_event_s"):
            self.assertIsInstance(scripted.forward(), Refused)
        scripted.forward(name="r2")
        self.assertEqual(len(scripted.called_targets), 1)

    def test_replies_that_suffice_are_passed_on(self) -> None:
        scripted = ScriptedForwarder(route(shards(SHARDS)))
        for number in range(SHARDS):
            scripted.add(f"s{number}", f"shard-{number}", replies_after(0.01 * number))
        with failing(RunLog, "log_end"):
            response = scripted.forward()
        assert isinstance(response, Gathered)
        self.assertEqual(response.missing, 0)

    def test_the_choice_of_a_target_fails(self) -> None:
        scripted = ScriptedForwarder(route())
        scripted.add("a", "desk", replies())
        with failing(TargetChoice, "rank_targets"):
            self.assertIsInstance(scripted.forward(), Refused)


class SubmittedCallTest(VirtualTimeTestCase):
    """A refusal is true although the exception arose after the call was queued.

    Guards against an order that is refused and runs afterwards.
    """

    def test_an_order_that_was_queued_is_not_refused_and_run(self) -> None:
        scripted = ScriptedForwarder(route(kind=RequestKind.NON_IDEMPOTENT))
        scripted.add("a", "desk", replies())
        counter = scripted.forwarder._metrics.sub_requests
        with mock.patch.object(counter, "inc", side_effect=KeyError(2)):
            response = scripted.forward()
        tasks.sleep(1.0)
        if isinstance(response, Refused):
            self.assertEqual(scripted.called_targets, [])


class FailedLogTest(VirtualTimeTestCase):
    """The response to a failed run survives a failure of its log line."""

    def test_a_request_that_was_sent_fails(self) -> None:
        scripted = ScriptedForwarder(route(kind=RequestKind.NON_IDEMPOTENT))
        scripted.add("a", "desk", replies_after(0.1))
        module = "lavendertide.forwarding"
        with (
            mock.patch(f"{module}.run.RequestRun._handle_reply", side_effect=KeyError),
            mock.patch(f"{module}.guarded_run.log_failure", side_effect=KeyError),
        ):
            self.assertIsInstance(scripted.forward(), Failed)


class LeftBehindTest(VirtualTimeTestCase):
    """A record that fails leaves nothing behind that counts as a running request."""

    def test_the_open_call_of_a_reply_whose_record_fails(self) -> None:
        """Otherwise its target counts as stalled for as long as it runs."""
        scripted = ScriptedForwarder(route())
        scripted.add("a", "desk", replies())
        with mock.patch.object(ForwardingMetrics, "record_reply", side_effect=KeyError):
            self.assertIsInstance(scripted.forward(), Passed)
        view = scripted.views.view_of(target("a", "desk").target)
        self.assertEqual(view.open_count, 0)
        tasks.sleep(60.0)
        self.assertFalse(view.is_stalled(clock.monotonic_s()))

    def test_the_permit_of_a_request_that_ends_before_its_run(self) -> None:
        scripted = ScriptedForwarder(route())
        scripted.add("a", "desk", replies())
        budgets = scripted.forwarder._budgets
        failing = mock.patch.object(budgets, "record_request", side_effect=KeyError(2))
        with failing, contextlib.suppress(KeyError):
            scripted.forward()
        limit = scripted.forwarder.admission.limit_of(
            scripted.route.name, clock.monotonic_s()
        )
        self.assertEqual(limit.in_flight, 0)

    def test_the_permit_whose_feedback_fails(self) -> None:
        urgent = dataclasses.replace(
            route(), name=RouteName("urgent"), prefix="/u/", priority=0
        )
        scripted = ScriptedForwarder(route(), more_urgent=(urgent,))
        scripted.add("a", "desk", crashes)
        with mock.patch.object(PriorityAdmission, "record", side_effect=KeyError(2)):
            scripted.forward()
        admission = scripted.forwarder.admission
        now_s = clock.monotonic_s()
        self.assertEqual(admission.limit_of(scripted.route.name, now_s).in_flight, 0)


class FailingRunRecordTest(VirtualTimeTestCase):
    """A record of a run that fails doesn't cost the request its running call.

    Guards against a 502 for a request whose target replies in time.
    """

    def check(self, target_class: type, method: str) -> None:
        """Checks the response to a request of which a hedge is due."""
        scripted = ScriptedForwarder(route())
        scripted.add("a", "desk", replies_after(0.12))
        scripted.add("b", "desk", replies_after(0.12))
        with mock.patch.object(target_class, method, side_effect=KeyError(2)):
            self.assertIsInstance(scripted.forward(), Passed)

    def test_the_log_line_of_a_hedge(self) -> None:
        self.check(RunLog, "log_repeat")

    def test_the_report_of_a_late_call(self) -> None:
        self.check(ForwardingMetrics, "record_late_call")
