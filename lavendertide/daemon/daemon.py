"""One daemon: its aggregates, its listeners and its tasks."""

import logging
import signal
from typing import Final

from returns.result import Failure, Success

from lavendertide.configuration.adoption import Configuration
from lavendertide.configuration.catalog import Plan
from lavendertide.configuration.service_watch import watch_service
from lavendertide.daemon.admin_service import AdminParts
from lavendertide.daemon.administration import Administration
from lavendertide.daemon.caller_front import CallerFront
from lavendertide.daemon.dispatcher import Dispatcher
from lavendertide.daemon.peer_front import PeerFront
from lavendertide.daemon.query_service import QueryService
from lavendertide.daemon.ticket_service import TicketService
from lavendertide.encodings.platform_http import (
    HttpConfigurationReader,
    HttpMembershipReader,
)
from lavendertide.encodings.target_http import HttpTargetExchange
from lavendertide.executions.execution import Executor
from lavendertide.executions.ledger import Ledger
from lavendertide.fleet.news import FleetNews
from lavendertide.fleet.peers import Peers
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
from lavendertide.plans.allocation import PlanAllocator, Presence
from lavendertide.plans.allocators import Allocators
from lavendertide.plans.books import Books
from lavendertide.plans.share_exchange import ShareExchange
from lavendertide.queries.fan_out import FanOutParts, HedgeBudgets
from lavendertide.queries.replicas import ReplicaChoice
from lavendertide.queries.snapshot import Holdings
from lavendertide.runtime import clock, sockets, tasks
from lavendertide.targets.target_pool import TargetPool

MEMBERSHIP_READ_S: Final = 2.0
CONNECTIONS_MAX: Final = 1_024
KEEP_ALIVE_S: Final = 60.0

_log = logging.getLogger(__name__)


class Daemon:
    """Everything that one process of the fleet does."""

    def __init__(self, options: Options) -> None:
        self._options = options
        self._stopping = tasks.Signal()
        self._configuration = Configuration()
        self._metrics = Metrics()
        self._books = Books()
        self._plans: dict[PlanId, Plan] = {}
        self._roster = Roster(_own_record(options))
        self._news = FleetNews(
            options.fleet.key, self._roster, self._configuration, self._on_change
        )
        self._peers = Peers(
            self._roster,
            self._news,
            tuple(Address(seed) for seed in options.fleet.seeds),
            options.fleet.heartbeat_s,
        )
        self._shares = self._make_shares()
        self._allowances = Allowances(self._shares)
        self._pool = TargetPool(HttpTargetExchange)
        self._dispatcher = Dispatcher(
            self._configuration, self._roster, self._peers, self._pool
        )
        parts = self._fan_out_parts()
        self._queries = QueryService(
            options.queries, self._configuration, self._allowances, parts
        )
        ledger = Ledger()
        self._tickets = TicketService(
            options.fleet.key,
            self._configuration,
            self._allowances,
            self._roster,
            self._peers,
            ledger,
            Executor(ledger, parts),
        )

    def run(self) -> None:
        """Serves until SIGTERM, then finishes what is in flight."""
        signal.signal(signal.SIGTERM, lambda *_: self._stopping.set())
        addresses = self._options.addresses
        peer_listener = sockets.listen(Address(addresses.peers))
        caller_listener = sockets.listen(Address(addresses.callers))
        admin_listener = sockets.listen(Address(addresses.admin))
        peer_front = PeerFront(
            self._news, self._dispatcher, self._tickets, self._shares.allocator
        )
        tasks.spawn(peer_front.serve, peer_listener)
        self._peers.follow_roster()
        tasks.spawn(self._shares.keep)
        self._watch_platform()
        administration = self._administration()
        caller_front = CallerFront(
            self._options.queries.body_max_bytes,
            self._roster,
            administration.record_searches(self._queries),
            administration.record_tickets(self._tickets),
        )
        for listener, front in (
            (caller_listener, caller_front),
            (admin_listener, administration.front),
        ):
            tasks.spawn(
                sockets.serve_wsgi, listener, front, CONNECTIONS_MAX, KEEP_ALIVE_S
            )
        _log.info("serving", extra={"callers": addresses.callers})
        self._stopping.wait()
        _log.info("stopped")

    def _administration(self) -> Administration:
        parts = AdminParts(
            self._roster,
            self._configuration,
            self._allowances,
            self._shares,
            self._books,
            self._pool,
            self._stopping.set,
        )
        return Administration(self._options.admin, self._metrics, parts)

    def _make_shares(self) -> ShareExchange:
        allocators = Allocators()
        allocator = PlanAllocator(
            self._rate_of, self._presence, allocators, clock.monotonic_s()
        )
        return ShareExchange(self._roster, self._peers, allocators, allocator)

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

    def _fan_out_parts(self) -> FanOutParts:
        own = self._roster.own
        holdings = Holdings()
        return FanOutParts(
            dispatch=self._dispatcher,
            replica_choice=ReplicaChoice(own.region, own.failure_domain, holdings),
            holdings=holdings,
            hedge_policy=self._options.policies.hedging,
            hedge_budgets=HedgeBudgets(),
        )

    def _watch_platform(self) -> None:
        platform = self._options.platform
        tasks.spawn(
            watch_service,
            HttpConfigurationReader(Address(platform.configuration)),
            self._configuration,
            lambda: True,
            self._on_change,
        )
        tasks.spawn(
            self._read_membership, HttpMembershipReader(Address(platform.membership))
        )

    def _read_membership(self, reader: HttpMembershipReader) -> None:
        reachable = True
        while True:
            match reader.read():
                case Success(_):
                    reachable = True
                case Failure(refusal):
                    if reachable:
                        _log.warning("membership list lost: %s", refusal)
                    reachable = False
            tasks.sleep(MEMBERSHIP_READ_S)

    def _on_change(self) -> None:
        self._peers.follow_roster()
        match self._configuration.catalog:
            case Success(catalog):
                self._plans = {plan.plan: plan for plan in catalog.plans.values()}
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
        state=MemberState.SERVING,
    )
