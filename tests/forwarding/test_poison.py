"""Tests of `lavendertide.forwarding.poison`."""

import unittest

from lavendertide.forwarding.poison import QUARANTINED_S, CrashEvidence
from lavendertide.ids import CallerRequestId, Fingerprint, TargetId
from lavendertide.messages import Verdict, VerdictKind
from lavendertide.poison.quarantine import Quarantine

BAD = Fingerprint("bad")


class CrashEvidenceTest(unittest.TestCase):
    """A request that crashes target after target is not sent any more."""

    def setUp(self) -> None:
        self.evidence = CrashEvidence(Quarantine())

    def crash(
        self, request: str, target: str, service_count: int = 1
    ) -> Verdict | None:
        """Takes in one crash."""
        return self.evidence.record_crash(
            BAD, CallerRequestId(request), TargetId(target), service_count, 0.0
        )

    def test_the_third_crash_over_two_attempts_condemns(self) -> None:
        self.crash("r1", "t1")
        self.crash("r1", "t2")
        self.assertFalse(self.evidence.is_quarantined(BAD, 0.0))
        verdict = self.crash("r2", "t3")
        assert verdict is not None
        self.assertIs(verdict.kind, VerdictKind.QUARANTINED)
        self.assertTrue(self.evidence.is_quarantined(BAD, 1.0))
        self.assertFalse(self.evidence.is_quarantined(BAD, QUARANTINED_S + 1.0))

    def test_what_a_peer_has_seen_counts_too(self) -> None:
        peer = CrashEvidence(Quarantine())
        verdicts = []
        for number in range(2):
            verdict = peer.record_crash(
                BAD, CallerRequestId("r1"), TargetId(f"t{number}"), 1, 0.0
            )
            assert verdict is not None
            verdicts.append(verdict)
        self.assertTrue(self.evidence.apply_verdicts(tuple(verdicts), 0.0))
        self.crash("r2", "t9")
        self.assertTrue(self.evidence.is_quarantined(BAD, 0.0))

    def test_a_search_that_loses_a_few_of_many_shards_is_not_condemned(self) -> None:
        for number in range(3):
            self.crash("r1", f"t{number}", service_count=20)
        self.assertFalse(self.evidence.is_quarantined(BAD, 0.0))

    def test_a_search_that_crashes_most_of_its_shards_is(self) -> None:
        for number in range(11):
            self.crash("r1", f"t{number}", service_count=20)
        self.assertTrue(self.evidence.is_quarantined(BAD, 0.0))

    def test_crashes_beyond_those_that_condemn_are_no_news(self) -> None:
        fresh_verdicts = [
            self.crash("r1", f"t{number}", service_count=90) for number in range(40)
        ]
        self.assertEqual(sum(verdict is not None for verdict in fresh_verdicts), 3)

    def test_a_request_that_a_target_has_answered_is_innocent(self) -> None:
        """The pattern: a third of all targets lose their answers for some seconds."""
        self.crash("r1", "t1", service_count=90)
        cleared = self.evidence.record_reply(BAD, 0.0)
        assert cleared is not None
        self.assertIs(cleared.kind, VerdictKind.CLEARED)
        for number in range(30):
            self.crash("r1", f"t{number}", service_count=90)
            self.crash("r2", f"t{number}", service_count=90)
        self.assertFalse(self.evidence.is_quarantined(BAD, 0.0))
        peer = CrashEvidence(Quarantine())
        peer.apply_verdicts((cleared,), 0.0)
        for number in range(3):
            peer.record_crash(
                BAD, CallerRequestId("r3"), TargetId(f"p{number}"), 1, 0.0
            )
        self.assertFalse(peer.is_quarantined(BAD, 0.0))

    def test_an_answer_to_a_request_that_nobody_suspects_is_no_news(self) -> None:
        self.assertIsNone(self.evidence.record_reply(BAD, 0.0))
