"""Measures the used share of cold targets' allowances where few hosts are busy.

`python -m bench.cold_transfers --hosts 62 --busy 9` lets busy hosts send cold targets
all they may, with and without transfers of unused parts, and prints one line of JSON
for each: the share of the allowances that was used, the most requests that one target
got in a second, and the most bytes that one host sent in a second. Messages take 10 ms.
"""

import json
import random
from collections import defaultdict, deque
from typing import Final, cast

import click
from prometheus_client import CollectorRegistry

from bench.evacuation_times import model_member
from bench.revision import revision
from lavendertide.encodings.peer_frames import encode_frame
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.roster import Roster
from lavendertide.gateway.cold_exchange import LOOK_INTERVAL_S
from lavendertide.gateway.cold_parts import ColdParts
from lavendertide.gateway.fleet_view import view_fleet
from lavendertide.ids import DaemonId, TargetId
from lavendertide.messages import ColdGrants, MemberRecord
from lavendertide.overload.byte_budget import ByteBudget
from lavendertide.registry.record import TargetRecord
from lavendertide.registry.registry import TargetRegistry
from lavendertide.routes.route import Service
from lavendertide.warmup.allowance import WINDOW_S, ColdBounds
from standins.forwarding_records import DESK, target

COLD_PER_S: Final = 20.0
SPENDABLE: Final = ColdBounds().spendable(COLD_PER_S)
STEP_S: Final = 0.05
LATENCY_S: Final = 0.01
# All hosts have a part of the allowances from then on.
SETTLED_S: Final = 8.0
MEASURED_FROM_S: Final = 10.0
MEASURED_S: Final = 10.0
# Targets to which a busy host sends in a step, and requests to each.
TARGETS_PER_STEP: Final = 8
REQUESTS_PER_STEP: Final = 2


class ModelNetwork:
    """The hosts, the messages between them, and what targets and hosts got and sent."""

    def __init__(self, records: list[TargetRecord]) -> None:
        self.records = records
        self.now_s = 0.0
        self.hosts: dict[DaemonId, ModelHost] = {}
        self.received: defaultdict[TargetId, list[float]] = defaultdict(list)
        self.bytes: defaultdict[DaemonId, list[tuple[float, int]]] = defaultdict(list)
        self._messages: deque[tuple[float, DaemonId, DaemonId, ColdGrants]] = deque()

    def post(self, sender: DaemonId, receiver: DaemonId, frame: ColdGrants) -> None:
        """Sends a message."""
        self.bytes[sender].append((self.now_s, len(encode_frame(frame))))
        due_s = self.now_s + LATENCY_S
        self._messages.append((due_s, sender, receiver, frame))

    def deliver(self) -> None:
        """Delivers the messages, and the answers that they cause."""
        began_s = self.now_s
        while self._messages:
            due_s, sender, receiver, frame = self._messages.popleft()
            self.now_s = max(began_s, due_s)
            exchange = self.hosts[receiver].exchange
            exchange.handle(frame.items, sender, self.now_s)
        self.now_s = began_s


class ModelHost:
    """A host with its parts of the allowances, whose links lead to a model network."""

    def __init__(
        self, network: ModelNetwork, own: MemberRecord, members: list[MemberRecord]
    ) -> None:
        self._network = network
        self._receiver = own.daemon
        self.roster = Roster(own)
        self.roster.apply_records(members, 0.0)
        registry = TargetRegistry()
        registry.put(*network.records)
        self.parts = ColdParts(
            own.daemon,
            lambda _: Service(DESK, 24, 60.0, COLD_PER_S),
            ColdBounds(),
            CollectorRegistry(),
        )
        self.exchange = self.parts.make_exchange(
            registry, self.roster, cast(Peers, self), ByteBudget()
        )
        for record in network.records:
            self.parts.targets.record_notice(record.run, 3_600.0, 0.0)
        network.hosts[own.daemon] = self

    def link_to(self, member: MemberRecord) -> "ModelHost":
        """Returns the link to a host."""
        self._receiver = member.daemon
        return self

    def send(self, frame: ColdGrants) -> bool:
        """Sends a frame to the host of the link."""
        self._network.post(self.roster.own.daemon, self._receiver, frame)
        return True

    def send_requests(self, now_s: float) -> None:
        """Sends some targets all that this host may, up to a number of requests."""
        records = self._network.records
        for record in random.sample(records, min(len(records), TARGETS_PER_STEP)):
            for _ in range(REQUESTS_PER_STEP):
                if self.parts.targets.try_send(record, now_s):
                    self._network.received[record.target].append(now_s)


def measure(hosts: int, busy: int, targets: int, transfers: bool) -> ModelNetwork:
    """Returns the network after a time in which the first hosts were busy."""
    random.seed(1)
    network = ModelNetwork([target(f"desk-{number}") for number in range(targets)])
    members = [model_member(number) for number in range(hosts)]
    fleet = [ModelHost(network, own, members) for own in members]
    named = frozenset(member.daemon for member in members[:busy])
    steps = round((MEASURED_FROM_S + MEASURED_S) / STEP_S)
    for step in range(steps):
        now_s = network.now_s = step * STEP_S
        if step % round(1.0 / STEP_S) == 0:
            for host in fleet:
                host.parts.share.update(view_fleet(host.roster, named, now_s), now_s)
        if now_s < SETTLED_S:
            continue
        for host in random.sample(fleet[:busy], busy):
            host.send_requests(now_s)
        if transfers and step % round(LOOK_INTERVAL_S / STEP_S) == 0:
            for host in fleet:
                host.exchange.ask_due(now_s)
            network.deliver()
    return network


def most_in_window(events: list[tuple[float, int]], window_s: float = WINDOW_S) -> int:
    """Returns the largest sum of the events of any window, both its ends included."""
    most, first, total = 0, 0, 0
    for at_s, size in events:
        total += size
        while at_s - events[first][0] > window_s:
            total -= events[first][1]
            first += 1
        most = max(most, total)
    return most


@click.command()
@click.option("--hosts", default=62)
@click.option("--busy", default=9)
def main(hosts: int, busy: int) -> None:
    """Prints a line for one cold target and for 24, without and with transfers."""
    for targets in (1, 24):
        for transfers in (False, True):
            network = measure(hosts, busy, targets, transfers)
            received = network.received.values()
            used = sum(at_s >= MEASURED_FROM_S for each in received for at_s in each)
            most = (most_in_window([(at_s, 1) for at_s in each]) for each in received)
            # The bytes are bounded in windows of which one end isn't included.
            bytes_per_s = max(
                (
                    most_in_window(each, WINDOW_S - STEP_S / 2)
                    for each in network.bytes.values()
                ),
                default=0,
            )
            line = {
                "commit": revision(),
                "hosts": hosts,
                "busy": busy,
                "targets": targets,
                "transfers": transfers,
                "used": round(used / (MEASURED_S * SPENDABLE * targets), 3),
                "most_per_s": max(most),
                "allowed_per_s": SPENDABLE,
                "bytes_per_s": bytes_per_s,
            }
            print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
