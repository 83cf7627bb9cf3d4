"""The services that answer callers, and what their queries share."""

import random
from dataclasses import dataclass

from lavendertide.configuration.adoption import Configuration
from lavendertide.daemon.minter import Minter
from lavendertide.daemon.query_service import QueryService
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
from lavendertide.runtime.pauses import Pauses


@dataclass(frozen=True, slots=True)
class Serving:
    """What answers callers.

    Attributes:
        parts: What all queries share.
    """

    queries: QueryService
    tickets: TicketService
    parts: FanOutDependencies


def make_serving(
    options: Options,
    configuration: Configuration,
    limiters: PlanLimiters,
    roster: Roster,
    peers: Peers,
    dispatch: Dispatch,
    pauses: Pauses,
) -> Serving:
    """Joins the services of one daemon."""
    parts = _fan_out_parts(options, configuration, roster, dispatch)
    gate = AdmissionGate(options.queries.in_flight_max, parts.memory)
    queries = QueryService(
        options.queries,
        configuration,
        limiters,
        parts,
        gate,
        SearchCapacities(random.Random()),
    )
    ledger = Ledger(options.tickets)
    minter = Minter(
        options.fleet.key,
        configuration,
        roster,
        ledger,
        Executor(ledger, parts),
        pauses,
    )
    tickets = TicketService(
        options.fleet.key,
        options.queries.deadline_max_ms,
        configuration,
        limiters,
        roster,
        peers,
        minter,
        gate,
    )
    return Serving(queries, tickets, parts)


def _fan_out_parts(
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
