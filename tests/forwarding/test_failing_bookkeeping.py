"""Tests of requests whose records or whose run raise an exception."""

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
from lavendertide.forwarding.reply_progress import ReplyProgress
from lavendertide.forwarding.reply_recorder import ReplyRecorder
from lavendertide.forwarding.run import RequestRun
from lavendertide.forwarding.run_log import RunLog
from lavendertide.forwarding.target_choice import TargetChoice
from lavendertide.routes.route import RequestKind
from standins.forwarding_records import reply, request, route, shards
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
