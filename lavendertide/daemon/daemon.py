"""One daemon: its aggregates, its listeners and its tasks."""

import logging
import signal
from typing import Final

from returns.result import Failure, Success

from lavendertide.configuration.adoption import Configuration
from lavendertide.configuration.service_watch import ServiceWatch
from lavendertide.configuration.spreading import Spreading
from lavendertide.configuration.status import ConfigurationStatus, status_of
from lavendertide.configuration.watchers import is_watcher
from lavendertide.daemon.admin_front import AdminFront
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
    Region,
)
from lavendertide.messages import MemberRecord, MemberState
from lavendertide.options import Options
from lavendertide.plans.admission import Allowances
from lavendertide.queries.fan_out import FanOutParts, HedgeBudgets
from lavendertide.queries.replicas import ReplicaChoice
from lavendertide.queries.snapshot import Holdings
from lavendertide.runtime import clock, sockets, tasks
from lavendertide.targets.target_pool import TargetPool

MEMBERSHIP_READ_S: Final = 2.0
READY_CHECK_S: Final = 0.05
CONNECTIONS_MAX: Final = 1_024
KEEP_ALIVE_S: Final = 60.0

_log = logging.getLogger(__name__)


class Daemon:
    """Everything that one process of the fleet does."""

    def __init__(self, options: Options) -> None:
        self._options = options
        self._stopping = tasks.Signal()
        self._configuration = Configuration()
        self._allowances = Allowances()
        self._roster = Roster(_own_record(options))
        seeds = [Address(seed) for seed in options.fleet.seeds]
        self._spreading = Spreading(
            self._configuration,
            [seed for seed in seeds if seed != options.addresses.peers],
            self._on_change,
            clock.monotonic_s(),
        )
        self._service_watch = ServiceWatch(
            HttpConfigurationReader(Address(options.platform.configuration)),
            self._configuration,
            self._watches_service,
            self._on_service_change,
        )
        self._news = FleetNews(
            options.fleet.key,
            self._roster,
            self._configuration,
            self._spreading,
            self._on_change,
        )
        self._peers = Peers(
            self._roster,
            self._news,
            tuple(seeds),
            options.fleet.heartbeat_s,
        )
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
        admin_listener = sockets.listen(Address(addresses.admin))
        peer_front = PeerFront(self._news, self._dispatcher, self._tickets)
        tasks.spawn(peer_front.serve, peer_listener)
        self._peers.follow_roster()
        self._watch_platform()
        caller_front = CallerFront(
            self._options.queries.body_max_bytes,
            self._roster,
            self._queries,
            self._tickets,
        )
        admin_front = AdminFront(
            self._roster, self._configuration, self._configuration_status
        )
        tasks.spawn(
            sockets.serve_wsgi,
            admin_listener,
            admin_front,
            CONNECTIONS_MAX,
            KEEP_ALIVE_S,
        )
        self._wait_for_configuration()
        caller_listener = sockets.listen(Address(addresses.callers))
        tasks.spawn(
            sockets.serve_wsgi,
            caller_listener,
            caller_front,
            CONNECTIONS_MAX,
            KEEP_ALIVE_S,
        )
        _log.info("serving", extra={"callers": addresses.callers})
        self._stopping.wait()
        _log.info("stopped")

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
        tasks.spawn(self._service_watch.run)
        tasks.spawn(self._spreading.run, lambda: self._peers.links)
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

    def _wait_for_configuration(self) -> None:
        """Waits until peers have confirmed what is in force, or the bounded time."""
        while self._spreading.needs_refresh(clock.monotonic_s()):
            if self._stopping.wait(READY_CHECK_S):
                return

    def _configuration_status(self, now_s: float) -> ConfigurationStatus:
        return status_of(
            self._configuration, self._service_watch, self._spreading, now_s
        )

    def _watches_service(self, now_s: float) -> bool:
        reachable = [
            member
            for member in self._roster.serving
            if self._roster.is_reachable(member.daemon, SILENCE_S, now_s)
        ]
        version = self._configuration.version
        return self._spreading.asks_service(now_s) and is_watcher(
            self._roster.own, reachable, version
        )

    def _on_service_change(self) -> None:
        self._on_change()
        self._spreading.announce()

    def _on_change(self) -> None:
        self._peers.follow_roster()
        match self._configuration.catalog:
            case Success(catalog):
                self._allowances.apply(dict(catalog.plans_by_id))


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
