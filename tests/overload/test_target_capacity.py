"""Tests of `lavendertide.overload.target_capacity` under the loads that it names."""

import random
import statistics
import unittest

from lavendertide.ids import ServiceName
from lavendertide.overload.reported_load import ReportedLoad
from lavendertide.overload.target_capacity import (
    LOAD_LIFETIME_S,
    SLOWNESS_MAX,
    SLOWNESS_MIN,
    TargetCapacity,
)
from lavendertide.overload.usual_times import UsualTimes

SLOTS = 4


class SlownessTest(unittest.TestCase):
    """Changes show within 300 ms and are forgotten within a second."""

    def setUp(self) -> None:
        self.capacity = TargetCapacity()

    def record(self, ratio: float, from_s: float, count: int, step_s: float) -> float:
        """Records equal times at equal intervals; returns the time of the last one."""
        for number in range(count):
            self.capacity.record_work(ratio, from_s + number * step_s)
        return from_s + (count - 1) * step_s

    def test_a_target_four_times_slower_shows_within_300_ms(self) -> None:
        self.record(1.0, 0.0, 100, 0.1)
        at_s = self.record(4.0, 10.0, 4, 0.08)
        self.assertLessEqual(at_s, 10.3)
        self.assertGreater(self.capacity.slowness(at_s), 2.0)

    def test_it_counts_as_usual_after_a_second_without_evidence(self) -> None:
        """Otherwise a recovered target that nobody uses stays slow for ever."""
        at_s = self.record(4.0, 0.0, 8, 0.1)
        self.assertGreater(self.capacity.slowness(at_s), 2.5)
        self.assertLess(self.capacity.slowness(at_s + 1.0), 1.5)

    def test_a_lasting_difference_in_speed_outlives_idle_seconds(self) -> None:
        """Servers of 0.8 and 1.3 times the usual speed take turns with idle times."""
        for speed, least, most in ((0.8, 1.1, 1.4), (1.3, 0.65, 0.9)):
            estimates = []
            for seed in range(20):
                generator = random.Random(seed)
                capacity = TargetCapacity()
                for number in range(200):
                    work = generator.gammavariate(4.0, 0.25) * 1.13
                    capacity.record_work(work / speed, 0.1 * number)
                estimates.append(capacity.slowness(22.0))
            with self.subTest(speed=speed):
                self.assertGreater(statistics.fmean(estimates), least)
                self.assertLess(statistics.fmean(estimates), most)

    def test_one_disturbed_reply_does_not_count_in_full(self) -> None:
        self.record(1.0, 0.0, 20, 0.05)
        self.capacity.record_work(10.0, 1.0)
        self.assertLess(self.capacity.slowness(1.0), 2.5)

    def test_late_calls_only_raise_the_estimate(self) -> None:
        at_s = self.record(4.0, 0.0, 8, 0.05)
        before = self.capacity.slowness(at_s)
        self.capacity.record_late(1.5, at_s)
        self.assertEqual(self.capacity.slowness(at_s), before)
        self.capacity.record_late(12.0, at_s)
        self.assertGreater(self.capacity.slowness(at_s), before)

    def test_outliers_and_false_values_of_peers_are_bounded(self) -> None:
        for value in (0.0, 1e-9, 1e9):
            capacity = TargetCapacity()
            for _ in range(50):
                capacity.record_from_peer(value, 0.0, 1.0)
                capacity.record_work(value, 1.0)
            with self.subTest(value=value):
                self.assertGreaterEqual(capacity.slowness(1.0), SLOWNESS_MIN)
                self.assertLessEqual(capacity.slowness(1.0), SLOWNESS_MAX)

    def test_old_observations_of_peers_weigh_less(self) -> None:
        self.capacity.record_from_peer(4.0, 0.9, 1.0)
        old = self.capacity.slowness(1.0)
        other = TargetCapacity()
        other.record_from_peer(4.0, 0.0, 1.0)
        self.assertLess(old, other.slowness(1.0))
        self.assertEqual(other.own_slowness(1.0), 1.0, "it isn't passed on")


