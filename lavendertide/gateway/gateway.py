"""One gateway: its aggregates, its listeners and its tasks."""

import logging
import signal
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from prometheus_client import REGISTRY
from prometheus_client.exposition import generate_latest

from lavendertide.daemon.drain import Drain
from lavendertide.daemon.in_flight import InFlight
from lavendertide.encodings.peer_socket import PeerSocket
from lavendertide.encodings.routes_json import decode_table, encode_table
from lavendertide.fleet.addresses import AddressBook
from lavendertide.fleet.gossip import Gossip
from lavendertide.fleet.link_faults import LinkFaults
from lavendertide.fleet.membership import Membership
from lavendertide.fleet.peer_connection import PeerConnector
from lavendertide.fleet.peer_server import PeerServer
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.readiness import Readiness, ReadinessState
from lavendertide.fleet.roster import Roster
from lavendertide.forwarding.budget import RetryBudgets
from lavendertide.forwarding.forwarder import FleetCallbacks, Forwarder
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.forwarding.poison import CrashEvidence
from lavendertide.forwarding.pool import (
    PREVIOUS_CONNECTIONS_S,
    TargetChannel,
    TargetPools,
)
from lavendertide.forwarding.target_view import TargetViews
from lavendertide.gateway.budget_share import BudgetShare
from lavendertide.gateway.caller_front import CallerCodec, CallerFront
from lavendertide.gateway.entry_front import EntryCodec, EntryFront
from lavendertide.gateway.follower import Follower, PlatformReader
from lavendertide.gateway.load import LoadMeter
from lavendertide.gateway.options import GatewayOptions
from lavendertide.gateway.peer_news import PeerNews
from lavendertide.gateway.shared_reading import RegistrySource, SharedReader
from lavendertide.ids import (
    NO_VERSION,
    Address,
    CallerKey,
    ConfigurationVersion,
    DaemonId,
    Incarnation,
)
from lavendertide.messages import MemberRecord, MemberState
from lavendertide.poison.quarantine import Quarantine
from lavendertide.registry.registry import TargetRegistry
from lavendertide.routes.active_routes import ActiveRoutes
from lavendertide.routes.replication import RouteReplication
from lavendertide.runtime import clock, sockets, tasks

# A peer that does not answer is noticed after a few of these.
HEARTBEAT_S: Final = 0.25
# A process that stood still for so long asks its peers again before it goes on.
LEASE_S: Final = 2.0
# Without a published list of hosts, a member that is silent for so long is dropped.
REMOVAL_S: Final = 30.0
ROUND_S: Final = 0.25
# How often it is looked who is named to callers; a part of the budgets' window.
SHARE_S: Final = 1.0
# The same while no other host is known; a part of the time in which that changes.
FIRST_SHARE_S: Final = 0.1
# With more names that callers ask for, nearly all hosts are named for one of them.
NAMES_MAX: Final = 16
# Over which the use of the processor is measured.
LOAD_S: Final = 1.0
CONNECTIONS_MAX: Final = 2_000
ENTRY_CONNECTIONS_MAX: Final = 200
# Hosts that are named to a caller; enough that one can fail without all its requests.
ADDRESSES: Final = 3
# For how long a host that knows no other yet names itself alone. It knows them within a
# second where there are others.
ALONE_LIFETIME_S: Final = 1.0
# Part of the grace in which requests are still taken after the request to stop.
TAKING_SHARE: Final = 0.5
# Part of the grace after which requests in flight are not waited for any more.
ENDING_SHARE: Final = 0.85

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class PlatformAdapters:
    """What `lavendertide.platform` hands in.

    Attributes:
        reader: Reads what the platform publishes.
        make_wire: Makes a connection to a target.
        callers: Translates callers' messages.
        entries: Translates questions about readiness and addresses.
    """

    reader: PlatformReader
    make_wire: Callable[[Address], TargetChannel]
    callers: CallerCodec
    entries: EntryCodec


class KnownRoutes:
    """The version of the routes once requests can be forwarded by it.

    A host that knows routes and no targets would refuse everything; it must not count
    as serving.

    Args:
        knows_targets: Returns whether the targets were read.
    """

    def __init__(self, book: ActiveRoutes, knows_targets: Callable[[], bool]) -> None:
        self._book = book
        self._knows_targets = knows_targets

    @property
    def version(self) -> ConfigurationVersion:
        """The version in force, zero while the targets are unknown."""
        return self._book.version if self._knows_targets() else NO_VERSION


