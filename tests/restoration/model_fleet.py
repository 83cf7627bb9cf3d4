"""A store that can be restored from copies, and hosts that follow it, without sockets.

The hosts run the real follower, shared reading, registry and evacuations. One of them
reads the store and the others read from it, as in one failure domain.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any

from returns.result import Failure, Result, Success

from lavendertide.encodings.routes_json import decode_table, encode_table
from lavendertide.errors import Refusal, unreachable
from lavendertide.evacuation.evacuated_domains import EvacuatedDomains, Evacuation
from lavendertide.fleet.roster import Roster
from lavendertide.gateway.follower import Follower
from lavendertide.gateway.publications import (
    EvacuationPublished,
    HistoryLost,
    Publication,
    PublicationBatch,
    RoutesPublished,
    TargetPublished,
    TargetWithdrawn,
)
from lavendertide.gateway.reading_times import ReadingTimes
from lavendertide.gateway.shared_reading import RegistrySource, SharedReader
from lavendertide.ids import (
    FailureDomain,
    StoreEra,
    StoreRevision,
    TargetId,
)
from lavendertide.messages import MemberRecord, RegistryPull, RegistryPush
from lavendertide.registry.record import TargetRecord, TargetState
from lavendertide.registry.registry import TargetRegistry
from lavendertide.restoration.position import Position
from lavendertide.routes.active_routes import ActiveRoutes
from lavendertide.routes.replication import RouteReplication
from lavendertide.runtime import clock, tasks
from standins.forwarding_records import route, table, target
from tests.fleet.members import member

TIMES = ReadingTimes(leaving_s=3.0)
# Interval at which a watch looks for changes.
POLL_S = 0.02
HEARTBEAT_S = 0.25


@dataclass(frozen=True, slots=True)
class TargetKey:
    """The key of a target's entry, whose value is its record."""

    target: TargetId


@dataclass(frozen=True, slots=True)
class EvacuationKey:
    """The key of an order to evacuate a domain, which has no value."""

    domain: FailureDomain


@dataclass(frozen=True, slots=True)
class RoutesKey:
    """The key of the configuration, whose value is its version."""


Key = TargetKey | EvacuationKey | RoutesKey


@dataclass(frozen=True, slots=True)
class Written:
    """One write; a removal has no value."""

    key: Key
    value: Any
    position: Position


class ModelStore:
    """A store with eras, copies and a bounded history.

    Attributes:
        is_away: Whether all calls fail.
        reads_of_all: How often everything was read.
    """

    def __init__(self) -> None:
        self.is_away = False
        self.reads_of_all = 0
        self._items: dict[Key, Written] = {}
        self._events: list[Written] = []
        self._position = Position(StoreEra(1), StoreRevision(1))
        self._complete_after = self._position
        self._copy = dict(self._items), self._position
        self._since_copy: dict[Key, Any] = {}
        self._lost: dict[Key, Any] = {}

    @property
    def position(self) -> Position:
        """The present position."""
        return self._position

    @property
    def lost(self) -> list[Key]:
        """The keys whose last writes were lost and not made again."""
        return list(self._lost)

    @property
    def targets(self) -> dict[TargetId, TargetRecord]:
        """The entries of targets."""
        return {
            key.target: item.value
            for key, item in self._items.items()
            if isinstance(key, TargetKey)
        }

    @property
    def version(self) -> int:
        """The version of the configuration; zero if there is none."""
        routes = self._items.get(RoutesKey())
        return 0 if routes is None else int(routes.value)

    @property
    def evacuated(self) -> set[FailureDomain]:
        """The domains that are evacuated."""
        return {key.domain for key in self._items if isinstance(key, EvacuationKey)}

    def write(self, key: Key, value: Any) -> None:
        """Writes a value, or removes the key if there is none."""
        self._lost.pop(key, None)
        self._since_copy[key] = value
        revision = StoreRevision(self._position.revision + 1)
        self._position = replace(self._position, revision=revision)
        written = Written(key, value, self._position)
        self._events.append(written)
        if value is None:
            self._items.pop(key, None)
        else:
            self._items[key] = written

    def make_copy(self) -> None:
        """Makes the copy from which the store is restored later."""
        self._copy = dict(self._items), self._position
        self._since_copy = {}

    def restore(self) -> None:
        """Returns from the copy, under the next era."""
        items, position = self._copy
        era = StoreEra(self._position.era + 1)
        self._items = {
            key: replace(item, position=replace(item.position, era=era))
            for key, item in items.items()
        }
        self._lost |= self._since_copy
        self._since_copy = {}
        self._position = self._complete_after = Position(era, position.revision)
        self._events = []

    def write_again(self, key: Key) -> None:
        """Makes a write again that was lost."""
        if key in self._lost:
            self.write(key, self._lost[key])

    def discard_history(self) -> None:
        """Forgets the changes up to now."""
        self._complete_after = self._position
        self._events = []

    def read_all(self) -> PublicationBatch:
        """Returns everything."""
        self.reads_of_all += 1
        published = tuple(_publish(item) for item in self._items.values())
        states = tuple(
            each.state for each in published if isinstance(each, EvacuationPublished)
        )
        return PublicationBatch(
            published, self._position, evacuations=states, is_complete=True
        )

    def read_changes(self, position: Position) -> PublicationBatch | HistoryLost:
        """Returns the changes after a revision, of whichever era it is."""
        after = position.revision
        is_kept = self._complete_after.revision <= after <= self._position.revision
        if position.era != self._position.era or not is_kept:
            return HistoryLost(self._position.era)
        changes = [each for each in self._events if each.position.revision > after]
        return PublicationBatch(tuple(map(_publish, changes)), self._position)


