"""Tests of `lavendertide.forwarding.target_view`: the ranking of targets."""

import unittest

from lavendertide.forwarding.target_view import (
    AVOIDED_MAX_S,
    AVOIDED_MIN_S,
    DOWN_AFTER_FAILURES,
    REPLACED_EXCLUSION_S,
    STALL_NOTICE_S,
    TargetView,
    TargetViews,
)
from lavendertide.ids import TargetId
from lavendertide.overload.reported_load import ReportedLoad
from standins.forwarding_records import LOCAL_DOMAIN, OTHER_DOMAIN, target

LATE_S = 0.05


class TargetViewsTest(unittest.TestCase):
    """The best target of a service is ranked first."""

    def setUp(self) -> None:
        self.views = TargetViews(LOCAL_DOMAIN)
        self.near = target("near")
        self.far = target("far", failure_domain=OTHER_DOMAIN)

    def best(self, now_s: float) -> str:
        """Returns which of the two targets is ranked first."""
        return self.views.rank_targets((self.far, self.near), now_s, 0.0)[0].target

    def view_of(self, name: str) -> TargetView:
        """Returns the view of a target."""
        return self.views.view_of(TargetId(name))

    def test_a_target_in_the_same_failure_domain_is_preferred(self) -> None:
        self.assertEqual(self.best(0.0), "near")

    def test_a_burst_overflows_to_the_other_replica(self) -> None:
        self.view_of("near").record_sent(1, 0.0, LATE_S)
        self.assertEqual(self.best(0.0), "near", "it has a slot left")
        self.view_of("near").record_sent(2, 0.0, LATE_S)
        self.assertEqual(self.best(0.0), "far")

    def test_a_slow_replica_is_avoided_until_its_slowness_decays(self) -> None:
        for call in range(8):
            self.view_of("near").record_sent(call, 0.0, 1.0)
            self.view_of("near").record_reply(call, 0.02, 0.16)
        self.assertEqual(self.best(0.2), "far")
        self.assertEqual(self.best(30.0), "near")

    def test_a_replica_that_has_stopped_replying_is_avoided(self) -> None:
        self.view_of("near").record_sent(1, 0.0, LATE_S)
        self.view_of("far").record_sent(2, 0.0, 1.0)
        self.view_of("far").record_sent(3, 0.0, 1.0)
        self.assertEqual(self.best(0.04), "near")
        self.assertEqual(self.best(0.06), "far")

    def test_a_stalled_replica_is_preferred_again_after_its_reply(self) -> None:
        self.view_of("near").record_sent(1, 0.0, LATE_S)
        self.view_of("near").record_reply(1, 0.2, 0.2)
        self.assertEqual(self.best(0.2), "near")

    def test_a_stall_notice_of_a_peer_counts_for_a_limited_time(self) -> None:
        self.view_of("near").record_stall(0.0)
        self.assertEqual(self.best(STALL_NOTICE_S / 2), "far")
        self.assertEqual(self.best(STALL_NOTICE_S * 1.1), "near")

    def test_a_stall_notice_creates_no_view_of_an_unused_target(self) -> None:
        self.views.record_stall(TargetId("elsewhere"), 0.0)
        self.assertFalse(self.view_of("elsewhere").is_stalled(0.0))

    def test_one_failure_shifts_requests_until_it_decays(self) -> None:
        self.view_of("near").record_failure(1, 0.0)
        self.assertEqual(self.best(0.2), "far")
        self.assertEqual(self.best(2.0), "near")

    def test_each_further_failure_in_a_row_is_avoided_for_longer(self) -> None:
        for call in range(DOWN_AFTER_FAILURES):
            self.assertFalse(self.view_of("near").is_avoided(0.0))
            self.view_of("near").record_failure(call, 0.0)
        self.assertTrue(self.view_of("near").is_avoided(0.99 * AVOIDED_MIN_S))
        self.assertFalse(self.view_of("near").is_avoided(AVOIDED_MIN_S))
        self.view_of("near").record_failure(DOWN_AFTER_FAILURES, 2.0)
        self.assertTrue(self.view_of("near").is_avoided(2.0 + 1.99 * AVOIDED_MIN_S))
        for call in range(4, 20):
            self.view_of("near").record_failure(call, 4.0)
        self.assertFalse(self.view_of("near").is_avoided(4.0 + AVOIDED_MAX_S))

    def test_a_replica_that_loses_some_replies_is_ranked_lower(self) -> None:
        """Half of the targets lose a part of their replies."""
        for call, is_lost in enumerate((True, False, True, False)):
            self.view_of("near").record_sent(call, 0.0, LATE_S)
            if is_lost:
                self.view_of("near").record_failure(call, 0.01)
            else:
                self.view_of("near").record_reply(call, 0.02, 0.02)
        self.assertEqual(self.best(0.5), "far")
        self.assertEqual(self.best(10.0), "near")

    def test_a_replica_that_refuses_some_requests_is_ranked_lower(self) -> None:
        """Some targets refuse requests although they have free slots."""
        for call in range(2):
            self.view_of("near").record_refusal(call, 0.05, 0.0)
            self.view_of("near").record_reply(call, 0.02, 0.02)
        self.assertEqual(self.best(0.2), "far")
        self.assertEqual(self.best(10.0), "near")

    def test_a_replica_that_loses_some_replies_ranks_before_a_slow_one(self) -> None:
        """One replica is slow while the other loses some replies."""
        for call in range(8):
            self.view_of("far").record_sent(call, 0.0, 1.0)
            self.view_of("far").record_reply(call, 0.02, 0.2)
        self.view_of("near").record_failure(8, 0.2)
        self.view_of("near").record_reply(9, 0.02, 0.2)
        self.view_of("near").record_failure(10, 0.2)
        self.assertEqual(self.best(0.2), "near")

    def test_a_failing_target_is_still_used_if_there_is_no_other(self) -> None:
        self.view_of("near").record_failure(1, 0.0)
        ranked = self.views.rank_targets((self.near,), 0.1, 0.0)
        self.assertEqual(ranked, [self.near])

    def test_a_target_whose_address_was_taken_over_is_excluded(self) -> None:
        self.view_of("near").record_replaced(1, 0.0)
        self.assertEqual(self.views.rank_targets((self.near,), 1.0, 0.0), [])
        ranked = self.views.rank_targets((self.near,), REPLACED_EXCLUSION_S + 1.0, 0.0)
        self.assertEqual(ranked, [self.near])