class Gateway:
    """Everything that one gateway process does."""

    def __init__(self, options: GatewayOptions, adapters: PlatformAdapters) -> None:
        now_s = clock.monotonic_s()
        self._started_at_s = now_s
        self._options = options
        self._adapters = adapters
        self._book = ActiveRoutes()
        self._registry = TargetRegistry()
        self._share = BudgetShare(options.retries.window_s)
        self._in_flight = InFlight()
        self._readiness = Readiness(LEASE_S, now_s)
        self._spreading = RouteReplication(
            self._book, encode_table, decode_table, now_s
        )
        self._make_fleet()
        shared = SharedReader(
            adapters.reader,
            options.reading,
            self._roster,
            self._peers,
            self._spreading,
            self._book,
        )
        self._follower = Follower(
            shared, self._book, self._spreading, self._registry, now_s
        )
        self._make_forwarding()

    def run(self) -> None:
        """Serves until SIGTERM, then finishes what is in flight."""
        options = self._options
        peer_listener = sockets.listen(options.peers)
        tasks.spawn(
            PeerServer(self._connector, self._roster, self._peer_news).serve,
            peer_listener,
        )
        entries = self._entry_front()
        for address in {options.readiness, options.directory, options.metrics}:
            listener = sockets.listen(address)
            tasks.spawn(
                sockets.accept_forever, listener, entries.serve, ENTRY_CONNECTIONS_MAX
            )
        tasks.spawn(self._membership.run)
        tasks.spawn(self._follower.run)
        tasks.spawn(self._serve_once_read)
        tasks.spawn(self._keep_share)
        tasks.spawn(self._keep_load)
        tasks.spawn(self._peer_news.keep_telling)
        front = self._caller_front()
        listener = sockets.listen(options.callers)
        tasks.spawn(sockets.accept_forever, listener, front.serve, CONNECTIONS_MAX)
        _log.info("started", extra={"callers": options.callers})

        def stop_taking() -> None:
            sockets.close_listener(listener)
            front.close_idle()

        drain = Drain(
            self._roster,
            self._peers,
            self._readiness,
            self._in_flight,
            TAKING_SHARE * options.grace_s,
            (ENDING_SHARE - TAKING_SHARE) * options.grace_s,
            stop_taking,
        )
        signal.signal(signal.SIGTERM, lambda *_: drain.request())
        drain.run()
        _log.info("stopped")

    def reload(self, options: GatewayOptions) -> None:
        """Takes in changed settings; addresses need a restart."""
        self._peers.update_seeds(options.seeds)
        self._budgets.set_allowance(options.retries)

    def _make_fleet(self) -> None:
        options = self._options
        self._roster = Roster(_own_record(options))
        self._connector = PeerConnector(
            options.fleet_key, self._roster, LinkFaults(), PeerSocket
        )
        self._gossip = Gossip(
            self._roster,
            KnownRoutes(self._book, lambda: self._follower.has_read),
            self._spreading,
            lambda: self._peers.wake_watched_links(),
        )
        self._peers = Peers(
            self._roster, self._connector, self._gossip, options.seeds, HEARTBEAT_S
        )
        self._membership = Membership(
            self._roster,
            self._peers,
            self._gossip,
            self._readiness,
            ROUND_S,
            REMOVAL_S,
            is_listed=False,
        )

    def _make_forwarding(self) -> None:
        options = self._options
        self._addresses = AddressBook(
            self._roster, str, options.address_lifetime_s, ADDRESSES, ALONE_LIFETIME_S
        )
        self._metrics = ForwardingMetrics(REGISTRY)
        self._views = TargetViews(options.failure_domain)
        self._crashes = CrashEvidence(Quarantine())
        self._budgets = RetryBudgets(options.retries)
        self._peer_news = PeerNews(
            self._roster,
            self._peers,
            self._gossip,
            self._views,
            self._crashes,
            RegistrySource(
                options.reading, self._follower, self._registry, self._book
            ).answer,
        )
        self._forwarder = Forwarder(
            self._book,
            self._registry,
            self._views,
            TargetPools(self._adapters.make_wire),
            self._budgets,
            self._crashes,
            FleetCallbacks(
                self._peer_news.broadcast_stall,
                self._peer_news.broadcast_verdict,
                lambda: self._share.hosts,
                self._share.share,
                self._has_former,
            ),
            self._metrics,
        )

    def _has_former(self, now_s: float) -> bool:
        """Returns whether targets may still count connections of before the start.

        A host that knows no other divides by more hosts than there are; it need not
        leave room besides.
        """
        return (
            self._share.knows_fleet
            and now_s - self._started_at_s < PREVIOUS_CONNECTIONS_S
        )

    def _caller_front(self) -> CallerFront:
        return CallerFront(
            self._adapters.callers,
            self._forwarder,
            self._book,
            self._readiness,
            self._in_flight,
            self._metrics,
        )

    def _entry_front(self) -> EntryFront:
        return EntryFront(
            self._adapters.entries,
            self._readiness,
            self._addresses,
            lambda: generate_latest(REGISTRY),
        )

    def _serve_once_read(self) -> None:
        """Serves as soon as the platform has told the routes and all targets.

        After the end of all hosts nobody else could tell them.
        """
        self._follower.wait_for_platform()
        self._membership.serve_if_joining(clock.monotonic_s())

    def _keep_share(self) -> None:
        while True:
            if self._readiness.state is ReadinessState.SERVING:
                now_s = clock.monotonic_s()
                named = self._named_hosts(now_s)
                is_named = self._roster.own.daemon in named
                self._share.see(len(self._roster.members), len(named), is_named, now_s)
            tasks.sleep(SHARE_S if self._share.knows_fleet else FIRST_SHARE_S)

    def _named_hosts(self, now_s: float) -> frozenset[DaemonId]:
        """Returns the hosts that callers of the routes are told to use."""
        keys = self._book.table.caller_hosts if self._book.table is not None else ()
        if len(keys) > NAMES_MAX:
            return frozenset(member.daemon for member in self._roster.members)
        return self._addresses.members_listed_for(map(CallerKey, keys), now_s)

    def _keep_load(self) -> None:
        share = self._options.processor_share
        meter = LoadMeter(share, clock.processor_s(), clock.monotonic_s())
        while True:
            tasks.sleep(LOAD_S)
            now_s = clock.monotonic_s()
            is_loaded = meter.measure(clock.processor_s(), now_s)
            self._roster.announce_load(is_loaded, now_s)


def _own_record(options: GatewayOptions) -> MemberRecord:
    return MemberRecord(
        daemon=DaemonId(options.host),
        host=options.host,
        region=options.region,
        failure_domain=options.failure_domain,
        peer_address=options.peers,
        caller_address=options.callers,
        incarnation=Incarnation(int(clock.wall_s() * 1_000)),
        state=MemberState.JOINING,
        capacity=round(100 * options.processor_share),
    )
