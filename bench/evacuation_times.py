"""Measures how long an order to evacuate a failure domain takes to reach all hosts.

`python -m bench.evacuation_times --hosts 62` runs the hosts' readers of the platform's
changes in virtual time, as in `lavendertide.gateway.shared_reading`, and prints one
line of JSON: the time from the store's acknowledgement of an order to the last request
that each host sends to the domain, over all hosts and orders. A host sends until it
applies the order, so the time is that of the order plus one way to a target.
"""

import functools
import itertools
import json
import logging
import random
import statistics
from typing import Any, Final, cast

import click
from returns.result import Result, Success

from bench.revision import revision as code_revision
from lavendertide.encodings.routes_json import decode_table, encode_table
from lavendertide.errors import Refusal
from lavendertide.evacuation.evacuated_domains import EvacuatedDomains, Evacuation
from lavendertide.fleet.overlay import watched_by
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.roster import Roster
from lavendertide.gateway.evacuation_broadcast import EvacuationBroadcast
from lavendertide.gateway.follower import Follower
from lavendertide.gateway.publications import (
    EvacuationPublished,
    HistoryLost,
    PublicationBatch,
)
from lavendertide.gateway.reading_times import ReadingTimes
from lavendertide.gateway.shared_reading import RegistrySource, SharedReader
from lavendertide.ids import (
    Address,
    DaemonId,
    FailureDomain,
    HostId,
    Incarnation,
    Region,
)
from lavendertide.messages import (
    EvacuationNotices,
    MemberRecord,
    MemberState,
    RegistryPull,
    RegistryPush,
)
from lavendertide.registry.registry import TargetRegistry
from lavendertide.restoration.position import Position
from lavendertide.routes.active_routes import ActiveRoutes
from lavendertide.routes.replication import RouteReplication
from lavendertide.runtime import clock, tasks
from standins.forwarding_records import at
from standins.virtual_time import run_on_virtual_clock

DOMAINS: Final = tuple(map(FailureDomain, ("a", "b", "c")))
# One way between failure domains, and to the store.
LATENCY_S: Final = (0.0014, 0.0049)
STORE_LATENCY_S: Final = 0.002
TIMES: Final = ReadingTimes(leaving_s=5.0)
# Time between an order and the next change, in which all hosts apply it.
SETTLED_S: Final = 6.0


class ModelStore:
    """The operator's store as all hosts see it."""

    def __init__(self) -> None:
        # None for a change of another key.
        self._events: list[Evacuation | None] = []
        self._changed = tasks.Signal()

    def change(self, domain: FailureDomain, is_evacuated: bool) -> None:
        """Sets or removes a domain's order; it is acknowledged at once."""
        self._append(Evacuation(domain, at(len(self._events) + 1), is_evacuated))

    def change_others(self, per_s: float) -> None:
        """Changes other keys at random until the process ends."""
        while True:
            tasks.sleep(random.expovariate(per_s))
            self._append(None)

    def _append(self, event: Evacuation | None) -> None:
        self._events.append(event)
        changed, self._changed = self._changed, tasks.Signal()
        changed.set()

    def read_all(self) -> Result[PublicationBatch, Refusal]:
        """Returns all domains that are evacuated."""
        newest = {state.domain: state for state in self._events if state is not None}
        states = tuple(state for state in newest.values() if state.is_evacuated)
        return Success(PublicationBatch((), at(len(self._events)), evacuations=states))

    def read_changes(
        self, position: Position
    ) -> Result[PublicationBatch | HistoryLost, Refusal]:
        """Returns the changes since a position; waits for some as a watch does."""
        tasks.sleep(STORE_LATENCY_S)
        if len(self._events) <= position.revision:
            self._changed.wait(TIMES.watch_s)
        changes = tuple(
            EvacuationPublished(state)
            for state in self._events[position.revision :]
            if state is not None
        )
        batch = PublicationBatch(changes, at(len(self._events)))
        tasks.sleep(STORE_LATENCY_S)
        return Success(batch)


