"""One daemon: its aggregates, its listeners and its tasks."""

import logging
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Final

from returns.result import Success

from lavendertide.configuration.adoption import Configuration
from lavendertide.configuration.catalog import Plan
from lavendertide.configuration.service_watch import ServiceWatch
from lavendertide.configuration.spreading import Spreading
from lavendertide.configuration.status import ConfigurationStatus, status_of
from lavendertide.configuration.watchers import is_watcher
from lavendertide.daemon.admin_service import AdminParts
from lavendertide.daemon.administration import Administration
from lavendertide.daemon.caller_front import CallerFront
from lavendertide.daemon.drain import Drain
from lavendertide.daemon.holding import join_s, make_holding
from lavendertide.daemon.in_flight import InFlight
from lavendertide.daemon.minter import Minter
from lavendertide.daemon.peer_front import PeerFront
from lavendertide.daemon.query_service import QueryService
from lavendertide.daemon.recording import RecordedSearches, RecordedTickets, Recorder
from lavendertide.daemon.ticket_service import TicketService
from lavendertide.encodings.peer_socket import PeerSocket
from lavendertide.encodings.platform_http import (
    HttpConfigurationReader,
    HttpMembershipReader,
)
from lavendertide.executions.execution import Executor
from lavendertide.executions.ledger import Ledger
from lavendertide.fleet.addresses import AddressBook
from lavendertide.fleet.link_faults import LinkFaults
from lavendertide.fleet.membership import PERIOD_BEATS, Membership
from lavendertide.fleet.news import FleetNews
from lavendertide.fleet.peer_connection import PeerEdge
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.readiness import Readiness
from lavendertide.fleet.roster import SILENCE_S, Roster
from lavendertide.ids import (
    Address,
    DaemonId,
    FailureDomain,
    HostId,
    Incarnation,
    PlanId,
    Region,
)
from lavendertide.messages import MemberRecord, MemberState
from lavendertide.metrics.metrics import Metrics
from lavendertide.options import Options
from lavendertide.plans.admission import Allowances
from lavendertide.plans.allocation import Presence
from lavendertide.plans.allocator import PlanAllocator
from lavendertide.plans.allocators import Allocators
from lavendertide.plans.books import Books
from lavendertide.plans.share_exchange import ShareExchange
from lavendertide.queries.gate import Gate
from lavendertide.queries.hedging import Budgets
from lavendertide.queries.parts import FanOutParts
from lavendertide.queries.replicas import ReplicaChoice
from lavendertide.queries.results_memory import ResultsMemory
from lavendertide.queries.snapshot import Holdings
from lavendertide.queries.target_reports import TargetReports
from lavendertide.queries.timing import Timings
from lavendertide.runtime import clock, sockets, tasks
from lavendertide.runtime.pauses import Pauses, keep_ticking

CONNECTIONS_MAX: Final = 1_024
KEEP_ALIVE_S: Final = 60.0

_log = logging.getLogger(__name__)


