"""Tests of `lavendertide.gateway.request_ledger`, without a network."""

import unittest

from prometheus_client import CollectorRegistry

from lavendertide.encodings.response_writing import WriteFailure
from lavendertide.gateway.request_ledger import (
    OVERDUE_S,
    ConnectionEnd,
    RequestAccount,
    RequestEnd,
    RequestLedger,
    end_of_write,
)
from lavendertide.ids import CallerRequestId

FIRST = CallerRequestId("r1")
SECOND = CallerRequestId("r2")


class LedgerTestCase(unittest.TestCase):
    """Opens accounts of a ledger with metrics."""

    def setUp(self) -> None:
        self.registry = CollectorRegistry()
        self.ledger = RequestLedger(self.registry)

    def open_account(self, request: CallerRequestId, now_s: float) -> RequestAccount:
        """Opens the account of a request."""
        self.ledger.record_read()
        account = self.ledger.account(now_s)
        account.identify(request)
        return account.__enter__()

    def sample(self, name: str, **labels: str) -> float | None:
        """Returns the value of a metric."""
        return self.registry.get_sample_value(name, labels)


class RequestEndTest(LedgerTestCase):
    """Each request that was read whole has exactly one end."""

    def test_an_answered_request_has_ended_once(self) -> None:
        with self.open_account(FIRST, 0.0) as account:
            self.assertEqual(self.ledger.open, 1)
            account.record_end(RequestEnd.ANSWERED)
        self.assertEqual(self.ledger.ends, {RequestEnd.ANSWERED: 1})
        self.assertEqual((self.ledger.read, self.ledger.open), (1, 0))
        self.assertEqual(self.ledger.unaccounted, 0)

    def test_only_the_first_end_counts(self) -> None:
        """A failure after the response must not count the request twice."""
        account = self.open_account(FIRST, 0.0)
        with self.assertRaises(KeyError), account:
            account.record_end(RequestEnd.EVICTED)
            raise KeyError
        self.assertEqual(self.ledger.ends, {RequestEnd.EVICTED: 1})
        self.assertEqual(self.ledger.unaccounted, 0)

    def test_an_exception_is_the_end_of_a_request_without_another(self) -> None:
        """Guards against a connection that is closed with no word on its request."""
        account = self.open_account(FIRST, 0.0)
        with (
            self.assertLogs("lavendertide.gateway", "INFO") as logs,
            self.assertRaises(KeyError),
            account,
        ):
            raise KeyError
        self.assertEqual(self.ledger.ends, {RequestEnd.FAILED: 1})
        (record,) = logs.records
        self.assertEqual(vars(record)["request"], FIRST)
        self.assertEqual(vars(record)["end"], "failed")

    def test_each_failure_to_write_is_an_end(self) -> None:
        ends = {end_of_write(failure) for failure in (None, *WriteFailure)}
        self.assertEqual(len(ends), 1 + len(WriteFailure))
        self.assertIs(end_of_write(None), RequestEnd.ANSWERED)

    def test_requests_that_overlap_are_counted_apart(self) -> None:
        first = self.open_account(FIRST, 0.0)
        second = self.open_account(SECOND, 0.0)
        second.record_end(RequestEnd.CALLER_LEFT)
        self.assertEqual(self.ledger.open, 1)
        first.record_end(RequestEnd.ANSWERED)
        self.assertEqual(self.ledger.unaccounted, 0)
        self.assertEqual(sum(self.ledger.ends.values()), self.ledger.read)

    def test_a_request_without_an_account_is_found(self) -> None:
        """The count of the requests read doesn't depend on that of the accounts."""
        self.ledger.record_read()
        self.assertEqual(self.ledger.unaccounted, 1)

    def test_metrics_compare_the_requests_read_with_their_ends(self) -> None:
        self.open_account(FIRST, 0.0).record_end(RequestEnd.TOO_SLOW)
        self.open_account(SECOND, 0.0)
        self.assertEqual(self.sample("lavendertide_caller_requests_read_total"), 2)
        ended = "lavendertide_caller_requests_ended_total"
        self.assertEqual(self.sample(ended, end="too_slow"), 1)
        self.assertEqual(self.sample(ended, end="failed"), 0)
        unaccounted = "lavendertide_caller_requests_unaccounted"
        self.assertEqual(self.sample(unaccounted), 0)


class OverdueTest(LedgerTestCase):
    """A request whose task never ends is reported under its id, once."""

    def test_a_request_without_an_end_is_reported_once(self) -> None:
        self.open_account(FIRST, 0.0)
        self.open_account(SECOND, 1.0)
        self.assertEqual(self.ledger.report_overdue(OVERDUE_S - 0.1), [])
        self.assertEqual(self.ledger.report_overdue(OVERDUE_S), [FIRST])
        self.assertEqual(self.ledger.report_overdue(OVERDUE_S + 2.0), [SECOND])
        self.assertEqual(self.ledger.report_overdue(OVERDUE_S + 3.0), [])


class ConnectionEndTest(LedgerTestCase):
    """The counts of closed connections say why, and whether data was unread."""

    def test_unread_data_is_counted_by_reason(self) -> None:
        """A time limit that ended before arrived data was read shows here."""
        self.ledger.record_connection(ConnectionEnd.IDLE, True)
        self.ledger.record_connection(ConnectionEnd.IDLE, False)
        ended = "lavendertide_caller_connections_ended_total"
        unread = "lavendertide_caller_connections_unread_total"
        self.assertEqual(self.sample(ended, reason="idle"), 2)
        self.assertEqual(self.sample(unread, reason="idle"), 1)
        self.assertEqual(self.sample(unread, reason="closed"), 0)
