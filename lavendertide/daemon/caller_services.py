"""Builds the services that handle callers' requests."""

import random
from dataclasses import dataclass

from lavendertide.configuration.adoption import Configuration
from lavendertide.daemon.query_service import QueryService
from lavendertide.daemon.ticket_issuer import TicketIssuer
from lavendertide.daemon.ticket_service import TicketService
from lavendertide.executions.execution import Executor
from lavendertide.executions.ledger import Ledger
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.roster import Roster
from lavendertide.options import Options
from lavendertide.plans.admission import PlanLimiters
from lavendertide.queries.capacity import SearchCapacities
from lavendertide.queries.dependencies import Dispatch, FanOutDependencies
from lavendertide.queries.gate import AdmissionGate
from lavendertide.queries.hedging import OwnerBudgets
from lavendertide.queries.replicas import ReplicaSelector
from lavendertide.queries.results_memory import ResultsMemory
from lavendertide.queries.snapshot import Holdings
from lavendertide.queries.target_reports import TargetReports
from lavendertide.queries.timing import Timings
from lavendertide.runtime.pauses import PauseTracker


@dataclass(frozen=True, slots=True)
class CallerServices:
    """The services that handle callers' requests.

    Attributes:
        dependencies: The collaborators that all queries share.
    """

    queries: QueryService
    tickets: TicketService
    dependencies: FanOutDependencies


def make_caller_services(
    options: Options,
    configuration: Configuration,
    limiters: PlanLimiters,
    roster: Roster,
    peers: Peers,
    dispatch: Dispatch,
    pauses: PauseTracker,
) -> CallerServices:
    """Builds the services of one daemon."""
    dependencies = _fan_out_dependencies(options, configuration, roster, dispatch)
    gate = AdmissionGate(options.queries.in_flight_max, dependencies.memory)
    queries = QueryService(
        options.queries,
        configuration,
        limiters,
        dependencies,
        gate,
        SearchCapacities(random.Random()),
    )
    ledger = Ledger(options.tickets)
    issuer = TicketIssuer(
        options.fleet.key,
        configuration,
        roster,
        ledger,
        Executor(ledger, dependencies),
        pauses,
    )
    tickets = TicketService(
        options.fleet.key,
        options.queries.deadline_max_ms,
        configuration,
        limiters,
        roster,
        peers,
        issuer,
        gate,
    )
    return CallerServices(queries, tickets, dependencies)


def _fan_out_dependencies(
    options: Options, configuration: Configuration, roster: Roster, dispatch: Dispatch
) -> FanOutDependencies:
    own = roster.own
    policies, queries = options.policies, options.queries
    holdings, reports = Holdings(), TargetReports()
    return FanOutDependencies(
        dispatch=dispatch,
        configuration=configuration,
        policies=policies,
        replica_selector=ReplicaSelector(
            policies.replicas, own.region, own.failure_domain, holdings, reports
        ),
        holdings=holdings,
        reports=reports,
        timings=Timings(),
        memory=ResultsMemory(queries.results_max_bytes, queries.query_max_bytes),
        hedge_budgets=OwnerBudgets(),
        retry_budgets=OwnerBudgets(),
    )
