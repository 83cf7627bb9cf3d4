"""Tests of `lavendertide.forwarding.run`: calls whose replies are late."""

import itertools

from lavendertide.forwarding.messages import (
    Failed,
    Passed,
    Response,
)
from lavendertide.forwarding.timing import LATE_SHARE_MAX
from lavendertide.ids import TargetId
from lavendertide.runtime import clock, tasks
from standins.forwarding_records import (
    route,
)
from tests.forwarding.scripted_targets import (
    ScriptedForwarder,
    closes_after,
    crashes,
    in_turn,
    refuses,
    replies,
    replies_after,
)
from tests.virtual_time import VirtualTimeTestCase


class LateCallTest(VirtualTimeTestCase):
    """A late call is hedged, and is cancelled once nobody waits for its reply."""

    def make(self) -> ScriptedForwarder:
        """Returns a forwarder with one route."""
        return ScriptedForwarder(route(wait_max_s=0.4, objective_s=0.1))

    def test_a_late_call_is_hedged_and_peers_are_notified(self) -> None:
        scripted = self.make()
        scripted.add("a", "desk", replies_after(0.35))
        self.assertIsInstance(scripted.forward(), Passed)
        scripted.add("b", "desk", replies())
        for _ in range(4):
            self.assertIsInstance(scripted.forward(), Passed)
        self.assertIn(TargetId("a"), scripted.stalls)

    def test_a_late_call_is_cancelled_once_another_target_has_replied(self) -> None:
        """Hanging calls that nobody waits for would hold slots of their targets."""
        scripted = self.make()
        behaviour = in_turn(replies_after(0.39), replies())
        scripted.add("a", "desk", behaviour)
        scripted.add("b", "desk", behaviour)
        self.assertIsInstance(scripted.forward(), Passed)
        self.assertEqual(scripted.closed_count, 1)

    def test_a_cancelled_late_call_counts_as_a_failure_of_its_target(self) -> None:
        scripted = self.make()
        behaviour = in_turn(closes_after(0.2), replies())
        scripted.add("a", "desk", behaviour)
        scripted.add("b", "desk", behaviour)
        scripted.forward()
        tasks.sleep(0.3)
        now_s = clock.monotonic_s()
        late, quick = (
            scripted.views.view_of(target) for target in scripted.called_targets
        )
        self.assertGreater(late.current_failure_rate(now_s), 0.0)
        self.assertEqual(quick.current_failure_rate(now_s), 0.0)

    def test_cancelled_calls_count_in_the_reply_times_of_the_route(self) -> None:
        """Without the slow replies, each hedge would make the next one earlier."""
        scripted = self.make()
        turns = itertools.cycle((closes_after(0.2), replies(), replies()))
        scripted.add("a", "desk", in_turn(*itertools.islice(turns, 150)))
        scripted.add("b", "desk", scripted.behaviours[TargetId("a")])
        for _ in range(60):
            scripted.forward()
            tasks.sleep(0.1)
        self.assertAlmostEqual(scripted.late_after_s, LATE_SHARE_MAX * 0.1, places=3)

    def test_a_cancelled_call_is_not_logged_as_closed_by_the_target(self) -> None:
        scripted = self.make()
        behaviour = in_turn(closes_after(0.2), replies())
        scripted.add("a", "desk", behaviour)
        scripted.add("b", "desk", behaviour)
        with self.assertLogs("lavendertide.forwarding.reply_recorder", "INFO") as logs:
            scripted.forward()
            tasks.sleep(0.3)
        outcomes = [getattr(record, "outcome", None) for record in logs.records]
        self.assertEqual(outcomes, ["broken_off"])

    def test_a_call_that_is_not_late_is_not_cancelled(self) -> None:
        scripted = self.make()
        behaviour = in_turn(replies_after(0.06), replies_after(0.1))
        scripted.add("a", "desk", behaviour)
        scripted.add("b", "desk", behaviour)
        self.assertIsInstance(scripted.forward(), Passed)
        self.assertEqual(len(scripted.called_targets), 2)
        self.assertEqual(scripted.closed_count, 0)

    def test_nothing_is_cancelled_at_the_end_of_the_time(self) -> None:
        scripted = self.make()
        scripted.add("a", "desk", replies_after(2.0))
        self.assertIsInstance(scripted.forward(), Failed)
        self.assertEqual(scripted.closed_count, 0)

    def test_a_hedge_that_fails_beside_a_late_call_is_retried(self) -> None:
        """One replica is slow while the other loses some replies."""
        scripted = self.make()
        behaviour = in_turn(replies_after(0.39), crashes, crashes, replies())
        scripted.add("a", "desk", behaviour)
        scripted.add("b", "desk", behaviour)
        began_s = clock.monotonic_s()
        self.assertIsInstance(scripted.forward(), Passed)
        self.assertLess(clock.monotonic_s() - began_s, 0.2)
        self.assertEqual(scripted.called_targets[1:], 3 * [scripted.called_targets[1]])
        self.assertNotEqual(scripted.called_targets[0], scripted.called_targets[1])

    def test_a_refusal_without_a_late_call_causes_one_repeat(self) -> None:
        scripted = self.make()
        scripted.add("a", "desk", in_turn(refuses, replies_after(0.02)))
        self.assertIsInstance(scripted.forward(), Passed)
        self.assertEqual(len(scripted.called_targets), 2)


class WithheldHedgeTest(VirtualTimeTestCase):
    """A hedge that the budget did not allow is sent once the budget allows it.

    Guards against a request that waits for a silent target to its time limit, since at
    the moment at which it became late the budget was spent.
    """

    def make(self, fixed: float) -> ScriptedForwarder:
        """Returns a forwarder with a silent target and a sound one."""
        scripted = ScriptedForwarder(
            route(wait_max_s=3.0, objective_s=0.1), fixed=fixed, window_s=0.2
        )
        for name in ("a", "b"):
            scripted.add(name, "desk", in_turn(replies_after(5.0), replies()))
        return scripted

    def test_it_is_sent_when_other_requests_have_earned_it(self) -> None:
        scripted = self.make(fixed=0.0)
        responses: list[Response] = []
        began_s = clock.monotonic_s()
        tasks.spawn(lambda: responses.append(scripted.forward()))
        tasks.sleep(0.06)
        self.assertEqual(len(scripted.called_targets), 1)
        for name in ("a", "b"):
            scripted.behaviours[TargetId(name)] = replies()
        for _ in range(8):
            scripted.forward()
        while not responses and clock.monotonic_s() < began_s + 0.2:
            tasks.sleep(0.01)
        self.assertIsInstance(responses[0], Passed)

    def test_it_is_logged_once_as_withheld(self) -> None:
        scripted = self.make(fixed=0.0)
        with self.assertLogs("lavendertide.forwarding.request_log", "INFO") as logs:
            self.assertIsInstance(scripted.forward(), Failed)
        withheld = [r for r in logs.records if "withheld" in r.getMessage()]
        self.assertEqual(len(withheld), 1)