class ModelHost:
    """One host's reader of changes, its evacuations, and its links to peers."""

    def __init__(
        self,
        members: list[MemberRecord],
        own: MemberRecord,
        store: ModelStore,
        fleet: dict[DaemonId, "ModelHost"],
        has_notices: bool,
    ) -> None:
        self._fleet = fleet
        self._watched = sorted(watched_by(own.daemon, members))
        roster = Roster(own)
        roster.apply_records(members, 0.0)
        routes, registry = ActiveRoutes(), TargetRegistry()
        now_s = clock.monotonic_s()
        replication = RouteReplication(routes, encode_table, decode_table, now_s)
        self.evacuated = EvacuatedDomains()
        peers = cast(Peers, self)
        if has_notices:
            self._broadcast = EvacuationBroadcast(self.evacuated, roster, peers)
        reader = SharedReader(store, TIMES, roster, peers, replication, routes)
        follower = Follower(
            reader, routes, replication, registry, self.evacuated, now_s
        )
        self._source = RegistrySource(TIMES, follower, registry, routes, self.evacuated)
        fleet[own.daemon] = self
        tasks.spawn(follower.run)

    def link_to(self, member: MemberRecord) -> Any:
        """Returns the link to a peer."""
        return ModelLink(self._fleet[member.daemon]._source)

    def broadcast(self, frame: EvacuationNotices) -> None:
        """Sends a notice to the hosts that this one watches."""
        for daemon in self._watched:
            tasks.spawn(self._fleet[daemon]._receive, frame)

    def _receive(self, frame: EvacuationNotices) -> None:
        tasks.sleep(random.uniform(*LATENCY_S))
        self._broadcast.apply_notices(frame.states, clock.monotonic_s())


class ModelLink:
    """A link to a host that serves its changes."""

    def __init__(self, source: RegistrySource) -> None:
        self._source = source

    def pull_registry(self, pull: RegistryPull, timeout_s: float) -> RegistryPush:
        """Returns the peer's reply, after the time that both ways take."""
        tasks.sleep(random.uniform(*LATENCY_S))
        push = self._source.reply_to(pull)
        tasks.sleep(random.uniform(*LATENCY_S))
        return push


def measure(
    hosts: int, orders: int, changes_per_s: float, has_notices: bool, seed: int
) -> list[float]:
    """Returns the seconds from each order to each host's last request.

    Args:
        hosts: Number of hosts, in three failure domains.
        orders: Number of orders, at random moments of the readers' intervals.
        changes_per_s: Changes of other keys, after each of which the readers pause.
        has_notices: Whether hosts also pass on what they learn.
        seed: Seed of the moments and of the ways' times.
    """
    random.seed(seed)
    members = [model_member(number) for number in range(hosts)]
    store, fleet = ModelStore(), dict[DaemonId, ModelHost]()
    if changes_per_s:
        tasks.spawn(store.change_others, changes_per_s)
    for own in members:
        ModelHost(members, own, store, fleet, has_notices)
    times_s: list[float] = []
    tasks.sleep(SETTLED_S)
    for _ in range(orders):
        tasks.sleep(random.uniform(0.0, 2.0))
        times_s += _run_order(store, list(fleet.values()))
    return times_s


def _run_order(store: ModelStore, fleet: list[ModelHost]) -> list[float]:
    began_s = clock.monotonic_s()
    store.change(DOMAINS[0], True)
    tasks.sleep(SETTLED_S)
    known_s = [
        each.since_s - began_s for host in fleet for each in host.evacuated.evacuated
    ]
    if len(known_s) != len(fleet):
        raise RuntimeError(f"{len(known_s)} of {len(fleet)} hosts apply the order")
    store.change(DOMAINS[0], False)
    tasks.sleep(SETTLED_S)
    return [each + random.uniform(*LATENCY_S) for each in known_s]


def model_member(number: int) -> MemberRecord:
    """Returns a host of one of the three failure domains."""
    return MemberRecord(
        daemon=DaemonId(f"m{number}"),
        host=HostId(f"m{number}"),
        region=Region("north"),
        failure_domain=DOMAINS[number % len(DOMAINS)],
        peer_address=Address(f"127.0.0.1:{2_000 + number}"),
        caller_address=Address(f"127.0.0.1:{10_000 + number}"),
        incarnation=Incarnation(1),
        state=MemberState.SERVING,
    )


def percentile_s(times_s: list[float], share: float) -> float:
    """Returns the time that a share of the hosts needs at most."""
    ordered = sorted(times_s)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@click.command()
@click.option("--hosts", default=62)
@click.option("--orders", default=40)
@click.option("--seed", default=1)
def main(hosts: int, orders: int, seed: int) -> None:
    """Prints the times with and without changes of other keys and notices."""
    logging.disable(logging.WARNING)
    for changes_per_s, has_notices in itertools.product((0.0, 10.0), (True, False)):
        times_s = run_on_virtual_clock(
            functools.partial(measure, hosts, orders, changes_per_s, has_notices, seed)
        )
        line = {
            "commit": code_revision(),
            "hosts": hosts,
            "orders": orders,
            "seed": seed,
            "changes_per_s": changes_per_s,
            "notices": has_notices,
            "p50_s": round(statistics.median(times_s), 4),
            "p99_s": round(percentile_s(times_s, 0.99), 4),
            "max_s": round(max(times_s), 4),
        }
        print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
