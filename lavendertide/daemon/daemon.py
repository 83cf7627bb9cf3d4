"""One daemon: its aggregates, its listeners and its tasks."""

import logging
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Final

from prometheus_client import REGISTRY
from returns.result import Success

from lavendertide.configuration.adoption import Configuration
from lavendertide.daemon.admin_service import AdminDependencies
from lavendertide.daemon.administration import Administration, export_owner_counts
from lavendertide.daemon.caller_front import CallerFront
from lavendertide.daemon.caller_services import make_caller_services
from lavendertide.daemon.configuration_tasks import ConfigurationTasks
from lavendertide.daemon.drain import Drain, DrainedFront
from lavendertide.daemon.guarded_server import GuardedServer
from lavendertide.daemon.in_flight import InFlightCounter
from lavendertide.daemon.peer_front import PeerFront
from lavendertide.daemon.plan_shares import make_share_exchange
from lavendertide.daemon.recording import RecordedSearches, RecordedTickets, Recorder
from lavendertide.daemon.slot_holding import join_s, make_slot_holding
from lavendertide.encodings.link_faults_json import read_rules
from lavendertide.encodings.peer_socket import PeerSocket
from lavendertide.encodings.platform_http import (
    HttpMembershipReader,
)
from lavendertide.fleet.addresses import AddressBook
from lavendertide.fleet.gossip import Gossip
from lavendertide.fleet.link_faults import LinkFaults
from lavendertide.fleet.membership import PERIOD_HEARTBEATS, Membership
from lavendertide.fleet.peer_connection import PeerConnector
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.readiness import Readiness
from lavendertide.fleet.roster import Roster
from lavendertide.ids import (
    Address,
    CallerKey,
    DaemonId,
    FailureDomain,
    HostId,
    Incarnation,
    Region,
)
from lavendertide.messages import MemberRecord, MemberState
from lavendertide.metrics.metrics import Metrics
from lavendertide.options import Options
from lavendertide.overload.caller_bounds import CallerBounds
from lavendertide.overload.response_memory import ResponseMemory
from lavendertide.plans.admission import PlanLimiters
from lavendertide.plans.failure_logs import FailureLogs
from lavendertide.runtime import clock, sockets, tasks
from lavendertide.runtime.pauses import PauseTracker, run_pause_ticks

CONNECTIONS_MAX: Final = 1_024
# Interval between two looks at whether callers are being closed.
BOUNDS_INTERVAL_S: Final = 1.0

_log = logging.getLogger(__name__)


