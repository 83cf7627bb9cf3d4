"""Tests of `lavendertide.overload.shared_overload`, without a network."""

import itertools
import random
import unittest
from dataclasses import replace
from typing import Final

from lavendertide.ids import DaemonId
from lavendertide.overload.delay_observations import Observation
from lavendertide.overload.priority_admission import PriorityAdmission
from lavendertide.overload.shared_overload import (
    AGE_MAX_S,
    BYTES_PER_S,
    FRAME_BYTES,
    ITEM_BYTES,
    ITEMS_MAX,
    OverloadObservation,
    OverloadSharing,
    SharedOverload,
)
from tests.overload.test_priority_admission import (
    BATCH,
    OBJECTIVE_S,
    ROUTES,
    UNLOADED_S,
    URGENT,
    AdmissionTestCase,
)

DELAYED: Final = OverloadObservation(0, 400, 4, 0, 600, 550, False, 300)
FAST: Final = replace(DELAYED, pressure_percent=0, took_ms=50, queued_ms=0)
PEERS: Final = tuple(DaemonId(f"p{number}") for number in range(8))


def own(at_s: float, pressure: float = 4.0) -> Observation:
    """Returns an observation of a request of this host."""
    return Observation(at_s - 0.6, at_s - 0.55, at_s, 0.55, pressure, 4, False)


class PeersReportsTest(AdmissionTestCase):
    """Reports of several peers thin requests, those of one never do."""

    def report(
        self, peers: tuple[DaemonId, ...], item: OverloadObservation, rounds: int = 5
    ) -> None:
        """Receives one report of each peer in each of some rounds of 0.15 s."""
        for _ in range(rounds):
            self.now_s += 0.15
            for peer in peers:
                self.admission.record_from_peer(peer, item, self.now_s)

    def test_a_host_without_requests_thins_by_what_peers_report(self) -> None:
        """Otherwise a host with few requests notices the overload seconds late."""
        self.report(PEERS, DELAYED)
        self.assertEqual(self.shares()[0], 1.0)
        self.assertLess(self.shares()[2], 0.2)

    def test_a_host_that_has_just_started_uses_reports(self) -> None:
        self.admission = PriorityAdmission(ROUTES, random.Random(1), self.now_s)
        self.report(PEERS, DELAYED)
        self.assertLess(self.shares()[2], 0.2)

    def test_one_or_two_hosts_cause_no_refusal(self) -> None:
        """The processor or link of a reporting host may be the bottleneck."""
        for peers in (PEERS[:1], PEERS[:2]):
            with self.subTest(peers=len(peers)):
                self.setUp()
                self.report(peers, DELAYED, rounds=40)
                self.assertEqual(self.shares(), (1.0, 1.0, 1.0))

    def test_one_host_beside_fast_ones_causes_no_refusal(self) -> None:
        """The slow host reports far more than the others."""
        for _ in range(40):
            self.report(PEERS[:1], DELAYED, rounds=1)
            self.report(PEERS[1:], FAST, rounds=1)
            self.send(BATCH, UNLOADED_S)
        self.assertEqual(self.shares(), (1.0, 1.0, 1.0))

    def test_a_level_below_the_own_one_of_a_single_peer_is_not_taken_over(self) -> None:
        self.report(PEERS[:1], replace(FAST, level_percent=0))
        self.assertEqual(self.shares(), (1.0, 1.0, 1.0))

    def test_the_level_of_most_peers_is_taken_over(self) -> None:
        """A host that saw no request during the delay would go on admitting all."""
        self.report(PEERS, replace(FAST, level_percent=100))
        self.assertEqual(self.shares()[0], 1.0)
        self.assertAlmostEqual(self.shares()[2], 0.1)

    def test_old_or_impossible_values_do_not_count(self) -> None:
        for item in (
            replace(DELAYED, age_ms=round(1_000 * AGE_MAX_S)),
            replace(DELAYED, age_ms=-1),
            replace(DELAYED, queued_ms=700),
            replace(DELAYED, queued_ms=-1),
            replace(DELAYED, weight=0),
            replace(DELAYED, pressure_percent=-1),
            replace(DELAYED, level_percent=-1),
        ):
            with self.subTest(item=item):
                self.setUp()
                self.report(PEERS, item)
                self.assertEqual(self.shares(), (1.0, 1.0, 1.0))

    def test_repeats_are_left_to_urgent_routes_while_a_delay_is_known(self) -> None:
        """Hedges of less urgent routes would use up the budget of the service."""
        self.assertTrue(self.admission.allows_repeats(BATCH, self.now_s))
        self.report(PEERS[:2], DELAYED, rounds=1)
        self.assertFalse(self.admission.allows_repeats(BATCH, self.now_s))
        self.assertTrue(self.admission.allows_repeats(URGENT, self.now_s))
        self.now_s += AGE_MAX_S
        self.assertTrue(self.admission.allows_repeats(BATCH, self.now_s))

    def test_repeats_stay_allowed_without_more_urgent_requests(self) -> None:
        """Otherwise a route whose urgent neighbours are idle is refused needlessly."""
        admission = PriorityAdmission(ROUTES, random.Random(1), self.now_s)
        for _ in range(10):
            admission.try_acquire(BATCH, self.now_s)
        for peer in PEERS[:2]:
            admission.record_from_peer(peer, DELAYED, self.now_s)
        self.assertTrue(admission.allows_repeats(BATCH, self.now_s))

    def test_an_old_report_weighs_less(self) -> None:
        shared = SharedOverload()
        weights = []
        for age_ms in (0, 1_000, 1_500, 1_900):
            observation = shared.accept(PEERS[0], replace(DELAYED, age_ms=age_ms), 9.0)
            assert observation is not None
            weights.append(observation.weight)
        self.assertEqual(weights[:2], [4.0, 4.0])
        self.assertAlmostEqual(weights[2], 2.0)
        self.assertAlmostEqual(weights[3], 0.4)


