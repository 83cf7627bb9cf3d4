"""Tests of `lavendertide.overload.capacity_sharing`: few bytes, own observations."""

import unittest

from lavendertide.ids import TargetId
from lavendertide.overload.byte_budget import BYTES_PER_S
from lavendertide.overload.capacity_sharing import (
    FRAME_BYTES,
    INTERVAL_S,
    ITEM_BYTES,
    ITEMS_MAX,
    RECOVERY_SHARED_S,
    CapacityObservation,
    CapacitySharing,
    record_observation,
)
from lavendertide.overload.target_capacity import TargetCapacity


def observed(slowness: float, count: int, at_s: float) -> TargetCapacity:
    """Returns an estimate after some replies at one moment."""
    capacity = TargetCapacity()
    for _ in range(count):
        capacity.record_work(slowness, at_s)
    return capacity


class CapacitySharingTest(unittest.TestCase):
    """The bytes stay bounded at any fleet size and number of slow targets."""

    def setUp(self) -> None:
        self.sharing = CapacitySharing()

    def test_nothing_is_sent_while_nothing_deviates(self) -> None:
        usual = {TargetId(f"t{n}"): observed(1.2, 5, 1.0) for n in range(100)}
        self.assertEqual(self.sharing.select(usual.items(), 8, 1.0), ((), 0))

    def test_a_change_is_sent_at_once_and_then_at_intervals(self) -> None:
        slow = {TargetId("a"): observed(4.0, 5, 1.0)}
        items, reached = self.sharing.select(slow.items(), 8, 1.0)
        self.assertEqual((items[0].target, reached), ("a", 8))
        self.assertGreater(items[0].slowness_percent, 250)
        again = self.sharing.select(slow.items(), 8, 1.0 + 0.9 * INTERVAL_S)
        self.assertEqual(again, ((), 0))

    def test_what_peers_have_sent_is_not_passed_on(self) -> None:
        """Otherwise old news would circulate between hosts without end."""
        capacity = TargetCapacity()
        for _ in range(20):
            capacity.record_from_peer(4.0, 0.0, 1.0)
        pairs = [(TargetId("a"), capacity)]
        self.assertEqual(self.sharing.select(pairs, 8, 1.0), ((), 0))

    def test_the_bytes_of_any_second_are_bounded(self) -> None:
        for recipients in (1, 8, 62, 510):
            sharing = CapacitySharing()
            spent: list[tuple[float, int]] = []
            for step in range(100):
                now_s = 0.05 * step
                slow = {
                    TargetId(f"target-{n:04}"): observed(4.0, 5, now_s)
                    for n in range(200)
                }
                items, reached = sharing.select(slow.items(), recipients, now_s)
                self.assertLessEqual(len(items), ITEMS_MAX)
                self.assertLessEqual(reached, recipients)
                size = FRAME_BYTES + sum(ITEM_BYTES + len(i.target) for i in items)
                spent.append((now_s, reached * size if items else 0))
                recent = sum(size for at_s, size in spent if now_s - at_s < 0.999)
                self.assertLessEqual(recent, BYTES_PER_S)
            with self.subTest(recipients=recipients):
                self.assertGreater(sum(size for _, size in spent), BYTES_PER_S)

    def test_many_slow_targets_take_turns(self) -> None:
        told: set[str] = set()
        for step in range(40):
            now_s = INTERVAL_S * step * 1.01
            slow = {TargetId(f"t{n}"): observed(4.0, 5, now_s) for n in range(40)}
            items, _ = self.sharing.select(slow.items(), 8, now_s)
            told |= {item.target for item in items}
        self.assertEqual(len(told), 40)


class RecordObservationTest(unittest.TestCase):
    """False values and ages of peers are bounded."""

    def test_old_and_future_observations_are_dropped(self) -> None:
        for age_ms in (-1, 1_001, 2**31 - 1):
            capacity = TargetCapacity()
            item = CapacityObservation(TargetId("a"), 400, age_ms)
            with self.subTest(age_ms=age_ms):
                self.assertFalse(record_observation(capacity, item, 1.0))
                self.assertEqual(capacity.slowness(1.0), 1.0)

    def test_false_values_are_clamped(self) -> None:
        for percent in (-(2**31), 0, 2**31 - 1):
            capacity = TargetCapacity()
            item = CapacityObservation(TargetId("a"), percent, 0)
            with self.subTest(percent=percent):
                self.assertTrue(record_observation(capacity, item, 1.0))
                self.assertGreaterEqual(capacity.slowness(1.0), 0.25)
                self.assertLessEqual(capacity.slowness(1.0), 32.0)


class RecoveryTest(unittest.TestCase):
    """A host that finds a target recovered tells peers that still avoid it.

    Without it, a host avoids a target that it has found slow several times for some
    seconds after the target has recovered.
    """

    def setUp(self) -> None:
        self.capacity = TargetCapacity()
        for at_s in (0.0, 1.0, 3.0):
            self.capacity.record_work(6.0, at_s)

    def test_a_recovery_is_shared_for_a_limited_time(self) -> None:
        self.capacity.record_work(1.0, 6.0)
        pairs = [(TargetId("a"), self.capacity)]
        items, _ = CapacitySharing().select(pairs, 8, 6.1)
        self.assertEqual([item.slowness_percent for item in items], [100])
        later_s = 6.0 + 1.1 * RECOVERY_SHARED_S
        self.assertEqual(CapacitySharing().select(pairs, 8, later_s), ((), 0))

    def test_a_peers_recovery_ends_the_memory(self) -> None:
        self.assertGreater(self.capacity.slowness(4.0), 2.0)
        recovered = CapacityObservation(TargetId("a"), 110, 100)
        record_observation(self.capacity, recovered, 4.0)
        self.assertLess(self.capacity.slowness(4.0), 1.2)

    def test_a_recovery_before_the_own_last_reply_does_not_count(self) -> None:
        """While hosts disagree, a host's own recent replies weigh at least as much."""
        before = self.capacity.slowness(3.0)
        recovered = CapacityObservation(TargetId("a"), 110, 100)
        record_observation(self.capacity, recovered, 3.0)
        self.assertGreater(self.capacity.slowness(3.0), before**0.6)

    def test_an_own_reply_passes_a_peers_recovery_on(self) -> None:
        """Notices reach a few peers only, so the others have to learn it from them."""
        recovered = CapacityObservation(TargetId("a"), 110, 0)
        record_observation(self.capacity, recovered, 4.0)
        pairs = [(TargetId("a"), self.capacity)]
        self.assertEqual(CapacitySharing().select(pairs, 8, 4.1), ((), 0))
        self.capacity.record_work(1.0, 4.2)
        items, _ = CapacitySharing().select(pairs, 8, 4.3)
        self.assertEqual(len(items), 1)

    def test_a_recovery_finds_bytes_while_many_targets_vary(self) -> None:
        """It waited for up to half a second, as single slow replies used all bytes."""
        sharing = CapacitySharing()
        for step in range(41):
            now_s = 4.0 + 0.05 * step
            varying = [(TargetId(f"t{n}"), observed(4.0, 2, now_s)) for n in range(30)]
            sharing.select(varying, 8, now_s)
        self.capacity.record_work(1.0, 6.2)
        pairs = [(TargetId("a"), self.capacity), *varying]
        items, reached = sharing.select(pairs, 8, 6.25)
        self.assertIn(TargetId("a"), [item.target for item in items[:1]])
        self.assertEqual(reached, 8)
