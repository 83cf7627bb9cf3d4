"""Tests of `lavendertide.fleet.membership` without a network."""

import unittest
from typing import Any, cast

from lavendertide.fleet.gossip import Gossip
from lavendertide.fleet.membership import Membership
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.readiness import Readiness, ReadinessState
from lavendertide.messages import MemberState
from tests.fleet.members import roster_of

LEASE_S = 2.0


class SilentPeers:
    """Peers that have not answered yet."""

    def __getattr__(self, name: str) -> Any:
        """Returns a function that does nothing."""
        return lambda *arguments: None


class UnansweredNews(SilentPeers):
    """A host that no peer has told anything, and that knows routes or not."""

    def __init__(self, has_configuration: bool) -> None:
        self.has_configuration = has_configuration

    def is_current_since(self, since_s: float, now_s: float) -> bool:
        """Returns that nothing was told."""
        return False


class NoteCurrentTest(unittest.TestCase):
    """A host that has read the platform itself serves before peers have answered.

    The pattern: all hosts have ended at once, and each finds no other yet.
    """

    def make(self, has_configuration: bool) -> Membership:
        """Returns the membership of a host that joins at second zero."""
        self.readiness = Readiness(LEASE_S, 0.0)
        self.roster = roster_of(1)
        self.roster.announce(MemberState.JOINING, 0.0)
        news = cast(Gossip, UnansweredNews(has_configuration))
        peers = cast(Peers, SilentPeers())
        return Membership(
            self.roster, peers, news, self.readiness, 0.25, 30.0, is_listed=False
        )

    def test_it_serves_at_once(self) -> None:
        membership = self.make(has_configuration=True)
        membership.serve_if_joining(0.1)
        self.assertIs(self.readiness.state, ReadinessState.SERVING)
        self.assertIs(self.roster.own.state, MemberState.SERVING)

    def test_without_routes_it_does_not(self) -> None:
        membership = self.make(has_configuration=False)
        membership.serve_if_joining(0.1)
        self.assertIs(self.readiness.state, ReadinessState.JOINING)

    def test_one_that_woke_late_asks_its_peers(self) -> None:
        membership = self.make(has_configuration=True)
        membership.serve_if_joining(0.1)
        woke_at_s = 0.1 + 2 * LEASE_S
        self.readiness.check(woke_at_s)
        membership.serve_if_joining(woke_at_s)
        self.assertIs(self.readiness.state, ReadinessState.REFRESHING)


if __name__ == "__main__":
    unittest.main()
