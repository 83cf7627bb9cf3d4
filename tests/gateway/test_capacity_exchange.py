"""Tests of `lavendertide.gateway.capacity_exchange`."""

import unittest
from typing import cast

from prometheus_client import CollectorRegistry

from lavendertide.fleet.peers import Peers
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.forwarding.target_view import TargetViews
from lavendertide.gateway.capacity_exchange import CapacityExchange
from lavendertide.ids import TargetId
from lavendertide.messages import CapacityNotices
from lavendertide.overload.capacity_sharing import CapacityObservation
from lavendertide.registry.registry import TargetRegistry
from standins.forwarding_records import LOCAL_DOMAIN, target
from tests.fleet.members import roster_of
from tests.gateway.test_peer_exchange import RecordingPeers

SLOW = CapacityObservation(TargetId("a"), 400, 0)


class CapacityExchangeTest(unittest.TestCase):
    """Observations reach linked peers, and only registered targets are recorded."""

    def make(self, is_enabled: bool) -> CapacityExchange:
        """Returns an exchange of a host that knows one target and two peers."""
        self.peers = RecordingPeers()
        self.registry = TargetRegistry()
        self.registry.put(target("a"))
        self.views = TargetViews(LOCAL_DOMAIN)
        return CapacityExchange(
            self.registry,
            roster_of(3),
            cast(Peers, self.peers),
            self.views,
            ForwardingMetrics(CollectorRegistry()),
            is_enabled,
        )

    def slowness(self, name: str) -> float:
        """Returns the estimate of a target."""
        return self.views.view_of(TargetId(name)).capacity.slowness(1.0)

    def test_a_slow_target_is_sent_once_an_interval(self) -> None:
        exchange = self.make(is_enabled=True)
        for _ in range(5):
            self.views.view_of(TargetId("a")).capacity.record_work(4.0, 1.0)
        for now_s in (1.0, 1.1, 1.2):
            exchange.send_due(now_s)
        self.assertEqual(len(self.peers.sent), 1)
        self.assertIsInstance(self.peers.sent[0], CapacityNotices)

    def test_a_restarted_host_starts_with_what_peers_send(self) -> None:
        exchange = self.make(is_enabled=True)
        exchange.apply_notices((SLOW,), 1.0)
        self.assertGreater(self.slowness("a"), 1.9)

    def test_targets_that_are_not_registered_take_no_memory(self) -> None:
        exchange = self.make(is_enabled=True)
        items = tuple(CapacityObservation(TargetId(f"x{n}"), 400, 0) for n in range(9))
        exchange.apply_notices(items, 1.0)
        self.assertEqual(list(self.views.capacities), [])

    def test_a_deployment_without_it_ignores_notices(self) -> None:
        self.make(is_enabled=False).apply_notices((SLOW,), 1.0)
        self.assertEqual(self.slowness("a"), 1.0)
