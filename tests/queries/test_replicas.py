"""Tests of `lavendertide.queries.replicas`."""

import random
import unittest
from collections import Counter

from lavendertide.ids import FailureDomain, IndexVersion, TargetId
from lavendertide.messages import DeclineReason
from lavendertide.options import AnyReplica, NearFirst, ReplicaPolicy
from lavendertide.queries.replicas import ReplicaSelector
from lavendertide.queries.snapshot import Holdings
from lavendertide.queries.target_reports import TargetReports
from tests.queries.fakes import DOMAINS, REGION, FakeCatalog, index_of

VERSION = IndexVersion(1)
NOW_S = 100.0
QUERIES = 64


class ReplicaSelectorTest(unittest.TestCase):
    """The nearest usable replica is tried first; equally near ones share the load."""

    def setUp(self) -> None:
        random.seed(1)
        self.holdings = Holdings()
        self.reports = TargetReports()
        self.index = index_of(4)

    def count_first(
        self, domain: FailureDomain, policy: ReplicaPolicy
    ) -> Counter[TargetId]:
        """Counts which replica of shard 0 is ranked first, over many queries."""
        selector = ReplicaSelector(policy, REGION, domain, self.holdings, self.reports)
        targets = FakeCatalog(self.index).targets
        first: Counter[TargetId] = Counter()
        for _ in range(QUERIES):
            for shard, replicas in enumerate(self.index.versions[VERSION]):
                ranked = selector.rank(replicas, VERSION, targets, NOW_S)
                if shard == 0:
                    first[ranked[0].target] += 1
        return first

    def test_the_near_replica_comes_first(self) -> None:
        first = self.count_first(DOMAINS[1], NearFirst())
        self.assertEqual(first, {TargetId("t0-1"): QUERIES})

    def test_equally_near_replicas_share_the_load(self) -> None:
        first = self.count_first(FailureDomain("elsewhere"), NearFirst())
        self.assertEqual(len(first), 2)
        self.assertGreater(min(first.values()), QUERIES // 4)

    def test_any_replica_may_come_first(self) -> None:
        first = self.count_first(DOMAINS[0], AnyReplica())
        self.assertEqual(len(first), 2)

    def test_an_avoided_replica_comes_last(self) -> None:
        near = TargetId("t0-0")
        self.reports.record_decline(near, DeclineReason.UNREACHABLE, 0, NOW_S)
        first = self.count_first(DOMAINS[0], NearFirst())
        self.assertEqual(first, {TargetId("t0-1"): QUERIES})

    def test_a_replica_that_denied_the_version_is_left_out(self) -> None:
        self.holdings.record_denial(TargetId("t0-0"), VERSION, NOW_S)
        first = self.count_first(DOMAINS[0], NearFirst())
        self.assertEqual(first, {TargetId("t0-1"): QUERIES})
