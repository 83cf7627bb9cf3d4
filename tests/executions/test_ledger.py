"""Tests of `lavendertide.executions.ledger`."""

import unittest

from returns.result import Failure

from lavendertide.executions.ledger import TICKET_LIFETIME_S, Ledger
from lavendertide.messages import Outcome


class LedgerTest(unittest.TestCase):
    """A ticket is executed once at the most."""

    def test_a_ticket_begins_once(self) -> None:
        ledger = Ledger()
        entry = ledger.mint(0.0).unwrap()
        self.assertTrue(ledger.begin(entry))
        self.assertFalse(ledger.begin(entry))

    def test_a_ticket_that_did_not_run_may_begin_again(self) -> None:
        ledger = Ledger()
        entry = ledger.mint(0.0).unwrap()
        ledger.begin(entry)
        ledger.finish(entry, Outcome.NOT_RUN, "shed")
        self.assertTrue(ledger.begin(entry))

    def test_a_ticket_of_unknown_outcome_never_begins_again(self) -> None:
        ledger = Ledger()
        entry = ledger.mint(0.0).unwrap()
        ledger.begin(entry)
        ledger.finish(entry, Outcome.UNKNOWN, "timed_out")
        self.assertFalse(ledger.begin(entry))

    def test_an_expired_ticket_is_refused(self) -> None:
        ledger = Ledger()
        entry = ledger.mint(0.0).unwrap()
        found = ledger.find(entry.serial, TICKET_LIFETIME_S)
        self.assertIsInstance(found, Failure)
