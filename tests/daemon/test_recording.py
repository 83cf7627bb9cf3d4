"""Tests of `lavendertide.daemon.recording`."""

import unittest
from unittest import mock

from returns.result import Success

from lavendertide.daemon.recording import RecordedSearches, RecordedTickets
from lavendertide.executions.execution import ExecutionResult
from lavendertide.executions.execution_request import ExecutionRequest
from lavendertide.ids import CallerKey, IndexName, QueryId, TicketId
from lavendertide.messages import Operation, Outcome
from lavendertide.queries.query import SearchRequest

SEARCH = SearchRequest(CallerKey("k"), IndexName("i"), 100, 10, "")
EXECUTION = ExecutionRequest(
    CallerKey("k"), TicketId("t"), IndexName("i"), Operation.REDEEM, 100, ""
)


class FailingRecordTest(unittest.TestCase):
    """A record that fails leaves the outcome of the request.

    Guards against searches and executions that had run and whose callers got a 500.
    """

    def setUp(self) -> None:
        self.inner = mock.Mock()
        self.recorder = mock.Mock()
        self.recorder.plan_of.side_effect = KeyError("k")

    def test_a_search_is_answered(self) -> None:
        response = Success(mock.Mock(query=QueryId("q")))
        self.inner.search.return_value = response
        searches = RecordedSearches(self.inner, self.recorder)
        with self.assertLogs("lavendertide.bookkeeping") as logs:
            self.assertIs(searches.search(SEARCH), response)
        self.assertEqual(vars(logs.records[0])["request"], "q")

    def test_an_execution_is_answered(self) -> None:
        ran = Success(ExecutionResult(Outcome.RAN, "done"))
        self.inner.execute.return_value = ran
        tickets = RecordedTickets(self.inner, self.recorder)
        with self.assertLogs("lavendertide.bookkeeping") as logs:
            self.assertIs(tickets.execute(EXECUTION), ran)
        self.assertEqual(vars(logs.records[0])["request"], "t")
