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
    """Peers that have not replied yet."""

    def __getattr__(self, name: str) -> Any:
        """Returns a function that does nothing."""
        return lambda *arguments: None


class UnansweredGossip(SilentPeers):
    """Gossip of a host without any replies from peers, with or without routes."""

    def __init__(self, has_configuration: bool) -> None:
        self.has_configuration = has_configuration

    def is_current_since(self, since_s: float, now_s: float) -> bool:
        """Returns false, since no peer has replied."""
        return False


class ServeIfJoiningTest(unittest.TestCase):
    """Guards against a joining host that waits for peers in vain.

    All hosts were stopped at once, and each finds no other after its restart. A host
    that has read the platform itself serves before any peer has replied.
    """

    def make(self, has_configuration: bool) -> Membership:
        """Returns the membership of a host that starts joining at second zero."""
        self.readiness = Readiness(LEASE_S, 0.0)
        self.roster = roster_of(1)
        self.roster.announce(MemberState.JOINING, 0.0)
        gossip = cast(Gossip, UnansweredGossip(has_configuration))
        peers = cast(Peers, SilentPeers())
        return Membership(
            self.roster, peers, gossip, self.readiness, 0.25, 30.0, is_listed=False
        )

    def test_a_joining_host_serves_at_once(self) -> None:
        membership = self.make(has_configuration=True)
        membership.serve_if_joining(0.1)
        self.assertIs(self.readiness.state, ReadinessState.SERVING)
        self.assertIs(self.roster.own.state, MemberState.SERVING)

    def test_a_joining_host_without_routes_does_not_serve(self) -> None:
        membership = self.make(has_configuration=False)
        membership.serve_if_joining(0.1)
        self.assertIs(self.readiness.state, ReadinessState.JOINING)

    def test_a_host_that_resumed_after_a_pause_waits_for_its_peers(self) -> None:
        membership = self.make(has_configuration=True)
        membership.serve_if_joining(0.1)
        resumed_at_s = 0.1 + 2 * LEASE_S
        self.readiness.check(resumed_at_s)
        membership.serve_if_joining(resumed_at_s)
        self.assertIs(self.readiness.state, ReadinessState.REFRESHING)


if __name__ == "__main__":
    unittest.main()
