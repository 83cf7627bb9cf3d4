"""What the queries of one daemon share."""

from dataclasses import dataclass
from typing import Protocol

from lavendertide.configuration.adoption import Configuration
from lavendertide.ids import AttemptId
from lavendertide.messages import SubReply, SubRequest
from lavendertide.options import PolicyOptions
from lavendertide.queries.hedging import OwnerBudgets
from lavendertide.queries.replicas import ReplicaSelector
from lavendertide.queries.results_memory import ResultsMemory
from lavendertide.queries.snapshot import Holdings
from lavendertide.queries.target_reports import TargetReports
from lavendertide.queries.timing import Timings
from lavendertide.runtime.tasks import Mailbox


class Dispatch(Protocol):
    """Carries sub-requests to whichever daemon holds their target's slots."""

    def send(self, request: SubRequest, inbox: Mailbox[SubReply]) -> None:
        """Sends a sub-request; exactly one reply comes to the inbox."""

    def cancel(self, attempts: list[AttemptId]) -> None:
        """Says that nobody waits for these attempts any more."""


@dataclass(frozen=True, slots=True)
class FanOutDependencies:
    """What the queries of one daemon share.

    Attributes:
        configuration: Read again when a query has to start over.
        reports: What targets said last about their room.
        timings: How long the targets of each index take.
    """

    dispatch: Dispatch
    configuration: Configuration
    policies: PolicyOptions
    replica_selector: ReplicaSelector
    holdings: Holdings
    reports: TargetReports
    timings: Timings
    memory: ResultsMemory
    hedge_budgets: OwnerBudgets
    retry_budgets: OwnerBudgets
