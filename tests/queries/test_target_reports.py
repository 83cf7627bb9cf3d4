"""Tests of `lavendertide.queries.target_reports`."""

import unittest

from lavendertide.ids import TargetId
from lavendertide.messages import DeclineReason
from lavendertide.queries.target_reports import (
    AVOIDANCE_S,
    REPORT_TTL_S,
    REPORTS_MAX,
    TargetReports,
)

TARGET = TargetId("t")
NOW_S = 100.0


class HedgeRoomTest(unittest.TestCase):
    """Hedges are sent only to targets that reported a free slot."""

    def test_no_more_open_hedges_than_spare_slots(self) -> None:
        reports = TargetReports()
        reports.record_spare_slots(TARGET, 2, NOW_S)
        sent = 0
        while reports.may_hedge(TARGET, NOW_S):
            reports.begin_hedge(TARGET, NOW_S)
            sent += 1
        self.assertEqual(sent, 2)

    def test_an_unknown_target_gets_one_hedge_at_a_time(self) -> None:
        reports = TargetReports()
        self.assertTrue(reports.may_hedge(TARGET, NOW_S))
        reports.begin_hedge(TARGET, NOW_S)
        self.assertFalse(reports.may_hedge(TARGET, NOW_S + REPORT_TTL_S))
        reports.end_hedge(TARGET)
        self.assertTrue(reports.may_hedge(TARGET, NOW_S + REPORT_TTL_S))

    def test_a_hedge_that_ends_without_a_reply_frees_its_slot(self) -> None:
        reports = TargetReports()
        reports.record_spare_slots(TARGET, 1, NOW_S)
        reports.begin_hedge(TARGET, NOW_S)
        self.assertFalse(reports.may_hedge(TARGET, NOW_S))
        reports.end_hedge(TARGET)
        self.assertTrue(reports.may_hedge(TARGET, NOW_S))

    def test_a_full_target_may_be_tried_once_its_report_is_old(self) -> None:
        reports = TargetReports()
        reports.record_spare_slots(TARGET, 0, NOW_S)
        self.assertFalse(reports.may_hedge(TARGET, NOW_S))
        self.assertTrue(reports.may_hedge(TARGET, NOW_S + REPORT_TTL_S))


class AvoidanceTest(unittest.TestCase):
    """A target that cannot serve is avoided for a while."""

    def test_an_unreachable_target_is_avoided_for_a_while(self) -> None:
        reports = TargetReports()
        reports.record_decline(TARGET, DeclineReason.UNREACHABLE, 0, NOW_S)
        self.assertTrue(reports.is_avoided(TARGET, NOW_S))
        self.assertFalse(reports.is_avoided(TARGET, NOW_S + AVOIDANCE_S))

    def test_a_missing_version_does_not_avoid_the_target(self) -> None:
        reports = TargetReports()
        reports.record_decline(TARGET, DeclineReason.VERSION_NOT_HELD, 1, NOW_S)
        self.assertFalse(reports.is_avoided(TARGET, NOW_S))


class ReportsBoundTest(unittest.TestCase):
    """Guards against memory that grows with every target."""

    def test_the_oldest_report_is_dropped(self) -> None:
        reports = TargetReports()
        reports.record_spare_slots(TARGET, 0, NOW_S)
        for number in range(REPORTS_MAX):
            reports.record_spare_slots(TargetId(f"t{number}"), 1, NOW_S)
        self.assertEqual(len(reports._by_target), REPORTS_MAX)
        self.assertTrue(reports.may_hedge(TARGET, NOW_S))