class SlowTrialsTest(unittest.TestCase):
    """A slow target is tried less often while trials show that it is slow still.

    Each host tried every slow target about once a second, so that a search over 90
    shards had several sub-requests at slow targets.
    """

    def trials(self, ratio: float, lasts_s: float) -> int:
        """Returns how many requests a target gets that seems usual."""
        capacity = TargetCapacity()
        trials = 0
        for step in range(round(lasts_s / 0.05)):
            now_s = 0.05 * step
            if capacity.slowness(now_s) < 1.4:
                capacity.record_work(ratio, now_s)
                trials += 1
        return trials

    def test_few_trials_show_that_a_target_is_slow(self) -> None:
        self.assertLessEqual(self.trials(6.0, 6.0), 4)

    def test_it_is_tried_for_as_long_as_it_is_slow(self) -> None:
        """Otherwise a recovered target that nobody uses stays slow for ever."""
        self.assertGreaterEqual(self.trials(6.0, 60.0), 6)

    def test_a_usual_reply_ends_the_memory_at_once(self) -> None:
        capacity = TargetCapacity()
        for at_s in (0.0, 1.0, 3.0, 9.0):
            capacity.record_work(6.0, at_s)
        self.assertGreater(capacity.slowness(9.2), 2.0)
        capacity.record_work(1.0, 9.2)
        self.assertLess(capacity.slowness(9.2), 1.1)
        capacity.record_work(6.0, 20.0)
        self.assertLess(capacity.slowness(21.0), 1.4, "it starts again")

    def test_one_slow_reply_in_an_idle_time_is_forgotten_within_a_second(self) -> None:
        """A pause of a target delays one reply of a host that uses it seldom."""
        capacity = TargetCapacity()
        for number in range(20):
            capacity.record_work(1.0, 0.5 * number)
        capacity.record_work(10.0, 10.0)
        self.assertLess(capacity.slowness(11.0), 1.2)


class ReportedQueueTest(unittest.TestCase):
    """The expected completion time follows a fresh report, not an old one."""

    def setUp(self) -> None:
        self.capacity = TargetCapacity()

    def test_a_reported_queue_counts_for_half_a_second(self) -> None:
        self.capacity.record_load(ReportedLoad(SLOTS, 8, SLOTS), 0.0)
        fresh = self.capacity.expected_time(0, SLOTS, 0.0)
        self.assertAlmostEqual(fresh, 1.0 + 12 / SLOTS)
        self.assertLess(self.capacity.expected_time(0, SLOTS, 0.25), fresh)
        old_s = 1.01 * LOAD_LIFETIME_S
        self.assertAlmostEqual(self.capacity.expected_time(0, SLOTS, old_s), 1.0)

    def test_requests_since_the_report_count_in_addition(self) -> None:
        """Otherwise all requests between two reports go to the same idle target."""
        self.capacity.record_load(ReportedLoad(0, 0, SLOTS), 0.0)
        before = self.capacity.expected_time(0, SLOTS, 0.0)
        self.capacity.record_sent()
        self.assertGreater(self.capacity.expected_time(1, SLOTS, 0.0), before)

    def test_a_reported_work_time_counts_like_an_observation(self) -> None:
        self.capacity.record_load(ReportedLoad(0, 0, SLOTS, 400), 0.0)
        self.assertGreater(self.capacity.slowness(0.0), 1.9)


class CrowdingTest(unittest.TestCase):
    """Targets that slow down before they are full get fewer concurrent requests."""

    def learn(self, crowded_factor: float, disturbed_share: float) -> TargetCapacity:
        """Returns the estimate after replies at low and at high load."""
        generator = random.Random(2)
        capacity = TargetCapacity()
        for number in range(400):
            running = generator.randint(1, SLOTS)
            ratio = generator.gammavariate(4.0, 0.25)
            ratio *= crowded_factor if 2 * running > SLOTS else 1.0
            ratio *= 2.5 if generator.random() < disturbed_share else 1.0
            now_s = 0.05 * number
            capacity.record_load(ReportedLoad(running, 0, SLOTS), now_s)
            capacity.record_work(ratio, now_s)
        return capacity

    def test_the_rise_is_learned_despite_disturbances(self) -> None:
        self.assertGreater(self.learn(2.0, 0.15).crowding, 1.6)
        self.assertLess(self.learn(1.0, 0.15).crowding, 1.3)

    def test_a_crowded_target_is_expected_to_take_longer(self) -> None:
        """At high load only, as its few requests are served as fast as elsewhere."""
        crowded, steady = self.learn(2.0, 0.0), self.learn(1.0, 0.0)
        later_s = 60.0
        for capacity in (crowded, steady):
            capacity.record_load(ReportedLoad(3, 0, SLOTS), later_s)
        self.assertGreater(
            crowded.expected_time(0, SLOTS, later_s),
            1.25 * steady.expected_time(0, SLOTS, later_s),
        )


class UsualTimesTest(unittest.TestCase):
    """The mix of routes and shards doesn't make a target look slow."""

    def test_each_service_has_its_own_usual_time(self) -> None:
        times = UsualTimes()
        light, heavy = ServiceName("light"), ServiceName("heavy")
        self.assertIsNone(times.usual_s(light))
        for _ in range(200):
            times.observe(light, 0.01)
            times.observe(heavy, 0.08)
        self.assertAlmostEqual(times.usual_s(light) or 0.0, 0.01, delta=0.002)
        self.assertAlmostEqual(times.usual_s(heavy) or 0.0, 0.08, delta=0.016)

    def test_pauses_do_not_raise_it(self) -> None:
        times, service = UsualTimes(), ServiceName("light")
        generator = random.Random(3)
        for _ in range(500):
            is_paused = generator.random() < 0.05
            times.observe(service, 0.2 if is_paused else 0.02)
        self.assertLess(times.usual_s(service) or 1.0, 0.025)
