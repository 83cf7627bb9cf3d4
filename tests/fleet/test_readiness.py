"""Tests of `lavendertide.fleet.readiness`."""

import unittest

from returns.result import Failure, Success

from lavendertide.errors import RefusalKind
from lavendertide.fleet.readiness import ALONE_AFTER_S, Readiness, ReadinessState

LEASE_S = 2.0


class ReadinessTest(unittest.TestCase):
    """Guards against serving with a stale view, and against waiting for ever."""

    def setUp(self) -> None:
        self.readiness = Readiness(LEASE_S, 0.0)

    def serve(self) -> None:
        self.readiness.tick(0.5)
        self.assertTrue(self.readiness.finish_refresh(True, 0.5))

    def kind_at(self, now_s: float) -> RefusalKind | None:
        """Returns the kind of the refusal; `accepts` has to predict whether it is."""
        accepts = self.readiness.accepts(now_s)
        state = self.readiness.state
        is_accepted = isinstance(self.readiness.check(now_s), Success)
        self.assertEqual(accepts, is_accepted, state)
        match self.readiness.check(now_s):
            case Failure(refusal):
                kind: RefusalKind = refusal.kind
                return kind
            case Success(_):
                return None
        raise AssertionError("a result is a success or a failure")

    def test_requests_are_refused_until_peers_have_replied(self) -> None:
        self.assertIs(self.kind_at(0.1), RefusalKind.NOT_READY)
        self.serve()
        self.assertIsNone(self.kind_at(0.6))

    def test_the_first_request_after_a_pause_is_refused_before_any_tick(self) -> None:
        self.serve()
        self.assertIs(self.kind_at(0.5 + LEASE_S + 0.1), RefusalKind.NOT_READY)
        self.assertIs(self.readiness.state, ReadinessState.REFRESHING)
        self.assertTrue(self.readiness.tick(2.7))
        self.assertFalse(self.readiness.tick(2.8))

    def test_a_pause_within_the_lease_changes_nothing(self) -> None:
        self.serve()
        self.assertIsNone(self.kind_at(0.5 + LEASE_S))

    def test_replies_from_before_the_pause_do_not_count(self) -> None:
        self.serve()
        self.kind_at(10.0)
        self.assertEqual(self.readiness.stale_since_s, 10.0)
        self.assertFalse(self.readiness.finish_refresh(False, 10.1))
        self.assertTrue(self.readiness.finish_refresh(True, 10.2))

    def test_a_daemon_without_peers_serves_after_a_bounded_wait(self) -> None:
        self.assertFalse(self.readiness.finish_refresh(False, ALONE_AFTER_S - 0.1))
        self.assertTrue(self.readiness.finish_refresh(False, ALONE_AFTER_S))

    def test_a_leaving_daemon_accepts_requests_until_it_closes(self) -> None:
        self.serve()
        self.readiness.leave(1.5)
        self.assertIsNone(self.kind_at(1.4))
        self.assertIs(self.kind_at(1.5), RefusalKind.LEAVING)
