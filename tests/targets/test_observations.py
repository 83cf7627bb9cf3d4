"""Tests of `lavendertide.targets.observations`."""

import unittest

from lavendertide.ids import IndexName, TargetId
from lavendertide.targets.observations import (
    EJECTION_MAX_S,
    EJECTION_MIN_S,
    LEAVING_KEPT_S,
    LOSSES_TO_EJECT,
    TARGETS_MAX,
    WARM_UP_S,
    WARM_UP_STEPS,
    Preference,
    TargetObservations,
)

INDEX = IndexName("i")
OTHER_INDEX = IndexName("j")
FIRST, SECOND, THIRD = TargetId("1"), TargetId("2"), TargetId("3")


class TargetObservationsTest(unittest.TestCase):
    """Losses eject a bounded share of the targets for a growing time."""

    def setUp(self) -> None:
        self.observations = TargetObservations()
        for target in (FIRST, SECOND, THIRD):
            self.observations.record_answer(target, INDEX, 0.0)

    def lose(self, target: TargetId, now_s: float) -> None:
        """Records as many losses in a row as eject a target."""
        for _ in range(LOSSES_TO_EJECT):
            self.observations.record_loss(target, INDEX, now_s)

    def preferences(self, target: TargetId, now_s: float) -> list[Preference]:
        """Returns the preferences for `WARM_UP_STEPS` queries."""
        return [
            self.observations.preference(target, now_s) for _ in range(WARM_UP_STEPS)
        ]

    def test_losses_between_answers_eject_no_target(self) -> None:
        for _ in range(10 * LOSSES_TO_EJECT):
            self.observations.record_loss(FIRST, INDEX, 0.0)
            self.observations.record_answer(FIRST, INDEX, 0.0)
        self.assertIs(self.observations.preference(FIRST, 0.0), Preference.USABLE)

    def test_consecutive_losses_eject_and_one_query_probes(self) -> None:
        self.lose(FIRST, 0.0)
        self.assertIs(self.observations.preference(FIRST, 0.5), Preference.AVOID)
        found = self.preferences(FIRST, EJECTION_MIN_S)
        self.assertEqual(found.count(Preference.USABLE), 1)

    def test_each_failed_probe_makes_the_next_ejection_longer(self) -> None:
        self.lose(FIRST, 0.0)
        now_s = EJECTION_MIN_S
        for failed in range(1, 8):
            self.assertIs(self.observations.preference(FIRST, now_s), Preference.USABLE)
            self.observations.record_loss(FIRST, INDEX, now_s)
            ejected_s = min(EJECTION_MAX_S, EJECTION_MIN_S * 2**failed)
            found = self.observations.preference(FIRST, now_s + ejected_s - 0.1)
            self.assertIs(found, Preference.AVOID)
            now_s += ejected_s

    def test_at_most_half_of_an_index_is_ejected(self) -> None:
        for target in (FIRST, SECOND, THIRD):
            self.lose(target, 0.0)
        found = [self.observations.preference(t, 0.5) for t in (FIRST, SECOND, THIRD)]
        self.assertEqual(found.count(Preference.AVOID), 1)

    def test_a_target_that_answers_again_gets_a_growing_share(self) -> None:
        self.lose(FIRST, 0.0)
        self.observations.preference(FIRST, EJECTION_MIN_S)
        self.observations.record_answer(FIRST, INDEX, EJECTION_MIN_S)
        shares = [
            self.preferences(FIRST, EJECTION_MIN_S + part * WARM_UP_S).count(
                Preference.USABLE
            )
            for part in (0.0, 0.5, 1.0)
        ]
        self.assertEqual(shares, [1, 5, WARM_UP_STEPS])

    def test_a_leaving_target_is_excluded_for_some_seconds(self) -> None:
        self.observations.record_leaving(FIRST, INDEX, 0.0)
        found = self.observations.preference(FIRST, LEAVING_KEPT_S - 0.1)
        self.assertIs(found, Preference.EXCLUDED)
        found = self.observations.preference(FIRST, LEAVING_KEPT_S)
        self.assertIs(found, Preference.USABLE)

    def test_memory_is_bounded(self) -> None:
        for number in range(TARGETS_MAX + 10):
            self.observations.record_leaving(TargetId(f"t{number}"), INDEX, 0.0)
        found = self.observations.preference(TargetId("t0"), 0.0)
        self.assertIs(found, Preference.USABLE)


class MovedTargetTest(unittest.TestCase):
    """A target that a newer configuration has moved to another index is observed on.

    Guards against searches that ended by an exception when the target answered.
    """

    def setUp(self) -> None:
        self.observations = TargetObservations()
        for target in (FIRST, SECOND, THIRD):
            self.observations.record_answer(target, INDEX, 0.0)
        for _ in range(LOSSES_TO_EJECT):
            self.observations.record_loss(FIRST, INDEX, 0.0)

    def test_its_answer_ends_the_ejection(self) -> None:
        self.observations.record_answer(FIRST, OTHER_INDEX, EJECTION_MIN_S)
        later_s = EJECTION_MIN_S + WARM_UP_S
        found = self.observations.preference(FIRST, later_s)
        self.assertIs(found, Preference.USABLE)

    def test_its_answer_leaves_room_for_the_ejection_of_another(self) -> None:
        self.observations.record_answer(FIRST, OTHER_INDEX, EJECTION_MIN_S)
        for _ in range(LOSSES_TO_EJECT):
            self.observations.record_loss(SECOND, INDEX, EJECTION_MIN_S)
        found = self.observations.preference(SECOND, EJECTION_MIN_S)
        self.assertIs(found, Preference.AVOID)
