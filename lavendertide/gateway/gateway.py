"""The root of a gateway process: its aggregates, its listeners and its tasks."""

import logging
import signal
from typing import Final

from prometheus_client import REGISTRY
from prometheus_client.exposition import generate_latest

from lavendertide.daemon.drain import Drain, DrainedFront
from lavendertide.daemon.in_flight import InFlightCounter
from lavendertide.encodings.routes_json import decode_table, encode_table
from lavendertide.evacuation.evacuated_domains import EvacuatedDomains
from lavendertide.evacuation.metrics import EvacuationMetrics
from lavendertide.fleet.addresses import AddressBook
from lavendertide.fleet.peer_server import PeerServer
from lavendertide.fleet.readiness import Readiness
from lavendertide.forwarding.budget import RetryBudgets
from lavendertide.forwarding.fleet_callbacks import FleetCallbacks
from lavendertide.forwarding.forwarder import Forwarder
from lavendertide.forwarding.host_status import count_calls
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.forwarding.poison import CrashEvidence
from lavendertide.forwarding.pool import TargetPools
from lavendertide.forwarding.send_check import SendCheck
from lavendertide.forwarding.target_view import TargetViews
from lavendertide.gateway import bounds
from lavendertide.gateway.adapters import PlatformAdapters
from lavendertide.gateway.caller_front import CallerFront
from lavendertide.gateway.capacity_exchange import CapacityExchange
from lavendertide.gateway.cold_parts import ColdParts
from lavendertide.gateway.descriptors import Descriptors
from lavendertide.gateway.entry_front import EntryFront
from lavendertide.gateway.evacuation_broadcast import EvacuationBroadcast
from lavendertide.gateway.fleet_links import FleetLinks
from lavendertide.gateway.follower import Follower
from lavendertide.gateway.host_reports import HostReports
from lavendertide.gateway.host_shares import HostShares
from lavendertide.gateway.leaving_broadcast import LeavingBroadcast
from lavendertide.gateway.load import LoadMeter
from lavendertide.gateway.options import GatewayOptions
from lavendertide.gateway.overload_exchange import OverloadExchange
from lavendertide.gateway.peer_exchange import PeerExchange
from lavendertide.gateway.request_ledger import RequestLedger
from lavendertide.gateway.shared_reading import RegistrySource, SharedReader
from lavendertide.ids import DaemonId, ServiceName
from lavendertide.overload.byte_budget import BYTES_PER_S, ByteBudget
from lavendertide.overload.caller_bounds import CallerBounds
from lavendertide.overload.caller_connections import CallerConnections
from lavendertide.overload.shared_overload import BYTES_PER_S as OVERLOAD_BYTES_PER_S
from lavendertide.poison.quarantine import Quarantine
from lavendertide.registry.registry import TargetRegistry
from lavendertide.restoration.metrics import RestorationMetrics
from lavendertide.routes.active_routes import ActiveRoutes
from lavendertide.routes.replication import RouteReplication
from lavendertide.routes.route import Service
from lavendertide.runtime import clock, sockets, tasks

# A process that was stopped for this long refreshes its view of the fleet from its
# peers before it goes on.
LEASE_S: Final = 2.0
# Interval over which the CPU utilization is measured.
LOAD_INTERVAL_S: Final = 1.0
# Fraction of the grace for which requests are still accepted after SIGTERM.
ACCEPTING_SHARE: Final = 0.5
# Fraction of the grace after which requests in flight are no longer awaited.
DRAINED_BY_SHARE: Final = 0.85

_log = logging.getLogger(__name__)


