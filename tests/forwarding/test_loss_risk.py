"""Tests of `lavendertide.forwarding.loss_risk`."""

import unittest

from lavendertide.forwarding.loss_risk import COST_MAX, FORGOTTEN_S, LossRisks
from lavendertide.forwarding.messages import (
    NotRun,
    NotRunReason,
    TargetReply,
    Unknown,
    UnknownReason,
)
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.forwarding.target_view import AVOIDED_FACTOR, STALLED_FACTOR
from lavendertide.ids import TargetId
from lavendertide.registry.record import TargetRecord
from standins.forwarding_records import reply, request, target

A, B = target("a"), target("b")
LOST = Unknown(A.target, UnknownReason.CLOSED)
REPLIED = reply("a")
GONE = NotRun(A.target, NotRunReason.UNREACHABLE)


class LossRiskTest(unittest.TestCase):
    """Guards against orders that go to a target which has just lost requests."""

    def setUp(self) -> None:
        self.risks = LossRisks()

    def record(
        self,
        answer: TargetReply,
        at_s: float,
        record: TargetRecord = A,
        is_on_rested: bool = False,
    ) -> None:
        """Records the end of a call that may be repeated."""
        call = TargetCall(1, 0, request(), record, at_s, at_s + 1.0, lambda *_: None)
        call.is_on_rested = is_on_rested
        self.risks.record(call, answer, at_s)

    def rank(self, now_s: float, **scores: float) -> list[TargetId]:
        """Returns the targets in order; those without a score have a score of one."""
        ranked = self.risks.rank((A, B), lambda r: scores.get(r.target, 1.0), now_s)
        return [record.target for record in ranked]

    def test_without_losses_the_order_stays(self) -> None:
        self.assertEqual(self.rank(0.0, a=9.0), ["a", "b"])
        for _ in range(9):
            self.record(REPLIED, 0.0)
        self.assertEqual(self.rank(0.0, a=9.0), ["a", "b"])

    def test_a_target_that_lost_a_reply_comes_last_for_a_time(self) -> None:
        for answer in (
            LOST,
            Unknown(A.target, UnknownReason.TIMED_OUT),
            reply("a", 500),
        ):
            with self.subTest(answer=answer):
                self.risks = LossRisks()
                self.record(answer, 0.0)
                self.assertEqual(self.rank(1.0, b=3.0), ["b", "a"])
                self.assertEqual(self.rank(60.0, b=3.0), ["a", "b"])

    def test_earlier_replies_hide_no_new_fault(self) -> None:
        for _ in range(100):
            self.record(REPLIED, 0.0)
        self.record(LOST, 0.0)
        self.assertEqual(self.rank(0.1, b=3.0), ["b", "a"])

    def test_what_says_nothing_about_orders_does_not_count(self) -> None:
        """Callers' errors, refusals, cancelled calls and forgotten connections."""
        self.record(reply("a", 409), 0.0)
        self.record(NotRun(A.target, NotRunReason.REFUSED), 0.0)
        self.record(Unknown(A.target, UnknownReason.CANCELLED), 0.0)
        self.record(LOST, 0.0, is_on_rested=True)
        self.assertEqual(self.risks.risk_of(A, 0.0), 0.0)

    def test_an_outage_counts_once_and_survives_the_run(self) -> None:
        self.record(GONE, 0.0)
        risk = self.risks.risk_of(A, 0.0)
        self.record(GONE, 0.0)
        self.assertEqual(self.risks.risk_of(A, 0.0), risk)
        new_run = target("a", started_at_ms=2)
        self.record(reply("a"), 0.0, new_run)
        self.assertEqual(self.risks.risk_of(new_run, 0.0), risk)
        self.record(GONE, 0.0, new_run)
        self.assertGreater(self.risks.risk_of(new_run, 0.0), risk)

    def test_losses_belong_to_a_run(self) -> None:
        """A target that has restarted isn't taken for one that loses replies."""
        for _ in range(5):
            self.record(LOST, 0.0)
        before = self.risks.risk_of(A, 0.0)
        new_run = target("a", started_at_ms=2)
        self.record(reply("a"), 0.0, new_run)
        self.assertLess(self.risks.risk_of(new_run, 0.0), before / 5)

    def test_the_cost_is_bounded(self) -> None:
        """Orders don't pile up at the last target without losses."""
        for _ in range(50):
            self.record(LOST, 0.0)
        self.assertEqual(self.rank(0.0, b=0.5 + COST_MAX), ["b", "a"])
        self.assertEqual(self.rank(0.0, b=1.5 + COST_MAX), ["a", "b"])

    def test_a_stalled_target_is_better_than_one_that_loses_requests(self) -> None:
        for _ in range(3):
            self.record(LOST, 0.0)
        self.assertEqual(self.rank(0.0, b=STALLED_FACTOR), ["b", "a"])
        self.assertEqual(self.rank(0.0, b=AVOIDED_FACTOR), ["a", "b"])

    def test_old_evidence_takes_no_memory(self) -> None:
        self.record(LOST, 0.0)
        self.risks.discard_old(FORGOTTEN_S + 1.0)
        self.assertEqual(self.risks.risk_of(A, 0.0), 0.0)