class Daemon:
    """One process of the fleet: owns the aggregates and runs their tasks."""

    def __init__(self, options: Options) -> None:
        self._options = options
        now_s = clock.monotonic_s()
        fleet = options.fleet
        self._pauses = PauseTracker(now_s)
        self._configuration = Configuration()
        self._metrics = Metrics()
        self._failure_logs = FailureLogs()
        self._roster = Roster(_own_record(options))
        self._readiness = Readiness(fleet.lease_s, now_s, join_s(options))
        self._in_flight = InFlightCounter()
        self._faults = LinkFaults()
        self._connector = PeerConnector(
            fleet.key, self._roster, self._faults, PeerSocket
        )
        self._configuration_tasks = ConfigurationTasks(
            options, self._configuration, self._roster, self._on_change, now_s
        )
        self._gossip = Gossip(
            self._roster,
            self._configuration,
            self._configuration_tasks.replication,
            lambda: self._peers.wake_watched_links(),
        )
        self._peers = Peers(
            self._roster,
            self._connector,
            self._gossip,
            tuple(Address(seed) for seed in fleet.seeds),
            fleet.heartbeat_s,
        )
        self._membership = Membership(
            self._roster,
            self._peers,
            self._gossip,
            self._readiness,
            PERIOD_HEARTBEATS * fleet.heartbeat_s,
            fleet.removal_s,
        )
        self._shares = make_share_exchange(
            self._configuration, self._roster, self._peers
        )
        self._limiters = PlanLimiters(self._shares)
        holding = make_slot_holding(
            options,
            self._configuration,
            self._roster,
            self._peers,
            self._readiness,
            self._metrics,
        )
        self._pool = holding.pool
        self._slot_manager = holding.slot_manager
        self._dispatcher = holding.dispatcher
        self._services = make_caller_services(
            options,
            self._configuration,
            self._limiters,
            self._roster,
            self._peers,
            self._dispatcher,
            self._pauses,
        )
        export_owner_counts(self._metrics, self._services.dependencies, self._pool)
        self._metrics.register_hedging(
            lambda: self._services.dependencies.hedge_budgets.withheld,
            lambda: self._services.dependencies.timings.last_estimates,
        )

    def run(self) -> None:
        """Serves until SIGTERM, then drains and finishes the requests in flight."""
        addresses = self._options.addresses
        peer_listener = sockets.listen(Address(addresses.peers))
        caller_listener = sockets.listen(Address(addresses.callers))
        admin_listener = sockets.listen(Address(addresses.admin))
        tasks.spawn_supervised(self._peer_front().serve, peer_listener)
        tasks.spawn_supervised(self._membership.run)
        tasks.spawn_supervised(run_pause_ticks, self._pauses)
        tasks.spawn_supervised(self._slot_manager.run)
        tasks.spawn_supervised(self._shares.run)
        self._watch_platform()
        if self._options.faults:
            rules = Path(self._options.faults.rules)
            tasks.spawn_supervised(self._faults.run, lambda: read_rules(rules))
        _log.info("listening", extra={"callers": addresses.callers})
        responses = ResponseMemory(self._options.queries.results_max_bytes, True)
        bounds = CallerBounds(responses, CONNECTIONS_MAX, REGISTRY)
        tasks.spawn_supervised(_log_bounds_forever, bounds)
        callers = GuardedServer(
            caller_listener, self._caller_front(), bounds, CONNECTIONS_MAX
        )
        drain = Drain(
            self._roster,
            self._peers,
            self._readiness,
            self._in_flight,
            self._options.fleet.address_lifetime_s,
            self._options.fleet.drain_bound_s,
            DrainedFront(callers.close),
        )
        GuardedServer(
            admin_listener,
            self._administration(drain.request).front,
            CallerBounds(responses, CONNECTIONS_MAX),
            CONNECTIONS_MAX,
        )
        signal.signal(signal.SIGTERM, lambda *_: drain.request())
        drain.run()
        _log.info("stopped")

    def _peer_front(self) -> PeerFront:
        return PeerFront(
            self._connector,
            self._roster,
            self._peers,
            self._gossip,
            self._readiness,
            self._dispatcher,
            self._services.tickets,
            self._shares.allocator,
            self._in_flight,
            self._slot_manager,
            self._pauses,
        )

    def _caller_front(self) -> CallerFront:
        lifetime_s = self._options.fleet.address_lifetime_s
        recorder = Recorder(self._configuration, self._metrics, self._failure_logs)
        return CallerFront(
            self._options.queries.body_max_bytes,
            self._roster.own,
            AddressBook(self._roster, self._plan_name, lifetime_s),
            self._readiness,
            RecordedSearches(self._services.queries, recorder),
            RecordedTickets(self._services.tickets, recorder),
            self._in_flight,
        )

    def _plan_name(self, key: CallerKey) -> str:
        plan = self._configuration.catalog.bind(lambda catalog: catalog.plan_of(key))
        return plan.map(lambda found: str(found.plan)).value_or(str(key))

    def _administration(self, request_drain: Callable[[], None]) -> Administration:
        dependencies = AdminDependencies(
            self._roster,
            self._readiness,
            self._configuration,
            self._configuration_tasks.status,
            self._limiters,
            self._shares,
            self._failure_logs,
            self._pool,
            request_drain,
        )
        return Administration(self._options.admin, self._metrics, dependencies)

    def _watch_platform(self) -> None:
        self._configuration_tasks.start(lambda: self._peers.links)
        membership = HttpMembershipReader(Address(self._options.platform.membership))
        tasks.spawn_supervised(self._membership.poll_published_hosts, membership.read)

    def _on_change(self) -> None:
        self._slot_manager.apply_changes()
        match self._configuration.catalog:
            case Success(catalog):
                plans = catalog.plans_by_id
                self._limiters.apply(dict(plans))
                self._failure_logs.retain_only({plan.owner for plan in plans.values()})


def _own_record(options: Options) -> MemberRecord:
    return MemberRecord(
        daemon=DaemonId(options.place.daemon),
        host=HostId(options.place.host),
        region=Region(options.place.region),
        failure_domain=FailureDomain(options.place.failure_domain),
        peer_address=Address(options.addresses.peers),
        caller_address=Address(options.addresses.callers),
        incarnation=Incarnation(int(clock.wall_s() * 1000)),
        state=MemberState.JOINING,
    )


def _log_bounds_forever(bounds: CallerBounds) -> None:
    while True:
        tasks.sleep(BOUNDS_INTERVAL_S)
        bounds.log_changes(clock.monotonic_s())
