"""Tests of `lavendertide.queries.snapshot`."""

import unittest

from returns.result import Failure

from lavendertide.ids import IndexVersion, TargetId
from lavendertide.queries.snapshot import (
    DENIAL_TTL_S,
    DENIALS_MAX,
    PROBE_INTERVAL_S,
    Holdings,
)
from tests.queries.fakes import INDEX, index_of

NOW_S = 100.0
ONE, TWO = IndexVersion(1), IndexVersion(2)
BOTH = index_of(2, versions=(1, 2))


class PinTest(unittest.TestCase):
    """A query reads the newest version with a replica for every shard."""

    def pinned(self, holdings: Holdings, now_s: float = NOW_S) -> IndexVersion:
        """Returns the pinned version."""
        return holdings.pin(BOTH, now_s).unwrap().version

    def record_denial(
        self, holdings: Holdings, version: IndexVersion, replicas: int
    ) -> None:
        """Records denials of a version by the first replicas of shard 0."""
        for replica in range(replicas):
            holdings.record_denial(TargetId(f"t0-{replica}"), version, NOW_S)

    def test_the_newest_version_is_read_without_denials(self) -> None:
        self.assertEqual(self.pinned(Holdings()), TWO)

    def test_one_replica_that_may_serve_is_enough(self) -> None:
        holdings = Holdings()
        self.record_denial(holdings, TWO, 1)
        self.assertEqual(self.pinned(holdings), TWO)

    def test_a_version_denied_by_all_replicas_of_a_shard_is_not_read(self) -> None:
        holdings = Holdings()
        self.record_denial(holdings, TWO, 2)
        self.assertEqual(self.pinned(holdings), ONE)

    def test_a_denial_expires(self) -> None:
        holdings = Holdings()
        self.record_denial(holdings, TWO, 2)
        self.assertEqual(self.pinned(holdings, NOW_S + DENIAL_TTL_S), TWO)

    def test_without_a_usable_version_the_most_complete_is_read(self) -> None:
        holdings = Holdings()
        self.record_denial(holdings, ONE, 2)
        self.record_denial(holdings, TWO, 2)
        self.assertEqual(self.pinned(holdings), TWO)
        holdings.record_denial(TargetId("t1-0"), TWO, NOW_S)
        holdings.record_denial(TargetId("t1-1"), TWO, NOW_S)
        self.assertEqual(self.pinned(holdings), ONE)

    def test_an_index_without_versions_is_refused(self) -> None:
        pinned = Holdings().pin(index_of(1, versions=()), NOW_S)
        self.assertIsInstance(pinned, Failure)


class ProbeTest(unittest.TestCase):
    """Guards against many restarts on a version that no target serves yet."""

    def test_only_one_query_per_interval_tries_a_new_version(self) -> None:
        holdings = Holdings()
        holdings.record_served(INDEX, ONE)
        chosen = [holdings.pin(BOTH, NOW_S).unwrap().version for _ in range(4)]
        self.assertEqual(chosen, [TWO, ONE, ONE, ONE])
        later = holdings.pin(BOTH, NOW_S + PROBE_INTERVAL_S).unwrap()
        self.assertEqual(later.version, TWO)

    def test_all_queries_read_a_version_once_it_is_served(self) -> None:
        holdings = Holdings()
        holdings.record_served(INDEX, ONE)
        holdings.pin(BOTH, NOW_S)
        holdings.record_served(INDEX, TWO)
        self.assertEqual(holdings.pin(BOTH, NOW_S).unwrap().version, TWO)


class HoldingsBoundTest(unittest.TestCase):
    """Guards against memory that grows with every denial."""

    def test_the_oldest_denial_is_dropped(self) -> None:
        holdings = Holdings()
        for number in range(DENIALS_MAX + 1):
            holdings.record_denial(TargetId(f"t{number}"), ONE, NOW_S)
        self.assertTrue(holdings.may_hold(TargetId("t0"), ONE, NOW_S))
        self.assertFalse(holdings.may_hold(TargetId("t1"), ONE, NOW_S))
        self.assertEqual(len(holdings._denied_until_s), DENIALS_MAX)
