"""Tests of `lavendertide.warmup.cold_targets`."""

import unittest
from dataclasses import replace

from lavendertide.forwarding.target_view import TargetViews
from lavendertide.registry.record import TargetRecord
from lavendertide.routes.route import Service
from lavendertide.warmup.cold_targets import ColdTargets
from lavendertide.warmup.seen_runs import SEEN_MAX
from standins.forwarding_records import DESK, LOCAL_DOMAIN, target

A, B = target("a"), target("b")


def cold_entry(record: TargetRecord, left_ms: int | None) -> TargetRecord:
    """Returns a target's entry that says for how long it remains cold."""
    return replace(record, cold_left_ms=left_ms)


def cold_targets(per_s: float, part: int = 2) -> ColdTargets:
    """Returns cold targets of which this host may send `part` requests a window."""
    service = Service(DESK, 24, cold_start_s=6.0, cold_per_s=per_s)
    return ColdTargets(lambda _: service, lambda *_: part)


class ColdnessTest(unittest.TestCase):
    """Guards against a cold target that is taken for a warm one."""

    def setUp(self) -> None:
        self.cold = cold_targets(10.0)
        self.cold.record_published((A,), 0.0)

    def test_an_entry_counts_until_its_time_is_over(self) -> None:
        self.cold.record_published((cold_entry(A, 4_000),), 1.0)
        self.assertTrue(self.cold.is_cold(A, 4.9))
        self.assertFalse(self.cold.is_cold(A, 5.0))

    def test_an_older_copy_does_not_end_it_early(self) -> None:
        self.cold.record_notice(A.run, 4.0, 1.0)
        self.cold.record_published((cold_entry(A, 0),), 1.1)
        self.assertTrue(self.cold.is_cold(A, 4.9))

    def test_it_may_become_cold_again(self) -> None:
        self.cold.record_notice(A.run, 1.0, 1.0)
        self.assertFalse(self.cold.is_cold(A, 3.0))
        self.cold.record_notice(A.run, 1.0, 3.0)
        self.assertTrue(self.cold.is_cold(A, 3.5))

    def test_a_run_that_appears_during_traffic_is_taken_for_cold(self) -> None:
        self.assertFalse(self.cold.is_cold(A, 0.0))
        later_run = target("a", started_at_ms=9)
        self.cold.record_published((B, later_run), 1.0)
        for record in (B, later_run):
            self.assertTrue(self.cold.is_cold(record, 6.9))
            self.assertFalse(self.cold.is_cold(record, 7.0))

    def test_not_if_its_entry_says_that_it_is_warm(self) -> None:
        self.cold.record_published((cold_entry(B, 0),), 1.0)
        self.assertFalse(self.cold.is_cold(B, 1.0))

    def test_a_run_whose_entry_had_lapsed_is_no_new_one(self) -> None:
        self.cold.record_published((), 1.0)
        self.cold.record_published((A,), 60.0)
        self.assertFalse(self.cold.is_cold(A, 60.0))

    def test_targets_that_come_and_go_make_no_other_one_a_new_one(self) -> None:
        """Guards against a target that has run for weeks and is then taken for cold."""
        for number in range(SEEN_MAX + 1):
            passing = cold_entry(target(f"t{number}"), 0)
            self.cold.record_published((passing,), 1.0)
            self.cold.record_withdrawn(passing.target)
        self.cold.record_published((A,), 60.0)
        self.assertFalse(self.cold.is_cold(A, 60.0))

    def test_nor_do_those_that_a_later_complete_list_no_longer_has(self) -> None:
        for number in range(SEEN_MAX + 1):
            passing = cold_entry(target(f"t{number}"), 0)
            self.cold.record_published((passing,), 1.0)
            if not number % 4_096:
                self.cold.record_complete((A,), 1.0)
        self.cold.record_published((A,), 60.0)
        self.assertFalse(self.cold.is_cold(A, 60.0))

    def test_a_run_of_a_service_without_an_allowance_is_taken_for_warm(self) -> None:
        cold = cold_targets(0.0)
        cold.record_published((), 0.0)
        cold.record_published((B,), 1.0)
        self.assertFalse(cold.is_cold(B, 1.0))

    def test_peers_get_the_time_that_is_left_now(self) -> None:
        entry = cold_entry(A, 4_000)
        self.cold.record_published((entry,), 1.0)
        (copy,) = self.cold.with_present_left((entry,), 2.0)
        self.assertEqual(copy.cold_left_ms, 3_000)
        (copy,) = self.cold.with_present_left((entry,), 9.0)
        self.assertEqual(copy.cold_left_ms, 0)