class OverloadSharingTest(unittest.TestCase):
    """Own observations are sent while there is a delay, within a bound of bytes."""

    def setUp(self) -> None:
        self.shared = SharedOverload()
        self.sharing = OverloadSharing(random.Random(1))

    def select(self, now_s: float) -> tuple[tuple[OverloadObservation, ...], int]:
        """Returns what is sent to at most eight peers."""
        return self.sharing.select(((7, 3.0, self.shared),), 8, now_s)

    def test_nothing_is_sent_without_a_delay(self) -> None:
        self.shared.record_own(own(1.0, pressure=0.1))
        self.assertEqual(self.select(1.0), ((), 0))

    def test_a_host_that_was_told_of_a_delay_sends_its_fast_requests(self) -> None:
        """Without them the few hosts with slow requests would decide alone."""
        self.shared.record_own(own(1.0, pressure=0.1))
        self.shared.accept(PEERS[0], DELAYED, 1.2)
        items, _ = self.select(1.2)
        self.assertEqual([item.pressure_percent for item in items], [10])
        self.assertEqual(items[0].age_ms, 200)

    def test_no_report_is_passed_on(self) -> None:
        """A report that circulates would never lose its weight."""
        self.shared.accept(PEERS[0], DELAYED, 1.0)
        self.assertEqual(self.select(1.0), ((), 0))

    def test_a_notice_is_sent_once_in_100_ms_and_within_the_bytes(self) -> None:
        sent: list[tuple[float, int]] = []
        for tick in range(400):
            now_s = 1.0 + tick * 0.01
            for _ in range(3):
                self.shared.record_own(own(now_s))
            items, reached = self.select(now_s)
            if items:
                self.assertLessEqual(len(items), ITEMS_MAX)
                size = reached * (FRAME_BYTES + len(items) * ITEM_BYTES)
                sent.append((now_s, size))
        gaps = [after[0] - before[0] for before, after in itertools.pairwise(sent)]
        self.assertGreaterEqual(min(gaps), 0.0999)
        for start_s, _ in sent:
            total = sum(size for at, size in sent if 0 <= at - start_s < 0.999)
            self.assertLessEqual(total, BYTES_PER_S)
        self.assertGreater(len(sent), 3)


class OwnDelayTest(AdmissionTestCase):
    """A host that peers don't reach decides by its own requests, as before."""

    def test_own_requests_suffice(self) -> None:
        self.send(BATCH, OBJECTIVE_S)
        self.assertLess(self.shares()[2], 1.0)
