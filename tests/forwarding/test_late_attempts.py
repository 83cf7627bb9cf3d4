"""Tests of `lavendertide.forwarding.run`: attempts that take longer than usual."""

import itertools

from lavendertide.forwarding.messages import (
    Failed,
    Passed,
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


class LateAttemptTest(VirtualTimeTestCase):
    """A late attempt is repeated, and holds nothing once it is not waited for."""

    def make(self) -> ScriptedForwarder:
        """Returns a world with one route."""
        return ScriptedForwarder(route(wait_max_s=0.4, objective_s=0.1))

    def test_a_straggler_is_repeated_and_peers_are_told(self) -> None:
        scripted = self.make()
        scripted.add("a", "desk", replies_after(0.35))
        self.assertIsInstance(scripted.forward(), Passed)
        scripted.add("b", "desk", replies())
        for _ in range(4):
            self.assertIsInstance(scripted.forward(), Passed)
        self.assertIn(TargetId("a"), scripted.stalls)

    def test_a_late_attempt_is_broken_off_once_another_has_answered(self) -> None:
        """The pattern: targets hang, and what nobody waits for holds their slots."""
        scripted = self.make()
        behaviour = in_turn(replies_after(0.39), replies())
        scripted.add("a", "desk", behaviour)
        scripted.add("b", "desk", behaviour)
        self.assertIsInstance(scripted.forward(), Passed)
        self.assertEqual(scripted.closed_count, 1)

    def test_a_late_attempt_that_was_broken_off_speaks_against_its_target(self) -> None:
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

    def test_what_was_broken_off_counts_among_the_times_of_its_route(self) -> None:
        """Else each repeat would make the next one earlier."""
        scripted = self.make()
        turns = itertools.cycle((closes_after(0.2), replies(), replies()))
        scripted.add("a", "desk", in_turn(*itertools.islice(turns, 150)))
        scripted.add("b", "desk", scripted.behaviours[TargetId("a")])
        for _ in range(60):
            scripted.forward()
            tasks.sleep(0.1)
        self.assertAlmostEqual(scripted.late_after_s, LATE_SHARE_MAX * 0.1, places=3)

    def test_it_is_told_from_a_connection_that_its_target_has_closed(self) -> None:
        scripted = self.make()
        behaviour = in_turn(closes_after(0.2), replies())
        scripted.add("a", "desk", behaviour)
        scripted.add("b", "desk", behaviour)
        with self.assertLogs("lavendertide.forwarding.forwarder", "INFO") as logs:
            scripted.forward()
            tasks.sleep(0.3)
        outcomes = [getattr(record, "outcome", None) for record in logs.records]
        self.assertEqual(outcomes, ["broken_off"])

    def test_an_attempt_that_is_not_late_is_left_to_end(self) -> None:
        scripted = self.make()
        behaviour = in_turn(replies_after(0.06), replies_after(0.1))
        scripted.add("a", "desk", behaviour)
        scripted.add("b", "desk", behaviour)
        self.assertIsInstance(scripted.forward(), Passed)
        self.assertEqual(len(scripted.called_targets), 2)
        self.assertEqual(scripted.closed_count, 0)

    def test_at_the_end_of_its_time_nothing_is_broken_off(self) -> None:
        scripted = self.make()
        scripted.add("a", "desk", replies_after(2.0))
        self.assertIsInstance(scripted.forward(), Failed)
        self.assertEqual(scripted.closed_count, 0)

    def test_a_repeat_that_is_lost_beside_a_straggler_is_made_again(self) -> None:
        """The pattern: one replica is slow while the other loses some answers."""
        scripted = self.make()
        behaviour = in_turn(replies_after(0.39), crashes, crashes, replies())
        scripted.add("a", "desk", behaviour)
        scripted.add("b", "desk", behaviour)
        began_s = clock.monotonic_s()
        self.assertIsInstance(scripted.forward(), Passed)
        self.assertLess(clock.monotonic_s() - began_s, 0.2)
        self.assertEqual(scripted.called_targets[1:], 3 * [scripted.called_targets[1]])
        self.assertNotEqual(scripted.called_targets[0], scripted.called_targets[1])

    def test_a_repeat_that_fails_before_the_first_is_late_is_not(self) -> None:
        scripted = self.make()
        scripted.add("a", "desk", in_turn(refuses, replies_after(0.02)))
        self.assertIsInstance(scripted.forward(), Passed)
        self.assertEqual(len(scripted.called_targets), 2)
