"""Tests of `lavendertide.queries.coverage`."""

import unittest

from lavendertide.errors import Fault
from lavendertide.ids import AttemptId, IndexVersion, QueryId, ShardNumber
from lavendertide.messages import Answered
from lavendertide.queries.coverage import Coverage, GapReason


def answer_for(shard: int) -> Answered:
    """Returns an answer without rows."""
    return Answered(
        AttemptId("a"), QueryId("q"), ShardNumber(shard), IndexVersion(1), (), 0, 0
    )


class CoverageTest(unittest.TestCase):
    """Covered shards and gaps together are always exactly the version's shards."""

    def test_every_shard_is_a_gap_at_first(self) -> None:
        coverage = Coverage(3)
        self.assertEqual([gap.shard for gap in coverage.gaps], [0, 1, 2])

    def test_a_covered_shard_is_not_a_gap(self) -> None:
        coverage = Coverage(2)
        self.assertTrue(coverage.cover(answer_for(1)))
        self.assertEqual(coverage.covered, [1])
        self.assertEqual([gap.shard for gap in coverage.gaps], [0])

    def test_a_second_answer_changes_nothing(self) -> None:
        coverage = Coverage(1)
        coverage.cover(answer_for(0))
        self.assertFalse(coverage.cover(answer_for(0)))

    def test_an_answer_for_an_unknown_shard_is_refused(self) -> None:
        coverage = Coverage(1)
        self.assertFalse(coverage.cover(answer_for(7)))

    def test_a_late_gap_reason_does_not_uncover_a_shard(self) -> None:
        coverage = Coverage(1)
        coverage.cover(answer_for(0))
        coverage.set_gap_reason(ShardNumber(0), GapReason.TARGET_FAILED, Fault.TARGET)
        self.assertTrue(coverage.is_complete)
