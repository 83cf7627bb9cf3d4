"""Tests of `lavendertide.executions.ledger`."""

import unittest

from returns.result import Failure, Success

from lavendertide.executions.ledger import Ledger, LedgerEntry, TicketState
from lavendertide.ids import Fingerprint, PlanId
from lavendertide.messages import Outcome
from lavendertide.options import TicketOptions

PLAN = PlanId("refund-clerk")
OTHER_PLAN = PlanId("picker")
OPTIONS = TicketOptions(lifetime_s=600.0, kept_max=5, kept_per_plan_max=3)


def issued_entry(ledger: Ledger, now_s: float = 0.0) -> LedgerEntry:
    """Returns the entry of a new ticket."""
    return ledger.issue(PLAN, now_s).unwrap()


class LedgerTest(unittest.TestCase):
    """A ticket is executed at most once."""

    def test_a_ticket_begins_once(self) -> None:
        ledger = Ledger(OPTIONS)
        entry = issued_entry(ledger)
        self.assertTrue(ledger.begin(entry))
        self.assertFalse(ledger.begin(entry))

    def test_a_ticket_that_did_not_run_may_begin_again(self) -> None:
        ledger = Ledger(OPTIONS)
        entry = issued_entry(ledger)
        ledger.begin(entry)
        ledger.finish(entry, Outcome.NOT_RUN, "shed")
        self.assertTrue(ledger.begin(entry))

    def test_a_ticket_of_unknown_outcome_never_begins_again(self) -> None:
        ledger = Ledger(OPTIONS)
        entry = issued_entry(ledger)
        ledger.begin(entry)
        ledger.finish(entry, Outcome.UNKNOWN, "timed_out")
        self.assertFalse(ledger.begin(entry))

    def test_an_expired_ticket_is_not_found(self) -> None:
        ledger = Ledger(OPTIONS)
        entry = issued_entry(ledger)
        self.assertIsNone(ledger.find(entry.serial, OPTIONS.lifetime_s))

    def test_a_ticket_under_execution_is_of_unknown_outcome(self) -> None:
        ledger = Ledger(OPTIONS)
        entry = issued_entry(ledger)
        self.assertIs(entry.outcome, Outcome.NOT_RUN)
        ledger.begin(entry)
        self.assertIs(entry.outcome, Outcome.UNKNOWN)


class BindingTest(unittest.TestCase):
    """A ticket is valid for one plan and one request."""

    def test_the_same_request_may_come_again(self) -> None:
        ledger = Ledger(OPTIONS)
        entry = issued_entry(ledger)
        for _ in range(2):
            bound = ledger.bind(entry, PLAN, Fingerprint("a"))
            self.assertEqual(bound, Success(None))

    def test_another_request_is_refused(self) -> None:
        ledger = Ledger(OPTIONS)
        entry = issued_entry(ledger)
        ledger.bind(entry, PLAN, Fingerprint("a"))
        self.assertIsInstance(ledger.bind(entry, PLAN, Fingerprint("b")), Failure)

    def test_another_plan_is_refused_and_binds_nothing(self) -> None:
        ledger = Ledger(OPTIONS)
        entry = issued_entry(ledger)
        bound = ledger.bind(entry, OTHER_PLAN, Fingerprint("a"))
        self.assertIsInstance(bound, Failure)
        self.assertIsNone(entry.bound_to)
        self.assertIs(entry.state, TicketState.ISSUED)


class LedgerBoundsTest(unittest.TestCase):
    """The ledger's memory is bounded and no plan can fill it."""

    def test_one_plan_cannot_use_up_another_plans_tickets(self) -> None:
        ledger = Ledger(OPTIONS)
        for _ in range(OPTIONS.kept_per_plan_max):
            issued_entry(ledger)
        self.assertIsInstance(ledger.issue(PLAN, 0.0), Failure)
        self.assertIsInstance(ledger.issue(OTHER_PLAN, 0.0), Success)

    def test_a_full_ledger_refuses(self) -> None:
        ledger = Ledger(OPTIONS)
        for _ in range(OPTIONS.kept_per_plan_max):
            issued_entry(ledger)
        for _ in range(OPTIONS.kept_max - OPTIONS.kept_per_plan_max):
            ledger.issue(OTHER_PLAN, 0.0).unwrap()
        refused = ledger.issue(PlanId("auditor"), 0.0)
        self.assertIsInstance(refused, Failure)

    def test_expired_tickets_make_room(self) -> None:
        ledger = Ledger(OPTIONS)
        for _ in range(OPTIONS.kept_per_plan_max):
            issued_entry(ledger)
        self.assertIsInstance(ledger.issue(PLAN, OPTIONS.lifetime_s), Success)
