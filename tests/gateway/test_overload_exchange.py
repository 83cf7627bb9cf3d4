"""Tests of `lavendertide.gateway.overload_exchange`."""

import random
import unittest
from typing import cast

from prometheus_client import CollectorRegistry

from lavendertide.fleet.peers import Peers
from lavendertide.forwarding.capacity import RouteAdmission
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.gateway.overload_exchange import RINGS, OverloadExchange
from lavendertide.ids import DaemonId
from lavendertide.messages import OverloadNotices
from lavendertide.overload.capacity import HalfCovered
from lavendertide.overload.priority_permit import PriorityPermit
from lavendertide.overload.shared_overload import OverloadObservation, group_number
from standins.forwarding_records import request, table
from tests.fleet.members import roster_of
from tests.gateway.test_peer_exchange import RecordingPeers
from tests.overload.test_priority_admission import BATCH, ROUTES

NUMBER = group_number(route.name for route in ROUTES)
DELAYED = OverloadObservation(NUMBER, 400, 4, 0, 600, 550, False, 300)


class OverloadExchangeTest(unittest.TestCase):
    """Delays reach a few peers, and those of several peers thin requests."""

    def make(self, hosts: int = 3, is_enabled: bool = True) -> OverloadExchange:
        """Returns an exchange of a host that has seen no request."""
        self.peers = RecordingPeers()
        metrics = ForwardingMetrics(CollectorRegistry())
        self.admission = RouteAdmission(random.Random(1), metrics, is_enabled)
        self.admission.apply_table(table(1, *ROUTES), 0.0)
        return OverloadExchange(
            roster_of(hosts), cast(Peers, self.peers), self.admission, metrics
        )

    def observe(self, took_s: float) -> None:
        """Lets a request of this host take some time."""
        permit = self.admission.try_acquire(request(1.0, 9.0), ROUTES[2], 1.0)
        assert isinstance(permit, PriorityPermit)
        permit.record_half_covered(took_s, 1.0 + took_s)
        permit.release(HalfCovered(took_s), 1.0 + took_s)

    def notify(self, exchange: OverloadExchange) -> float:
        """Applies the notices of eight peers; returns the admitted share."""
        now_s = 1.0
        for _ in range(4):
            now_s += 0.15
            for number in range(8):
                exchange.apply_notices(DaemonId(f"p{number}"), (DELAYED,), now_s)
        return self.admission.limit_of(BATCH, now_s).admitted_share

    def test_a_delay_is_sent_at_once_and_once(self) -> None:
        exchange = self.make()
        self.observe(0.6)
        for now_s in (1.6, 1.65, 1.8):
            exchange.send_due(now_s)
        (notices,) = self.peers.sent
        assert isinstance(notices, OverloadNotices)
        self.assertEqual([item.group for item in notices.items], [NUMBER])

    def test_a_fast_request_is_not_sent(self) -> None:
        exchange = self.make()
        self.observe(0.01)
        exchange.send_due(1.1)
        self.assertEqual(self.peers.sent, [])

    def test_the_number_of_links_is_bounded(self) -> None:
        """Links to all hosts of a large fleet would cost more than the notices."""
        exchange = self.make(hosts=26)
        self.assertLessEqual(len(exchange.recipients()), RINGS)

    def test_notices_of_peers_thin_requests(self) -> None:
        self.assertLess(self.notify(self.make()), 0.2)

    def test_a_deployment_without_it_ignores_notices(self) -> None:
        self.assertEqual(self.notify(self.make(is_enabled=False)), 1.0)

    def test_the_begin_and_the_end_are_logged_once(self) -> None:
        exchange = self.make()
        with self.assertLogs("lavendertide.forwarding.capacity", "WARNING") as logs:
            self.notify(exchange)
            for now_s in (1.6, 1.7, 9.0, 9.1):
                self.admission.log_changes(now_s)
        self.assertEqual(
            [record.getMessage() for record in logs.records],
            ["several hosts report an overload", "hosts no longer report an overload"],
        )