def _publish(written: Written) -> Publication:
    match written.key:
        case TargetKey(name):
            if written.value is None:
                return TargetWithdrawn(name)
            return TargetPublished(written.value)
        case EvacuationKey(domain):
            is_evacuated = written.value is not None
            return EvacuationPublished(
                Evacuation(domain, written.position, is_evacuated)
            )
        case RoutesKey():
            return RoutesPublished(table(written.value, route()))


class ModelHost:
    """One host, which may be cut off from the store and from its peers.

    Attributes:
        is_cut_from_store: Whether its calls to the store fail.
        is_cut_from_peers: Whether no peer answers it, and it answers none.
        reached_era_at_s: When it first read the era that it knows, monotonic.
    """

    def __init__(
        self, store: ModelStore, fleet: Sequence["ModelHost"], number: int, size: int
    ) -> None:
        self._store, self._fleet, self.number = store, fleet, number
        records = [replace(member(n), capacity=10 - n % 10) for n in range(size)]
        # All are of one failure domain.
        domain = records[0].failure_domain
        records = [replace(each, failure_domain=domain) for each in records]
        self._numbers = {each.daemon: n for n, each in enumerate(records)}
        self._roster = Roster(records[number])
        self._roster.apply_records(records, clock.monotonic_s())
        self.is_cut_from_store = self.is_cut_from_peers = False
        self.reached_era_at_s = -1e9
        self._is_running = False
        self.restart()

    def restart(self) -> None:
        """Forgets everything, as a new process."""
        now_s = clock.monotonic_s()
        self.routes, self.evacuated = ActiveRoutes(), EvacuatedDomains()
        self.registry = TargetRegistry(evacuated=self.evacuated)
        replication = RouteReplication(self.routes, encode_table, decode_table, now_s)
        peers: Any = self
        reader = SharedReader(
            self, TIMES, self._roster, peers, replication, self.routes
        )
        self.follower = Follower(
            reader, self.routes, replication, self.registry, self.evacuated, now_s
        )
        self.source = RegistrySource(
            TIMES, self.follower, self.registry, self.routes, self.evacuated
        )

    @property
    def position(self) -> Position:
        """The position up to which it has read."""
        return self.follower.history.position

    @property
    def _is_store_unreachable(self) -> bool:
        return self.is_cut_from_store or self._store.is_away

    def run(self) -> None:
        """Reads as a process does, and hears of the routes of its peers."""
        self._is_running = True
        tasks.spawn(self.follower.run)
        while True:
            self._hear_heartbeats()
            tasks.sleep(HEARTBEAT_S)

    def step(self) -> None:
        """Reads once, as the follower does in its loop."""
        era = self.position.era
        self._hear_heartbeats()
        self.follower.read()
        if self.position.era != era:
            self.reached_era_at_s = clock.monotonic_s()
        self.expire()

    def _hear_heartbeats(self) -> None:
        """Pulls later routes from the peers, whose heartbeats name their version."""
        for peer in self._fleet:
            peer_table = peer.routes.table
            is_cut = self.is_cut_from_peers or peer.is_cut_from_peers
            if peer_table is not None and not is_cut:
                self.routes.adopt(peer_table, "peer", clock.monotonic_s())

    def expire(self) -> None:
        """Ends what holds for a time, as the follower does in its loop."""
        now_s = clock.monotonic_s()
        self.registry.expire(now_s)
        self.evacuated.expire(now_s)

    def read_all(self) -> Result[PublicationBatch, Refusal]:
        """Reads everything from the store."""
        if self._is_store_unreachable:
            return Failure(unreachable("store", "timeout", "Wait."))
        return Success(self._store.read_all())

    def read_changes(
        self, position: Position
    ) -> Result[PublicationBatch | HistoryLost, Refusal]:
        """Reads changes from the store; waits for some if it runs by itself."""
        ends_at_s = clock.monotonic_s() + TIMES.watch_s * self._is_running
        while not self._is_store_unreachable:
            result = self._store.read_changes(position)
            is_new = result != PublicationBatch((), position)
            if is_new or clock.monotonic_s() >= ends_at_s:
                return Success(result)
            tasks.sleep(POLL_S)
        return Failure(unreachable("store", "timeout", "Wait."))

    def link_to(self, peer: MemberRecord) -> "ModelLink":
        """Returns the link to a peer."""
        return ModelLink(self, self._fleet[self._numbers[peer.daemon]])


class ModelLink:
    """A link between two hosts; a host that is cut off answers nothing."""

    def __init__(self, own: ModelHost, peer: ModelHost) -> None:
        self._own, self._peer = own, peer

    def pull_registry(
        self, pull: RegistryPull, timeout_s: float
    ) -> RegistryPush | None:
        """Returns the peer's reply."""
        if self._own.is_cut_from_peers or self._peer.is_cut_from_peers:
            return None
        return self._peer.source.reply_to(pull)

    def send(self, frame: object) -> None:
        """Pulls routes, which reach the host at once."""
        peer_table = self._peer.routes.table
        if peer_table is not None:
            self._own.routes.adopt(peer_table, "peer", clock.monotonic_s())


def make_target(name: str, started_at_ms: int, is_draining: bool) -> TargetRecord:
    """Returns the entry of one run of a target."""
    state = TargetState.DRAINING if is_draining else TargetState.READY
    return target(name, state=state, started_at_ms=started_at_ms)