class LateCallTest(unittest.TestCase):
    """A long queue isn't taken for a stall, where the target reports its load.

    All hosts would avoid a busy target at once, and its replicas would be next.
    """

    def setUp(self) -> None:
        self.view = TargetView()

    def send_at(self, load: ReportedLoad | None) -> None:
        """Sends a call at time 0 to a target that has reported a load."""
        if load is not None:
            self.view.capacity.record_load(load, 0.0)
        self.view.record_sent(1, 0.0, LATE_S)

    def test_without_a_report_a_late_call_shows_a_stall(self) -> None:
        self.send_at(None)
        self.assertFalse(self.view.is_stalled(0.99 * LATE_S))
        self.assertTrue(self.view.is_stalled(LATE_S))

    def test_a_late_call_at_an_idle_target_shows_a_stall(self) -> None:
        self.send_at(ReportedLoad(1, 0, 4))
        self.assertTrue(self.view.is_stalled(LATE_S))

    def test_a_late_call_in_a_reported_queue_shows_none_until_it_is_done(self) -> None:
        self.send_at(ReportedLoad(2, 4, 2))
        self.assertFalse(self.view.is_stalled(1.1 * LATE_S))
        self.assertTrue(self.view.is_stalled(5.0 * LATE_S))

    def test_an_old_report_explains_nothing(self) -> None:
        self.send_at(ReportedLoad(2, 100, 2))
        self.assertFalse(self.view.is_stalled(0.4))
        self.assertTrue(self.view.is_stalled(0.6))


class WaitingForConnectionTest(unittest.TestCase):
    """Calls that wait for one of this host's connections say nothing of the target.

    A host of a large fleet has one connection to each target. Calls behind another one
    were taken for a stall of the target, which all hosts then avoided, and their
    wait for work of the target.
    """

    def setUp(self) -> None:
        self.views = TargetViews(LOCAL_DOMAIN)
        self.near = target("near")
        self.far = target("far", failure_domain=OTHER_DOMAIN)
        self.view = self.views.view_of(self.near.target)
        self.view.record_sent(1, 0.0, LATE_S, connections_max=1)
        self.view.record_sent(2, 0.0, LATE_S, connections_max=1)

    def test_its_wait_shows_no_stall(self) -> None:
        self.view.record_reply(1, 0.02, 0.04)
        self.view.record_connected(2, 0.04)
        self.assertFalse(self.view.is_stalled(1.5 * LATE_S))
        self.assertTrue(self.view.is_stalled(0.04 + LATE_S))

    def test_its_wait_is_no_work_of_the_target(self) -> None:
        self.view.record_reply(1, 0.02, 0.02)
        self.view.record_connected(2, 0.02)
        self.view.record_reply(2, 0.02, 0.04)
        self.assertAlmostEqual(self.view.current_slowness(0.04), 1.0)

    def test_a_call_that_was_never_sent_shows_nothing(self) -> None:
        self.view.record_reply(1, 0.02, 0.02)
        self.view.record_late(2, 0.02, 1.0)
        self.assertAlmostEqual(self.view.current_slowness(1.0), 1.0)

    def test_the_next_call_is_expected_after_those_that_wait(self) -> None:
        """The free slots of a target don't help a host without a free connection."""
        self.view.discard_call(2)
        first = self.views.rank_targets((self.near, self.far), 0.0, 0.0)[0]
        self.assertEqual(first.target, self.far.target)
