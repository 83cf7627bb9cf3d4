"""Tests of `lavendertide.forwarding.poison`."""

import unittest

from lavendertide.forwarding.poison import QUARANTINED_S, CrashEvidence
from lavendertide.ids import CallerRequestId, Fingerprint, TargetId
from lavendertide.messages import Verdict, VerdictKind
from lavendertide.poison.quarantine import Quarantine

BAD = Fingerprint("bad")


class CrashEvidenceTest(unittest.TestCase):
    """A request that crashes one target after another is quarantined."""

    def setUp(self) -> None:
        self.evidence = CrashEvidence(Quarantine())

    def crash(
        self, request: str, target: str, service_count: int = 1
    ) -> Verdict | None:
        """Records one crash of a target with the request in flight."""
        return self.evidence.record_crash(
            BAD, CallerRequestId(request), TargetId(target), service_count, 0.0
        )

    def test_the_third_crash_over_two_attempts_quarantines(self) -> None:
        self.crash("r1", "t1")
        self.crash("r1", "t2")
        self.assertFalse(self.evidence.is_quarantined(BAD, 0.0))
        verdict = self.crash("r2", "t3")
        assert verdict is not None
        self.assertIs(verdict.kind, VerdictKind.QUARANTINED)
        self.assertTrue(self.evidence.is_quarantined(BAD, 1.0))
        self.assertFalse(self.evidence.is_quarantined(BAD, QUARANTINED_S + 1.0))

    def test_crashes_reported_by_peers_count(self) -> None:
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

    def test_a_search_that_loses_a_few_of_many_shards_is_not_quarantined(self) -> None:
        for number in range(3):
            self.crash("r1", f"t{number}", service_count=20)
        self.assertFalse(self.evidence.is_quarantined(BAD, 0.0))

    def test_a_search_that_crashes_most_of_its_shards_is_quarantined(self) -> None:
        for number in range(11):
            self.crash("r1", f"t{number}", service_count=20)
        self.assertTrue(self.evidence.is_quarantined(BAD, 0.0))

    def test_crashes_beyond_the_threshold_are_not_broadcast(self) -> None:
        fresh_verdicts = [
            self.crash("r1", f"t{number}", service_count=90) for number in range(40)
        ]
        self.assertEqual(sum(verdict is not None for verdict in fresh_verdicts), 3)

    def test_a_request_with_a_successful_reply_is_never_quarantined(self) -> None:
        """A third of all targets lose their replies for some seconds."""
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

    def test_a_reply_to_a_request_without_crashes_is_not_broadcast(self) -> None:
        self.assertIsNone(self.evidence.record_reply(BAD, 0.0))
