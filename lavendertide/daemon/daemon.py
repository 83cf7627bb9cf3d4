"""One daemon: its aggregates, its listeners and its tasks."""

import logging
import signal
from typing import Final

from returns.result import Failure, Success

from lavendertide.configuration.adoption import Configuration
from lavendertide.configuration.service_watch import watch_service
from lavendertide.daemon.admin_front import AdminFront
from lavendertide.daemon.caller_front import CallerFront
from lavendertide.daemon.holding import HoldingParts
from lavendertide.daemon.peer_front import PeerFront
from lavendertide.daemon.query_service import QueryService
from lavendertide.daemon.ticket_service import TicketService
from lavendertide.encodings.platform_http import (
    HttpConfigurationReader,
    HttpMembershipReader,
)
from lavendertide.executions.execution import Executor
from lavendertide.executions.ledger import Ledger
from lavendertide.fleet.news import FleetNews
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.roster import Roster
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
from lavendertide.queries.gate import Gate
from lavendertide.queries.hedging import Budgets
from lavendertide.queries.parts import FanOutParts
from lavendertide.queries.replicas import ReplicaChoice
from lavendertide.queries.results_memory import ResultsMemory
from lavendertide.queries.snapshot import Holdings
from lavendertide.queries.target_reports import TargetReports
from lavendertide.queries.timing import Timings
from lavendertide.runtime import clock, sockets, tasks

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
        self._allowances = Allowances()
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
        holding = HoldingParts.make(
            options, self._configuration, self._roster, self._peers
        )
        self._keeper = holding.keeper
        self._dispatcher = holding.dispatcher
        parts = self._fan_out_parts()
        gate = Gate(options.queries.in_flight_max, parts.memory)
        self._queries = QueryService(
            options.queries, self._configuration, self._allowances, parts, gate
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
            self._news, self._dispatcher, self._tickets, self._keeper
        )
        tasks.spawn(peer_front.serve, peer_listener)
        self._peers.follow_roster()
        tasks.spawn(self._keeper.run)
        self._watch_platform()
        caller_front = CallerFront(
            self._options.queries.body_max_bytes,
            self._roster,
            self._queries,
            self._tickets,
        )
        admin_front = AdminFront(self._roster, self._configuration)
        for listener, front in (
            (caller_listener, caller_front),
            (admin_listener, admin_front),
        ):
            tasks.spawn(
                sockets.serve_wsgi, listener, front, CONNECTIONS_MAX, KEEP_ALIVE_S
            )
        _log.info("serving", extra={"callers": addresses.callers})
        self._stopping.wait()
        _log.info("stopped")

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
        self._keeper.follow()
        match self._configuration.catalog:
            case Success(catalog):
                plans = {plan.plan: plan for plan in catalog.plans.values()}
                self._allowances.apply(plans)


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
