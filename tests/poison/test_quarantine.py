"""Tests of `lavendertide.poison.quarantine`."""

import unittest

from lavendertide.ids import Fingerprint, ShardNumber
from lavendertide.poison.quarantine import (
    QUARANTINED_S,
    SUSPECT_S,
    VERDICTS_MAX,
    VERDICTS_PER_FRAME,
    Permission,
    Quarantine,
)
from lavendertide.poison.trials import TRIALS_MAX, Trials

CRASHING, INNOCENT = Fingerprint("poison"), Fingerprint("innocent")
FIRST, SECOND = ShardNumber(0), ShardNumber(1)


class QuarantineTest(unittest.TestCase):
    """Only a crash that no other request can have caused quarantines a request."""

    def setUp(self) -> None:
        self.quarantine = Quarantine()

    def test_an_unknown_request_runs_freely(self) -> None:
        permission = self.quarantine.permission(CRASHING, FIRST, 0.0)
        self.assertIs(permission, Permission.FREELY)

    def test_all_requests_in_flight_at_a_crash_run_alone_at_its_shard(self) -> None:
        for fingerprint in (CRASHING, INNOCENT):
            self.quarantine.record_crash(fingerprint, FIRST, False, 0.0)
            found = self.quarantine.permission(fingerprint, FIRST, 1.0)
            self.assertIs(found, Permission.ALONE)
            elsewhere = self.quarantine.permission(fingerprint, SECOND, 1.0)
            self.assertIs(elsewhere, Permission.FREELY)

    def test_a_crash_alone_quarantines_at_all_shards_for_a_time(self) -> None:
        self.quarantine.record_crash(CRASHING, FIRST, False, 0.0)
        self.quarantine.record_crash(CRASHING, FIRST, True, 1.0)
        for shard in (FIRST, SECOND):
            found = self.quarantine.permission(CRASHING, shard, QUARANTINED_S)
            self.assertIs(found, Permission.NEVER)

    def test_a_request_runs_alone_after_its_quarantine(self) -> None:
        self.quarantine.record_crash(CRASHING, FIRST, True, 0.0)
        for shard in (FIRST, SECOND):
            found = self.quarantine.permission(CRASHING, shard, QUARANTINED_S + 1)
            self.assertIs(found, Permission.ALONE)

    def test_a_suspect_that_succeeds_alone_is_cleared(self) -> None:
        self.quarantine.record_crash(INNOCENT, FIRST, False, 0.0)
        self.quarantine.clear(INNOCENT, FIRST, 1.0)
        found = self.quarantine.permission(INNOCENT, FIRST, 1.0)
        self.assertIs(found, Permission.FREELY)

    def test_a_request_beside_a_crashing_one_is_never_quarantined(self) -> None:
        for round_number in range(20):
            now_s = float(round_number)
            self.quarantine.record_crash(CRASHING, FIRST, False, now_s)
            self.quarantine.record_crash(INNOCENT, FIRST, False, now_s)
            found = self.quarantine.permission(INNOCENT, FIRST, now_s)
            self.assertIs(found, Permission.ALONE)
            self.quarantine.clear(INNOCENT, FIRST, now_s)
            found = self.quarantine.permission(INNOCENT, FIRST, now_s)
            self.assertIs(found, Permission.FREELY)

    def test_a_suspicion_expires(self) -> None:
        self.quarantine.record_crash(CRASHING, FIRST, False, 0.0)
        found = self.quarantine.permission(CRASHING, FIRST, SUSPECT_S)
        self.assertIs(found, Permission.FREELY)

    def test_verdicts_are_applied_once_and_in_any_order(self) -> None:
        other = Quarantine()
        suspicion = self.quarantine.record_crash(CRASHING, FIRST, False, 0.0)
        quarantine_verdict = self.quarantine.record_crash(CRASHING, FIRST, True, 0.0)
        self.assertEqual(
            other.apply_verdicts((quarantine_verdict, suspicion), 0.0),
            [quarantine_verdict],
        )
        self.assertEqual(other.apply_verdicts((quarantine_verdict, suspicion), 0.0), [])
        found = other.permission(CRASHING, SECOND, 1.0)
        self.assertIs(found, Permission.NEVER)

    def test_a_new_member_receives_one_bounded_frame(self) -> None:
        for number in range(2 * VERDICTS_PER_FRAME):
            self.quarantine.record_crash(Fingerprint(str(number)), FIRST, True, 0.0)
        verdicts = self.quarantine.verdicts(1.0)
        self.assertEqual(len(verdicts), VERDICTS_PER_FRAME)
        new_member = Quarantine()
        new_member.apply_verdicts(verdicts, 1.0)
        newest = Fingerprint(str(2 * VERDICTS_PER_FRAME - 1))
        self.assertIs(new_member.permission(newest, FIRST, 2.0), Permission.NEVER)

    def test_the_number_of_entries_is_bounded(self) -> None:
        for number in range(VERDICTS_MAX + 100):
            self.quarantine.record_crash(Fingerprint(str(number)), FIRST, False, 0.0)
        oldest = self.quarantine.permission(Fingerprint("0"), FIRST, 1.0)
        self.assertIs(oldest, Permission.FREELY)
        newest = Fingerprint(str(VERDICTS_MAX + 99))
        found = self.quarantine.permission(newest, FIRST, 1.0)
        self.assertIs(found, Permission.ALONE)


class TrialsTest(unittest.TestCase):
    """A request has one trial at a time."""

    def test_a_second_trial_waits_for_the_first(self) -> None:
        trials = Trials()
        self.assertTrue(trials.grant(CRASHING, 2.0, 0.0))
        self.assertFalse(trials.grant(CRASHING, 2.0, 1.9))
        self.assertTrue(trials.grant(CRASHING, 2.0, 2.0))

    def test_a_verdict_ends_a_trial(self) -> None:
        trials = Trials()
        trials.grant(CRASHING, 2.0, 0.0)
        trials.end(CRASHING)
        self.assertTrue(trials.grant(CRASHING, 2.0, 0.1))

    def test_the_number_of_entries_is_bounded(self) -> None:
        trials = Trials()
        for number in range(TRIALS_MAX):
            self.assertTrue(trials.grant(Fingerprint(str(number)), 2.0, 0.0))
        self.assertFalse(trials.grant(CRASHING, 2.0, 0.0))
        self.assertTrue(trials.grant(CRASHING, 2.0, 2.0))