class Daemon:
    """Everything that one process of the fleet does."""

    def __init__(self, options: Options) -> None:
        self._options = options
        now_s = clock.monotonic_s()
        fleet = options.fleet
        self._pauses = Pauses(now_s)
        self._configuration = Configuration()
        self._metrics = Metrics()
        self._books = Books()
        self._plans: dict[PlanId, Plan] = {}
        self._roster = Roster(_own_record(options))
        self._readiness = Readiness(fleet.lease_s, now_s, join_s(options))
        self._in_flight = InFlight()
        self._faults = LinkFaults()
        self._edge = PeerEdge(fleet.key, self._roster, self._faults, PeerSocket)
        self._spreading = Spreading(
            self._configuration,
            sum(seed != options.addresses.peers for seed in fleet.seeds),
            self._on_change,
            now_s,
        )
        self._service_watch = ServiceWatch(
            HttpConfigurationReader(Address(options.platform.configuration)),
            self._configuration,
            self._watches_service,
            self._on_service_change,
        )
        self._news = FleetNews(
            self._roster,
            self._configuration,
            self._spreading,
            lambda: self._peers.tell_soon(),
        )
        self._peers = Peers(
            self._roster,
            self._edge,
            self._news,
            tuple(Address(seed) for seed in fleet.seeds),
            fleet.heartbeat_s,
        )
        self._membership = Membership(
            self._roster,
            self._peers,
            self._news,
            self._readiness,
            PERIOD_BEATS * fleet.heartbeat_s,
            fleet.removal_s,
        )
        self._shares = self._make_shares()
        self._allowances = Allowances(self._shares)
        holding = make_holding(
            options,
            self._configuration,
            self._roster,
            self._peers,
            self._readiness,
            self._metrics,
        )
        self._pool = holding.pool
        self._keeper = holding.keeper
        self._dispatcher = holding.dispatcher
        parts = self._fan_out_parts()
        self._metrics.follow_budgets(
            lambda: parts.hedge_budgets.spent, lambda: parts.retry_budgets.spent
        )
        gate = Gate(options.queries.in_flight_max, parts.memory)
        self._queries = QueryService(
            options.queries,
            self._configuration,
            self._allowances,
            parts,
            gate,
        )
        self._tickets = TicketService(
            options.fleet.key,
            options.queries.deadline_max_ms,
            self._configuration,
            self._allowances,
            self._roster,
            self._peers,
            self._minter(parts),
            gate,
        )

    def run(self) -> None:
        """Serves until SIGTERM, then finishes what is in flight."""
        addresses = self._options.addresses
        peer_listener = sockets.listen(Address(addresses.peers))
        caller_listener = sockets.listen(Address(addresses.callers))
        admin_listener = sockets.listen(Address(addresses.admin))
        tasks.spawn(self._peer_front().serve, peer_listener)
        tasks.spawn(self._membership.keep)
        tasks.spawn(keep_ticking, self._pauses)
        tasks.spawn(self._keeper.run)
        tasks.spawn(self._shares.keep)
        self._watch_platform()
        if self._options.faults:
            tasks.spawn(self._faults.follow, Path(self._options.faults.rules))
        _log.info("listening", extra={"callers": addresses.callers})
        caller_server = _serve(caller_listener, self._caller_front())
        drain = Drain(
            self._roster,
            self._peers,
            self._readiness,
            self._in_flight,
            self._options.fleet.address_lifetime_s,
            self._options.fleet.drain_bound_s,
            lambda: _close(caller_listener, caller_server),
        )
        _serve(admin_listener, self._administration(drain.request).front)
        signal.signal(signal.SIGTERM, lambda *_: drain.request())
        drain.run()
        _log.info("stopped")

    def _peer_front(self) -> PeerFront:
        return PeerFront(
            self._edge,
            self._roster,
            self._peers,
            self._news,
            self._readiness,
            self._dispatcher,
            self._tickets,
            self._shares.allocator,
            self._in_flight,
            self._keeper,
        )

    def _caller_front(self) -> CallerFront:
        lifetime_s = self._options.fleet.address_lifetime_s
        recorder = Recorder(self._configuration, self._metrics, self._books)
        return CallerFront(
            self._options.queries.body_max_bytes,
            self._roster.own,
            AddressBook(self._roster, self._configuration, lifetime_s),
            self._readiness,
            RecordedSearches(self._queries, recorder),
            RecordedTickets(self._tickets, recorder),
            self._in_flight,
        )

    def _administration(self, request_drain: Callable[[], None]) -> Administration:
        parts = AdminParts(
            self._roster,
            self._readiness,
            self._configuration,
            self._configuration_status,
            self._allowances,
            self._shares,
            self._books,
            self._pool,
            request_drain,
        )
        return Administration(self._options.admin, self._metrics, parts)

    def _make_shares(self) -> ShareExchange:
        allocator = PlanAllocator(self._rate_of, self._presence, clock.monotonic_s())
        return ShareExchange(self._roster, self._peers, Allocators(), allocator)

    def _rate_of(self, plan: PlanId) -> float | None:
        found = self._plans.get(plan)
        return found.rate_per_s if found else None

    def _presence(self, daemon: DaemonId) -> Presence:
        member = self._roster.find(daemon)
        if member is None or member.state is MemberState.REMOVED:
            return Presence.GONE
        now_s = clock.monotonic_s()
        if self._roster.is_reachable(daemon, SILENCE_S, now_s):
            return Presence.PRESENT
        return Presence.SILENT

    def _minter(self, parts: FanOutParts) -> Minter:
        ledger = Ledger(self._options.tickets)
        return Minter(
            self._options.fleet.key,
            self._configuration,
            self._roster,
            ledger,
            Executor(ledger, parts),
            self._pauses,
        )

    def _fan_out_parts(self) -> FanOutParts:
        own = self._roster.own
        policies, queries = self._options.policies, self._options.queries
        holdings, reports = Holdings(), TargetReports()
        return FanOutParts(
            dispatch=self._dispatcher,
            configuration=self._configuration,
            policies=policies,
            replica_choice=ReplicaChoice(
                policies.replicas, own.region, own.failure_domain, holdings, reports
            ),
            holdings=holdings,
            reports=reports,
            timings=Timings(),
            memory=ResultsMemory(queries.results_max_bytes, queries.query_max_bytes),
            hedge_budgets=Budgets(),
            retry_budgets=Budgets(),
        )

    def _watch_platform(self) -> None:
        platform = self._options.platform
        tasks.spawn(self._service_watch.run)
        tasks.spawn(self._spreading.run, lambda: self._peers.links)
        membership = HttpMembershipReader(Address(platform.membership))
        tasks.spawn(self._membership.read_list, membership.read)

    def _configuration_status(self, now_s: float) -> ConfigurationStatus:
        return status_of(
            self._configuration, self._service_watch, self._spreading, now_s
        )

    def _watches_service(self, now_s: float) -> bool:
        if not self._spreading.asks_service(now_s):
            return False
        reachable = [
            member
            for member in self._roster.serving
            if self._roster.is_reachable(member.daemon, SILENCE_S, now_s)
        ]
        return is_watcher(self._roster.own, reachable, self._configuration.version)

    def _on_service_change(self) -> None:
        self._on_change()
        self._spreading.announce()

    def _on_change(self) -> None:
        self._keeper.follow()
        match self._configuration.catalog:
            case Success(catalog):
                self._plans = dict(catalog.plans_by_id)
                self._allowances.apply(self._plans)
                self._books.keep_only({plan.owner for plan in self._plans.values()})


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


def _serve(listener: socket.socket, front: sockets.Application) -> tasks.Task:
    return tasks.spawn(
        sockets.serve_wsgi, listener, front, CONNECTIONS_MAX, KEEP_ALIVE_S
    )


def _close(listener: socket.socket, server: tasks.Task) -> None:
    sockets.close_listener(listener)
    server.stop()
