"""Tests of `lavendertide.gateway.cold_exchange`."""

import unittest
from typing import cast

from prometheus_client import CollectorRegistry

from lavendertide.fleet.peers import Peers
from lavendertide.gateway.cold_parts import ColdParts
from lavendertide.gateway.fleet_view import view_fleet
from lavendertide.ids import DaemonId
from lavendertide.messages import ColdGrants, Frame, MemberRecord
from lavendertide.overload.byte_budget import ByteBudget
from lavendertide.registry.registry import TargetRegistry
from lavendertide.routes.route import Service
from lavendertide.warmup.allowance import ColdBounds
from lavendertide.warmup.cold_share import SETTLE_S
from standins.forwarding_records import DESK, target
from tests.fleet.members import roster_of

SPENDABLE = 28
A = target("a")


class Network:
    """Delivers the frames between the hosts of a test at once."""

    def __init__(self) -> None:
        self.hosts: dict[DaemonId, ColdHost] = {}
        self.frames: list[Frame] = []


class ColdHost:
    """A host with its part of the allowance of one cold target."""

    def __init__(self, network: Network, number: int, count: int) -> None:
        self._network = network
        self._receiver = DaemonId("")
        self.roster = roster_of(count, own=number)
        self.name = self.roster.own.daemon
        registry = TargetRegistry()
        registry.put(A)
        self.metrics = CollectorRegistry()
        self.parts = ColdParts(
            self.name,
            lambda _: Service(DESK, 24, 60.0, 20.0),
            ColdBounds(),
            self.metrics,
        )
        self.exchange = self.parts.make_exchange(
            registry, self.roster, cast(Peers, self), ByteBudget()
        )
        self.parts.targets.record_notice(A.run, 60.0, 0.0)
        for second in range(round(SETTLE_S) + 2):
            view = view_fleet(self.roster, frozenset(), float(second))
            self.parts.share.update(view, float(second))
        self.now_s = SETTLE_S + 1.0
        network.hosts[self.name] = self

    def link_to(self, member: MemberRecord) -> "ColdHost":
        """Returns the link to a host."""
        self._receiver = member.daemon
        return self

    def send(self, frame: ColdGrants) -> bool:
        """Delivers a frame to the host of the link."""
        self._network.frames.append(frame)
        receiver = self._network.hosts[self._receiver]
        receiver.exchange.handle(frame.items, self.name, receiver.now_s)
        return True

    def send_all(self) -> int:
        """Sends the target all that this host may; returns how many requests."""
        sent = 0
        while self.parts.targets.try_send(A, self.now_s):
            sent += 1
        return sent

    def counted(self, name: str) -> float:
        """Returns a counter of this host."""
        return self.metrics.get_sample_value(f"lavendertide_cold_{name}_total") or 0.0


class ColdExchangeTest(unittest.TestCase):
    """Guards against an allowance that idle hosts leave unused."""

    def setUp(self) -> None:
        self.network = Network()
        self.hosts = [ColdHost(self.network, number, 5) for number in range(5)]

    def test_a_busy_host_gets_what_idle_ones_have(self) -> None:
        busy, *idle = self.hosts
        own = busy.send_all()
        for _ in range(40):
            busy.parts.targets.try_send(A, busy.now_s)
        busy.exchange.ask_due(busy.now_s)
        received = busy.send_all()
        # Half of the allowance is that of the named hosts, of which there are none.
        self.assertEqual(own + received, SPENDABLE // 2)
        self.assertEqual(busy.counted("received"), received)
        self.assertEqual(sum(host.counted("given") for host in idle), received)
        self.assertEqual([host.send_all() for host in idle], [0] * 4)

    def test_nothing_is_sent_while_nothing_is_withheld(self) -> None:
        for host in self.hosts:
            host.parts.targets.try_send(A, host.now_s)
            host.exchange.ask_due(host.now_s)
        self.assertEqual(self.network.frames, [])

    def test_busy_hosts_give_nothing(self) -> None:
        for host in self.hosts:
            host.send_all()
        for host in self.hosts:
            host.exchange.ask_due(host.now_s)
        self.assertTrue(self.network.frames)
        self.assertEqual([host.counted("given") for host in self.hosts], [0.0] * 5)

    def test_a_host_with_an_old_view_neither_gives_nor_accepts(self) -> None:
        busy, *idle = self.hosts
        busy.send_all()
        for host in idle:
            host.now_s += 2.1
        busy.exchange.ask_due(busy.now_s)
        self.assertEqual(busy.counted("received"), 0.0)
        self.assertEqual([host.counted("given") for host in idle], [0.0] * 4)

    def test_a_host_that_takes_a_target_for_warm_gives_nothing_of_it(self) -> None:
        """Its own requests to the target aren't counted."""
        busy, *idle = self.hosts
        busy.send_all()
        for host in idle:
            self.assertEqual(host.parts.targets.give(target("b"), 5, host.now_s), 0)
