"""Tests of `lavendertide.forwarding.target_view`: who is asked next."""

import unittest

from lavendertide.forwarding.target_view import (
    AVOIDED_MAX_S,
    AVOIDED_MIN_S,
    DOWN_AFTER,
    EXCLUDED_S,
    NOTICE_S,
    TargetView,
    TargetViews,
)
from lavendertide.ids import TargetId
from standins.forwarding_records import LOCAL_DOMAIN, OTHER_DOMAIN, target

LATE_S = 0.05


class TargetViewsTest(unittest.TestCase):
    """The best target of a service is asked first."""

    def setUp(self) -> None:
        self.views = TargetViews(LOCAL_DOMAIN)
        self.near = target("near")
        self.far = target("far", failure_domain=OTHER_DOMAIN)

    def first(self, now_s: float) -> str:
        """Returns which of the two is asked first."""
        return self.views.rank_targets((self.far, self.near), now_s, 0.0)[0].target

    def of(self, name: str) -> TargetView:
        """Returns the view of one target."""
        return self.views.view_of(TargetId(name))

    def test_the_nearer_of_two_equal_ones_is_asked(self) -> None:
        self.assertEqual(self.first(0.0), "near")

    def test_a_burst_on_one_replica_goes_on_to_the_other(self) -> None:
        self.of("near").begin(1, 0.0, LATE_S)
        self.assertEqual(self.first(0.0), "near", "it has a slot left")
        self.of("near").begin(2, 0.0, LATE_S)
        self.assertEqual(self.first(0.0), "far")

    def test_a_slow_replica_is_left_alone_until_its_slowness_fades(self) -> None:
        for call in range(8):
            self.of("near").begin(call, 0.0, 1.0)
            self.of("near").record_reply(call, 0.02, 0.16)
        self.assertEqual(self.first(0.2), "far")
        self.assertEqual(self.first(30.0), "near")

    def test_a_replica_that_has_stopped_answering_is_avoided(self) -> None:
        self.of("near").begin(1, 0.0, LATE_S)
        self.of("far").begin(2, 0.0, 1.0)
        self.of("far").begin(3, 0.0, 1.0)
        self.assertEqual(self.first(0.04), "near")
        self.assertEqual(self.first(0.06), "far")

    def test_it_is_asked_again_as_soon_as_it_has_answered(self) -> None:
        self.of("near").begin(1, 0.0, LATE_S)
        self.of("near").record_reply(1, 0.2, 0.2)
        self.assertEqual(self.first(0.2), "near")

    def test_a_stall_that_a_peer_has_seen_counts_for_a_while(self) -> None:
        self.of("near").record_stall(0.0)
        self.assertEqual(self.first(NOTICE_S / 2), "far")
        self.assertEqual(self.first(NOTICE_S * 1.1), "near")

    def test_a_stall_of_a_target_that_was_never_asked_takes_no_memory(self) -> None:
        self.views.record_stall(TargetId("elsewhere"), 0.0)
        self.assertFalse(self.of("elsewhere").is_stalled(0.0))

    def test_one_failure_passes_work_on_until_it_fades(self) -> None:
        self.of("near").record_failure(1, 0.0)
        self.assertEqual(self.first(0.2), "far")
        self.assertEqual(self.first(2.0), "near")

    def test_failures_in_a_row_are_avoided_for_longer_each_time(self) -> None:
        for call in range(DOWN_AFTER):
            self.assertFalse(self.of("near").is_avoided(0.0))
            self.of("near").record_failure(call, 0.0)
        self.assertTrue(self.of("near").is_avoided(0.99 * AVOIDED_MIN_S))
        self.assertFalse(self.of("near").is_avoided(AVOIDED_MIN_S))
        self.of("near").record_failure(DOWN_AFTER, 2.0)
        self.assertTrue(self.of("near").is_avoided(2.0 + 1.99 * AVOIDED_MIN_S))
        for call in range(4, 20):
            self.of("near").record_failure(call, 4.0)
        self.assertFalse(self.of("near").is_avoided(4.0 + AVOIDED_MAX_S))

    def test_a_replica_that_loses_some_answers_is_left_to_itself(self) -> None:
        """The pattern: half of the targets lose a part of their answers."""
        for call, is_lost in enumerate((True, False, True, False)):
            self.of("near").begin(call, 0.0, LATE_S)
            if is_lost:
                self.of("near").record_failure(call, 0.01)
            else:
                self.of("near").record_reply(call, 0.02, 0.02)
        self.assertEqual(self.first(0.5), "far")
        self.assertEqual(self.first(10.0), "near")

    def test_a_replica_that_refuses_some_requests_is_left_to_itself(self) -> None:
        """The pattern: a part of the targets sheds load with slots free."""
        for call in range(2):
            self.of("near").record_refusal(call, 0.05, 0.0)
            self.of("near").record_reply(call, 0.02, 0.02)
        self.assertEqual(self.first(0.2), "far")
        self.assertEqual(self.first(10.0), "near")

    def test_one_that_loses_some_goes_before_one_that_is_slow(self) -> None:
        """The pattern: one replica is slow while the other loses some answers."""
        for call in range(8):
            self.of("far").begin(call, 0.0, 1.0)
            self.of("far").record_reply(call, 0.02, 0.2)
        self.of("near").record_failure(8, 0.2)
        self.of("near").record_reply(9, 0.02, 0.2)
        self.of("near").record_failure(10, 0.2)
        self.assertEqual(self.first(0.2), "near")

    def test_a_failing_target_is_still_asked_if_no_other_is_left(self) -> None:
        self.of("near").record_failure(1, 0.0)
        rank_targets = self.views.rank_targets((self.near,), 0.1, 0.0)
        self.assertEqual(rank_targets, [self.near])

    def test_one_whose_address_another_has_is_not_asked_at_all(self) -> None:
        self.of("near").record_replaced(1, 0.0)
        self.assertEqual(self.views.rank_targets((self.near,), 1.0, 0.0), [])
        rank_targets = self.views.rank_targets((self.near,), EXCLUDED_S + 1.0, 0.0)
        self.assertEqual(rank_targets, [self.near])
