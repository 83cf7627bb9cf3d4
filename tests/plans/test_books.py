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


class BooksTest(unittest.TestCase):
    """Every failure is counted in its owner's book alone, within a bound."""

    def test_an_owner_sees_only_its_own(self) -> None:
        books = FailureLogs()
        books.record(OWNER, [failure(1)])
        self.assertIsNone(books.failure_log_of(OwnerId("koinopraxia")))

    def test_all_are_counted_and_the_newest_are_kept(self) -> None:
        books = FailureLogs()
        books.record(OWNER, (failure(n) for n in range(ENTRIES_MAX + 5)))
        book = books.failure_log_of(OWNER)
        assert book is not None
        self.assertEqual(book.recorded, ENTRIES_MAX + 5)
        self.assertEqual(sum(book.tallies.values()), ENTRIES_MAX + 5)
        entries = book.entries(2 * ENTRIES_MAX)
        self.assertEqual(len(entries), ENTRIES_MAX)
        self.assertEqual(entries[0].at_s, ENTRIES_MAX + 4)

    def test_reasons_are_bounded_and_none_is_lost(self) -> None:
        books = FailureLogs()
        books.record(OWNER, (failure(n, f"reason-{n}") for n in range(1_000)))
        book = books.failure_log_of(OWNER)
        assert book is not None
        self.assertLessEqual(len(book.tallies), REASONS_MAX + len(FailureKind))
        self.assertEqual(sum(book.tallies.values()), 1_000)

    def test_owners_are_bounded(self) -> None:
        books = FailureLogs()
        for number in range(OWNERS_MAX + 10):
            books.record(OwnerId(f"owner-{number}"), [failure(1)])
        self.assertEqual(len(books.owners), OWNERS_MAX)

    def test_an_owner_that_left_the_lists_leaves_the_books(self) -> None:
        books = FailureLogs()
        books.record(OWNER, [failure(1)])
        books.retain_only({OwnerId("koinopraxia")})
        self.assertEqual(books.owners, [])
