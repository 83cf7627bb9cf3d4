"""Tests of `lavendertide.forwarding.poison`."""

import itertools
import unittest
from collections.abc import Callable

from lavendertide.forwarding.messages import Refused, TargetReply
from lavendertide.forwarding.poison import (
    CRASHES_TO_QUARANTINE,
    QUARANTINED_S,
    SUSPECT_S,
    CrashEvidence,
    TargetProcess,
)
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.ids import CallerRequestId, Fingerprint, TargetId
from lavendertide.messages import Verdict, VerdictKind
from lavendertide.poison.quarantine import Quarantine
from lavendertide.registry.record import TargetRun
from lavendertide.runtime import clock, tasks
from standins.forwarding_records import route, target
from tests.forwarding.scripted_targets import (
    ScriptedForwarder,
    crashes,
    is_unreachable,
)
from tests.virtual_time import VirtualTimeTestCase

BAD = Fingerprint("bad")
BACK_AFTER_S = 2.0


def process(name: str, started_at_ms: int = 1, outages: int = 0) -> TargetProcess:
    """Returns one process of a target."""
    return TargetProcess(TargetRun(TargetId(name), started_at_ms), outages)


class CrashEvidenceTest(unittest.TestCase):
    """A request that crashes one target after another is quarantined."""

    def setUp(self) -> None:
        self.evidence = CrashEvidence(Quarantine())

    def crash(
        self, request: str, target: str, service_count: int = 1, now_s: float = 0.0
    ) -> Verdict | None:
        """Records one crash of a target with the request in flight."""
        return self.evidence.record_crash(
            BAD, CallerRequestId(request), process(target), service_count, now_s
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
                BAD, CallerRequestId("r1"), process(f"t{number}"), 1, 0.0
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
            peer.record_crash(BAD, CallerRequestId("r3"), process(f"p{number}"), 1, 0.0)
        self.assertFalse(peer.is_quarantined(BAD, 0.0))

    def test_a_reply_to_a_request_without_crashes_is_not_broadcast(self) -> None:
        self.assertIsNone(self.evidence.record_reply(BAD, 0.0))


class RestartedTargetTest(unittest.TestCase):
    """Guards against a request that crashes the same targets again and again.

    A target that starts again under its name was counted as one crash for good, so a
    service with two targets never reached the third.
    """

    def setUp(self) -> None:
        self.evidence = CrashEvidence(Quarantine())

    def crash(self, crashed: TargetProcess, request: str, now_s: float = 0.0) -> None:
        """Records a crash of a process with the request in flight."""
        self.evidence.record_crash(BAD, CallerRequestId(request), crashed, 1, now_s)

    def is_quarantined(self, now_s: float = 0.0) -> bool:
        """Returns whether the request is held back."""
        return self.evidence.is_quarantined(BAD, now_s)

    def test_each_run_of_a_single_target_counts(self) -> None:
        for started_at_ms in range(1, CRASHES_TO_QUARANTINE + 1):
            self.assertFalse(self.is_quarantined())
            self.crash(process("t", started_at_ms), f"r{started_at_ms}")
        self.assertTrue(self.is_quarantined())

    def test_an_outage_between_two_crashes_counts_without_a_new_entry(self) -> None:
        """The entry of the new run is late, or has no start time."""
        for outages in range(CRASHES_TO_QUARANTINE):
            self.crash(process("t", 0, outages), f"r{outages}")
        self.assertTrue(self.is_quarantined())

    def test_connections_that_one_process_closes_are_one_crash(self) -> None:
        """A target resets the connections above its limit, too."""
        for number in range(3 * CRASHES_TO_QUARANTINE):
            self.crash(process("t"), f"r{number}")
        self.assertFalse(self.is_quarantined())

    def test_runs_of_one_target_are_not_most_targets_of_a_fan_out(self) -> None:
        for started_at_ms in range(1, 20):
            self.evidence.record_crash(
                BAD, CallerRequestId("r1"), process("t", started_at_ms), 5, 0.0
            )
        self.assertFalse(self.is_quarantined())

    def test_a_request_that_comes_seldom_is_quarantined_too(self) -> None:
        gap_s = 0.9 * SUSPECT_S
        for number in range(CRASHES_TO_QUARANTINE):
            self.crash(process("t", number), f"r{number}", number * gap_s)
        self.assertTrue(self.is_quarantined(CRASHES_TO_QUARANTINE * gap_s))

    def test_crashes_with_long_gaps_have_separate_causes(self) -> None:
        for number in range(9):
            now_s = number * 1.1 * SUSPECT_S
            self.crash(process("t", number), f"r{number}", now_s)
            self.assertFalse(self.is_quarantined(now_s))


class RestartingTarget:
    """A target that each request crashes, and that starts again after a time.

    Args:
        publishes: Publishes the start of a new run; it may do nothing.
    """

    def __init__(self, publishes: Callable[[], None]) -> None:
        self._publishes = publishes
        self._up_from_s = 0.0
        self._crashed_at_s: list[float] = []

    @property
    def crashes(self) -> int:
        """Number of processes that requests have crashed."""
        return len(self._crashed_at_s)

    def behave(self, call: TargetCall) -> TargetReply:
        """Crashes, or accepts no connection while it is down."""
        now_s = clock.monotonic_s()
        if now_s < self._up_from_s:
            return is_unreachable(call)
        self._up_from_s = now_s + BACK_AFTER_S
        self._crashed_at_s.append(now_s)
        tasks.spawn(self._start_again)
        return crashes(call)

    def _start_again(self) -> None:
        tasks.sleep(BACK_AFTER_S)
        self._publishes()


class CrashingRequestTest(VirtualTimeTestCase):
    """A caller repeats a request that crashes the two targets of its service.

    Both start again under their names.
    """

    def play(self, is_published: bool, pause_s: float, wait_s: float) -> int:
        """Returns how many processes the request crashes.

        Args:
            is_published: Whether the registry learns of new runs.
            pause_s: Time between two requests.
            wait_s: How long a caller waits for a response.
        """
        scripted = ScriptedForwarder(route(wait_max_s=wait_s, objective_s=0.1))
        started_at_ms = itertools.count(2)
        targets = []
        for name in ("a", "b"):

            def publish(name: str = name) -> None:
                if is_published:
                    record = target(name, "desk", started_at_ms=next(started_at_ms))
                    scripted.registry.put(record)

            targets.append(RestartingTarget(publish))
            scripted.add(name, "desk", targets[-1].behave)
        for number in range(20):
            scripted.forward(name=f"r{number}", wait_s=wait_s)
            tasks.sleep(pause_s)
        self.assertIsInstance(scripted.forward(name="last"), Refused)
        return sum(each.crashes for each in targets)

    def test_it_is_held_back_after_the_third_crash(self) -> None:
        crashed = self.play(True, 2 * BACK_AFTER_S, 0.4)
        self.assertLessEqual(crashed, CRASHES_TO_QUARANTINE + 1)

    def test_it_is_held_back_although_no_new_entry_is_published(self) -> None:
        """The platform is away, so only refused connections show the restarts."""
        crashed = self.play(False, 0.3 * BACK_AFTER_S, 0.4)
        self.assertLessEqual(crashed, CRASHES_TO_QUARANTINE + 1)

    def test_an_attempt_that_outlives_the_restarts_is_held_back_too(self) -> None:
        for is_published in (True, False):
            with self.subTest(is_published=is_published):
                crashed = self.play(is_published, 0.1, 4 * BACK_AFTER_S)
                self.assertLessEqual(crashed, CRASHES_TO_QUARANTINE + 1)
