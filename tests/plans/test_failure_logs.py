"""Tests of `lavendertide.plans.failure_logs`."""

import unittest

from lavendertide.errors import Fault
from lavendertide.ids import IndexName, OwnerId, PlanId, QueryId
from lavendertide.plans.failure_logs import (
    ENTRIES_MAX,
    OWNERS_MAX,
    REASONS_MAX,
    FailureKind,
    FailureLogs,
    FailureRecord,
)

OWNER = OwnerId("association")


def failure(number: int, reason: str = "over_plan_rate") -> FailureRecord:
    """Returns a refusal."""
    return FailureRecord(
        float(number),
        QueryId(str(number)),
        PlanId("clerk"),
        IndexName("venue-desk"),
        FailureKind.REFUSED,
        reason,
        Fault.PLAN,
    )


class FailureLogsTest(unittest.TestCase):
    """Every failure is counted for its owner alone, in bounded memory."""

    def test_an_owner_sees_only_its_own(self) -> None:
        failure_logs = FailureLogs()
        failure_logs.record(OWNER, [failure(1)])
        self.assertIsNone(failure_logs.failure_log_of(OwnerId("koinopraxia")))

    def test_all_are_counted_and_the_newest_are_kept(self) -> None:
        failure_logs = FailureLogs()
        failure_logs.record(OWNER, (failure(n) for n in range(ENTRIES_MAX + 5)))
        failure_log = failure_logs.failure_log_of(OWNER)
        assert failure_log is not None
        self.assertEqual(failure_log.recorded, ENTRIES_MAX + 5)
        self.assertEqual(sum(failure_log.tallies.values()), ENTRIES_MAX + 5)
        entries = failure_log.entries(2 * ENTRIES_MAX)
        self.assertEqual(len(entries), ENTRIES_MAX)
        self.assertEqual(entries[0].at_s, ENTRIES_MAX + 4)

    def test_reasons_are_bounded_and_none_is_lost(self) -> None:
        failure_logs = FailureLogs()
        failure_logs.record(OWNER, (failure(n, f"reason-{n}") for n in range(1_000)))
        failure_log = failure_logs.failure_log_of(OWNER)
        assert failure_log is not None
        self.assertLessEqual(len(failure_log.tallies), REASONS_MAX + len(FailureKind))
        self.assertEqual(sum(failure_log.tallies.values()), 1_000)

    def test_owners_are_bounded(self) -> None:
        failure_logs = FailureLogs()
        for number in range(OWNERS_MAX + 10):
            failure_logs.record(OwnerId(f"owner-{number}"), [failure(1)])
        self.assertEqual(len(failure_logs.owners), OWNERS_MAX)

    def test_an_owner_without_a_plan_is_removed(self) -> None:
        failure_logs = FailureLogs()
        failure_logs.record(OWNER, [failure(1)])
        failure_logs.retain_only({OwnerId("koinopraxia")})
        self.assertEqual(failure_logs.owners, [])
