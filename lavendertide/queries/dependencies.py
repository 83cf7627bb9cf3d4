"""Services and shared state that all queries of a daemon use."""

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
    """Forwards sub-requests to the daemon that holds their target's slots."""

    def send(self, request: SubRequest, inbox: Mailbox[SubReply]) -> None:
        """Sends a sub-request; exactly one reply is put into the inbox."""

    def cancel(self, attempts: list[AttemptId]) -> None:
        """Cancels attempts whose replies are no longer needed."""


@dataclass(frozen=True, slots=True)
class FanOutDependencies:
    """Services and shared state that all queries of a daemon use.

    Attributes:
        configuration: Read again when a query starts over.
        reports: Spare slots that the targets last reported.
        timings: Reply times of the targets of each index.
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
