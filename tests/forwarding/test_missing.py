"""Tests of `lavendertide.forwarding.missing`, on targets without a network."""

import unittest
from collections.abc import Callable

from lavendertide.forwarding.messages import (
    NotRun,
    NotRunReason,
    Response,
    TargetReply,
    Unknown,
    UnknownReason,
)
from lavendertide.forwarding.missing import MissingCause, find_missing
from lavendertide.forwarding.parts import Part
from lavendertide.forwarding.sender import CallerLeft, Event, HostEnds
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.ids import Address, ServiceName, TargetId
from lavendertide.runtime import clock, tasks
from standins.forwarding_records import reply, request, route, shards, target
from tests.forwarding.scripted_targets import (
    Behaviour,
    ScriptedChannel,
    ScriptedForwarder,
    crashes,
    is_unreachable,
    refuses,
    replies,
    replies_after,
)
from tests.virtual_time import VirtualTimeTestCase

SILENT = replies_after(5.0)


class UnreadChannel(ScriptedChannel):
    """A connection on which data has arrived that was not read."""

    def has_data(self) -> bool:
        """Returns True."""
        return True


class UnreadForwarder(ScriptedForwarder):
    """A forwarder that has read nothing from its connections."""

    def _make_channel(self, address: Address) -> ScriptedChannel:
        return UnreadChannel(self)


class MissingShardTest(VirtualTimeTestCase):
    """The line that ends a search says why each shard is missing.

    Guards against a cause that hides another one, such as a late target in place of a
    call that waited for a connection.
    """

    def causes(
        self,
        *behaviours: Behaviour,
        fixed: float = 800.0,
        coverage_min: float = 0.5,
        wait_s: float = 0.5,
        make: type[ScriptedForwarder] = ScriptedForwarder,
        prepare: Callable[[ScriptedForwarder], None] = lambda _: None,
        event: Event | None = None,
    ) -> dict[str, int]:
        """Returns the logged causes of a search over two shards.

        The first shard replies at once; the second has a target for each behaviour.
        """
        found = route(shards(2, coverage_min), wait_max_s=0.4, objective_s=0.1)
        scripted = make(found, fixed=fixed)
        scripted.add("whole", "shard-0", replies())
        for number, behaviour in enumerate(behaviours):
            scripted.add(f"t{number}", "shard-1", behaviour)
        prepare(scripted)
        inbox: tasks.Mailbox[Event] = tasks.Mailbox()
        if event is not None:
            tasks.spawn(self.send_later, inbox, event)
        with self.assertLogs("lavendertide.requests", "INFO") as logs:
            scripted.forward(inbox, "last", wait_s)
        causes: dict[str, int] = getattr(logs.records[-1], "missing_causes")  # noqa: B009
        self.assertEqual(
            sum(causes.values()),
            getattr(logs.records[-1], "missing_count"),  # noqa: B009
        )
        return causes

    @staticmethod
    def send_later(inbox: tasks.Mailbox[Event], event: Event) -> None:
        """Sends an event before any call is late."""
        tasks.sleep(0.01)
        inbox.send(event)

    def test_a_shard_without_a_target(self) -> None:
        self.assertEqual(self.causes(), {"no_target": 1})

    def test_a_late_target_without_another_one(self) -> None:
        self.assertEqual(self.causes(SILENT), {"no_other_target": 1})

    def test_a_hedge_that_is_sent_too_late(self) -> None:
        self.assertEqual(self.causes(SILENT, SILENT), {"hedge_unfinished": 1})

    def test_all_attempts_late(self) -> None:
        causes = self.causes(SILENT, SILENT, coverage_min=1.0)
        self.assertEqual(causes, {"all_attempts_late": 1})

    def test_a_hedge_that_the_budget_does_not_allow(self) -> None:
        causes = self.causes(SILENT, SILENT, fixed=0.0)
        self.assertEqual(causes, {"hedge_withheld": 1})

    def test_a_retry_that_the_budget_does_not_allow(self) -> None:
        causes = self.causes(crashes, crashes, fixed=0.0)
        self.assertEqual(causes, {"retry_withheld": 1})

    def test_an_end_before_a_hedge_is_due(self) -> None:
        causes = self.causes(SILENT, SILENT, wait_s=0.05)
        self.assertEqual(causes, {"hedge_not_due": 1})

    def test_failed_targets(self) -> None:
        for behaviour, cause in (
            (crashes, "target_failed"),
            (refuses, "target_refused"),
            (is_unreachable, "target_unreachable"),
        ):
            with self.subTest(cause):
                self.assertEqual(self.causes(behaviour, behaviour), {cause: 1})

    def test_a_call_that_waits_for_a_connection(self) -> None:
        def occupy(scripted: ScriptedForwarder) -> None:
            for number in range(4):
                tasks.spawn(scripted.forward, None, f"r{number}", 0.5)
            tasks.sleep(0.01)

        causes = self.causes(SILENT, prepare=occupy)
        self.assertEqual(causes, {"waited_for_connection": 1})

    def test_a_reply_that_this_host_has_not_read(self) -> None:
        causes = self.causes(SILENT, SILENT, make=UnreadForwarder)
        self.assertEqual(causes, {"own_processor": 1})

    def test_a_search_that_ends_as_too_many_shards_are_lost(self) -> None:
        def silence_first(scripted: ScriptedForwarder) -> None:
            scripted.behaviours[TargetId("whole")] = SILENT

        causes = self.causes(
            refuses, refuses, fixed=0.0, coverage_min=1.0, prepare=silence_first
        )
        self.assertEqual(causes, {"retry_withheld": 1, "others_lost": 1})

    def test_a_search_that_is_interrupted(self) -> None:
        for event, cause in ((CallerLeft(), "caller_left"), (HostEnds(), "host_ends")):
            with self.subTest(cause):
                self.assertEqual(self.causes(SILENT, event=event), {cause: 1})

    def test_other_requests_have_no_missing_shards(self) -> None:
        scripted = ScriptedForwarder(route(wait_max_s=0.4, objective_s=0.1))
        scripted.add("a", "desk", crashes)
        with self.assertLogs("lavendertide.requests", "INFO") as logs:
            response: Response = scripted.forward()
        self.assertFalse(hasattr(logs.records[-1], "missing_causes"), response)