class AllowanceTest(unittest.TestCase):
    """Guards against a cold target that this host sends more than its part."""

    def setUp(self) -> None:
        self.cold = cold_targets(10.0)
        self.cold.record_notice(A.run, 5.0, 0.0)

    def send(self, now_s: float) -> bool:
        """Sends a request to the cold target, if it may be sent."""
        return self.cold.try_send(A, now_s)

    def test_it_returns_one_window_after_each_request(self) -> None:
        sent = [self.send(now_s) for now_s in (0.0, 0.5, 0.75, 1.0, 1.25, 1.3)]
        self.assertEqual(sent, [True, True, False, False, True, False])
        self.assertAlmostEqual(self.cold.wait_s(A, 1.3), 0.2)

    def test_what_was_sent_counts_if_the_target_is_cold_again(self) -> None:
        self.assertTrue(self.send(4.7) and self.send(4.8))
        self.cold.record_notice(A.run, 5.0, 5.5)
        self.assertFalse(self.send(5.6))

    def test_a_warm_target_and_one_without_an_allowance_have_no_limit(self) -> None:
        free = cold_targets(0.0)
        free.record_notice(A.run, 5.0, 0.0)
        self.assertTrue(all(free.try_send(A, 1.0) for _ in range(9)))
        self.assertTrue(all(self.send(5.0) for _ in range(9)))

    def test_a_host_without_a_part_waits_for_that_of_others(self) -> None:
        cold = cold_targets(10.0, part=0)
        cold.record_notice(A.run, 5.0, 0.0)
        self.assertFalse(cold.try_send(A, 0.0))
        self.assertEqual(cold.wait_s(A, 0.0), 1.0)
        self.assertEqual(cold.wait_s(A, 4.75), 0.25)


class RankTest(unittest.TestCase):
    """Guards against cold targets that get requests which warm ones could serve."""

    def setUp(self) -> None:
        self.views = TargetViews(LOCAL_DOMAIN)

    def rank(self, cold: ColdTargets, now_s: float = 1.0) -> list[str]:
        """Returns the order of the cold target `a` and the warm target `b`."""
        ranked = cold.rank([A, B], self.views.view_of, now_s)
        return [record.target for record in ranked]

    def make(self, per_s: float) -> ColdTargets:
        """Returns cold targets of which `a` is one."""
        cold = cold_targets(per_s)
        cold.record_notice(A.run, 5.0, 0.0)
        return cold

    def reply(self, took_s: float, now_s: float) -> None:
        """Records a reply of the cold target, whose route usually takes 0.1 s."""
        view = self.views.view_of(A.target)
        view.record_sent(1, now_s - took_s, 1.0)
        view.record_reply(1, 0.1, now_s)

    def test_without_cold_targets_nothing_changes(self) -> None:
        ranked = [A, B]
        self.assertIs(ColdTargets().rank(ranked, self.views.view_of, 1.0), ranked)

    def test_warm_ones_come_first_while_they_have_capacity(self) -> None:
        for per_s in (10.0, 0.0):
            cold = self.make(per_s)
            self.assertEqual(self.rank(cold), ["b", "a"])
            self.assertEqual(self.rank(cold, 5.0), ["a", "b"])
        view = self.views.view_of(B.target)
        view.record_sent(1, 1.0, 9.0)
        view.record_sent(2, 1.0, 9.0)
        self.assertEqual(self.rank(self.make(10.0)), ["a", "b"])

    def test_one_whose_allowance_is_used_up_is_left_out(self) -> None:
        cold = self.make(10.0)
        self.assertTrue(cold.try_send(A, 1.0) and cold.try_send(A, 1.0))
        self.assertEqual(self.rank(cold), ["b"])

    def test_without_an_allowance_its_own_replies_decide(self) -> None:
        cold = self.make(0.0)
        self.reply(0.1, 1.0)
        self.assertEqual(self.rank(cold), ["a", "b"])
        self.reply(0.9, 1.0)
        self.assertEqual(self.rank(cold), ["b", "a"])

    def test_replies_from_before_it_was_cold_do_not_count(self) -> None:
        cold = self.make(0.0)
        self.reply(0.1, 1.0)
        cold.record_notice(A.run, 5.0, 6.0)
        self.assertEqual(self.rank(cold, 7.0), ["b", "a"])