class Gateway:
    """Wires the parts of one gateway process together and runs its tasks."""

    def __init__(self, options: GatewayOptions, adapters: PlatformAdapters) -> None:
        now_s = clock.monotonic_s()
        self._options = options
        self._adapters = adapters
        self._active_routes = ActiveRoutes()
        self._evacuated = EvacuatedDomains()
        self._registry = TargetRegistry(options.reading.last_resort_s, self._evacuated)
        cold = ColdParts(
            DaemonId(options.host), self._find_service, options.cold, REGISTRY
        )
        self._cold_parts, self._cold = cold, cold.targets
        self._in_flight = InFlightCounter()
        self._ledger = RequestLedger(REGISTRY)
        self._readiness = Readiness(LEASE_S, now_s)
        self._route_replication = RouteReplication(
            self._active_routes, encode_table, decode_table, now_s
        )
        fleet = FleetLinks(
            options,
            self._active_routes,
            lambda: self._follower.knows_targets,
            self._route_replication,
            self._readiness,
        )
        self._fleet = fleet
        shared = SharedReader(
            adapters.reader,
            options.reading,
            fleet.roster,
            fleet.peers,
            self._route_replication,
            self._active_routes,
        )
        self._follower = Follower(
            shared,
            self._active_routes,
            self._route_replication,
            self._registry,
            self._evacuated,
            now_s,
            self._cold,
        )
        self._addresses = AddressBook(
            fleet.roster,
            str,
            options.address_lifetime_s,
            bounds.ADDRESSES_PER_CALLER,
            bounds.ALONE_LIFETIME_S,
        )
        self._shares = HostShares(
            options,
            fleet.roster,
            fleet.peers,
            self._addresses,
            self._active_routes,
            self._readiness,
            cold.share,
            now_s,
        )
        self._make_forwarding()

    def run(self) -> None:
        """Serves until SIGTERM, then drains the requests in flight and returns."""
        options = self._options
        peer_listener = sockets.listen(options.peers)
        peer_server = PeerServer(
            self._fleet.connector,
            self._fleet.roster,
            self._peer_exchange,
            self._descriptors.find_accepted_peers_max,
        )
        tasks.spawn_supervised(peer_server.serve, peer_listener)
        entries = self._entry_front()
        entries_max = (
            bounds.ENTRY_CONNECTIONS_MAX
            if options.files_max is None
            else bounds.ENTRY_CONNECTIONS_BOUND + bounds.ACCEPTED_ABOVE_BOUND
        )
        for address in {options.readiness, options.directory, options.metrics}:
            listener = sockets.listen(address)
            tasks.spawn_supervised(
                sockets.accept_forever, listener, entries.serve, entries_max
            )
        tasks.spawn_supervised(self._fleet.membership.run)
        tasks.spawn_supervised(self._follower.run)
        tasks.spawn(self._enable_serving_after_read)
        tasks.spawn_supervised(self._shares.run)
        tasks.spawn_supervised(self._measure_load_forever)
        tasks.spawn_supervised(self._peer_exchange.run)
        tasks.spawn_supervised(self._cold_exchange.run)
        connections_max = self._descriptors.callers_max
        self._bounds = CallerBounds(self._adapters.memory, connections_max, REGISTRY)
        if options.shares_capacities:
            tasks.spawn_supervised(self._capacity_exchange.run)
        if options.shares_overloads:
            tasks.spawn_supervised(self._overload_exchange.run)
        front = self._caller_front()
        listener = sockets.listen(options.callers)
        tasks.spawn_supervised(
            sockets.accept_forever,
            listener,
            front.serve,
            bounds.CONNECTIONS_MAX
            if connections_max is None
            else connections_max + bounds.ACCEPTED_ABOVE_BOUND,
        )
        _log.info("started", extra={"callers": options.callers})

        def stop_accepting() -> None:
            sockets.close_listener(listener)
            front.close_idle()

        drain = Drain(
            self._fleet.roster,
            self._fleet.peers,
            self._readiness,
            self._in_flight,
            ACCEPTING_SHARE * options.grace_s,
            (DRAINED_BY_SHARE - ACCEPTING_SHARE) * options.grace_s,
            DrainedFront(
                stop_accepting, self._forwarder.announce_end, front.end_requests
            ),
        )
        signal.signal(signal.SIGTERM, lambda *_: drain.request())
        drain.run()
        _log.info("stopped", extra=self._ledger.summary)

    def reload(self, options: GatewayOptions) -> None:
        """Applies changed seeds, retry budgets and bounds of cold targets.

        Other settings need a restart.
        """
        self._fleet.peers.update_seeds(options.seeds)
        self._budgets.set_allowance(options.retries)
        self._cold.set_bounds(options.cold)

    def _make_forwarding(self) -> None:
        options = self._options
        roster, peers = self._fleet.roster, self._fleet.peers
        self._descriptors = Descriptors(
            options.files_max, bounds.CONNECTIONS_MAX, roster, peers, REGISTRY
        )
        self._metrics = ForwardingMetrics(REGISTRY)
        self._target_views = TargetViews(options.failure_domain)
        RestorationMetrics(
            REGISTRY,
            self._follower.restorations,
            lambda: self._follower.history.position,
        )
        EvacuationMetrics(
            REGISTRY,
            self._evacuated,
            lambda domain: count_calls(self._registry, self._target_views, domain),
        )
        self._crash_evidence = CrashEvidence(Quarantine())
        self._budgets = RetryBudgets(options.retries)
        leaving = LeavingBroadcast(self._registry, roster, peers)
        load_bytes = ByteBudget(
            BYTES_PER_S - OVERLOAD_BYTES_PER_S * options.shares_overloads
        )
        self._capacity_exchange = CapacityExchange(
            self._registry,
            roster,
            peers,
            self._target_views,
            self._metrics,
            options.shares_capacities,
            load_bytes,
        )
        self._cold_exchange = self._cold_parts.make_exchange(
            self._registry, roster, peers, load_bytes
        )
        self._peer_exchange = PeerExchange(
            roster,
            peers,
            self._fleet.gossip,
            self._target_views,
            self._crash_evidence,
            leaving,
            EvacuationBroadcast(self._evacuated, roster, peers),
            self._capacity_exchange,
            self._cold_exchange,
            RegistrySource(
                options.reading,
                self._follower,
                self._registry,
                self._active_routes,
                self._evacuated,
                self._cold,
            ).reply_to,
        )
        send_check = SendCheck(
            self._registry, self._target_views, self._crash_evidence, self._cold
        )
        self._forwarder = Forwarder(
            self._active_routes,
            self._registry,
            self._target_views,
            TargetPools(
                self._adapters.make_channel,
                send_check.blocking_reason,
                self._descriptors.slots,
            ),
            self._budgets,
            self._crash_evidence,
            FleetCallbacks(
                self._peer_exchange.broadcast_stall,
                leaving.record_leaving,
                self._peer_exchange.queue_verdict,
                self._shares.budget.connection_hosts,
                self._shares.budget.share,
                self._shares.may_have_previous_connections,
            ),
            self._metrics,
            self._cold,
            options.admits_by_priority,
            options.avoids_losses,
        )
        self._overload_exchange = OverloadExchange(
            roster, peers, self._forwarder.admission, self._metrics
        )
        if options.shares_overloads:
            self._peer_exchange.set_overload_exchange(self._overload_exchange)

    def _find_service(self, name: ServiceName) -> Service | None:
        table = self._active_routes.table
        return None if table is None else table.services.get(name)

    def _caller_front(self) -> CallerFront:
        return CallerFront(
            self._adapters.callers,
            self._forwarder,
            self._active_routes,
            self._readiness,
            self._in_flight,
            self._metrics,
            self._bounds,
            self._ledger,
        )

    def _entry_front(self) -> EntryFront:
        return EntryFront(
            self._adapters.entries,
            self._readiness,
            self._addresses,
            lambda: generate_latest(REGISTRY),
            HostReports(
                self._options.host,
                self._forwarder,
                self._readiness,
                self._registry,
                self._target_views,
                self._evacuated,
                self._cold,
                self._follower,
            ),
            CallerConnections(
                None
                if self._options.files_max is None
                else bounds.ENTRY_CONNECTIONS_BOUND
            ),
        )

    def _enable_serving_after_read(self) -> None:
        """Makes the host ready once routes and targets were read from the platform.

        After all hosts have ended at once there is no peer that could supply them.
        """
        self._follower.wait_for_platform_read()
        self._fleet.membership.serve_if_joining(clock.monotonic_s())

    def _measure_load_forever(self) -> None:
        """Announces to the fleet whether this host is loaded."""
        cores = self._options.processor_share
        meter = LoadMeter(cores, clock.processor_s(), clock.monotonic_s())
        while True:
            tasks.sleep(LOAD_INTERVAL_S)
            now_s = clock.monotonic_s()
            is_loaded = meter.measure(clock.processor_s(), now_s)
            self._fleet.roster.announce_load(is_loaded, now_s)
            self._bounds.log_changes(now_s)
            self._ledger.report_overdue(now_s)