class FindMissingTest(unittest.TestCase):
    """Causes that need a certain moment, by the state of one part."""

    def cause(
        self, failure: TargetReply | None, *calls: TargetCall, **state: bool
    ) -> MissingCause:
        """Returns the cause of a part; the calls are open."""
        part = Part(ServiceName("s"), failure=failure, **state)  # type: ignore[arg-type]
        part.open_calls = {call.number: call for call in calls}
        (missing,) = find_missing([part], (), None, 1.0)
        return missing.cause

    def call(self, number: int, late_at_s: float, is_sent: bool) -> TargetCall:
        """Returns a call to a target that never replies."""
        return TargetCall(
            number,
            0,
            request(),
            target("t"),
            late_at_s,
            9.0,
            lambda *_: None,
            is_sent=is_sent,
        )

    def test_each_way_in_which_an_attempt_fails(self) -> None:
        name = TargetId("t")
        for failure, cause in (
            (NotRun(name, NotRunReason.PAUSED), MissingCause.TARGET_PAUSED),
            (NotRun(name, NotRunReason.WITHDRAWN), MissingCause.TARGET_WITHDRAWN),
            (NotRun(name, NotRunReason.OTHER_TARGET), MissingCause.TARGET_WITHDRAWN),
            (NotRun(name, NotRunReason.QUARANTINED), MissingCause.QUARANTINED),
            (NotRun(name, NotRunReason.ABANDONED), MissingCause.WAITED_FOR_CONNECTION),
            (Unknown(name, UnknownReason.TIMED_OUT), MissingCause.ALL_LATE),
            (reply("t", 504), MissingCause.ALL_LATE),
            (reply("t", 500), MissingCause.TARGET_FAILED),
        ):
            with self.subTest(failure):
                self.assertIs(self.cause(failure), cause)

    def test_a_hedge_that_waits_for_a_connection(self) -> None:
        late, waiting = self.call(1, 0.5, True), self.call(2, 2.0, False)
        self.assertIs(self.cause(None, late, waiting), MissingCause.HEDGE_WAITED)

    def test_an_attempt_after_one_that_was_never_sent_counts_as_the_first(self) -> None:
        withdrawn = NotRun(TargetId("t"), NotRunReason.WITHDRAWN)
        cause = self.cause(withdrawn, self.call(2, 2.0, True))
        self.assertIs(cause, MissingCause.HEDGE_NOT_DUE)

    def test_a_reply_in_the_inbox_was_there(self) -> None:
        part = Part(ServiceName("s"), open_calls={4: self.call(4, 0.5, True)})
        (missing,) = find_missing([part], {4}, None, clock.monotonic_s())
        self.assertIs(missing.cause, MissingCause.OWN_PROCESSOR)
