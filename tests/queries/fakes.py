"""A fake dispatch with scripted targets, and a daemon's query path around it."""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from typing import Final

from returns.result import Result, Success

from lavendertide.configuration.adoption import Configuration
from lavendertide.configuration.catalog import Catalog, Index, Plan
from lavendertide.errors import Refusal
from lavendertide.ids import (
    Address,
    AttemptId,
    CallerKey,
    FailureDomain,
    IndexName,
    IndexVersion,
    OwnerId,
    PlanClass,
    PlanId,
    QueryId,
    Region,
    TargetId,
)
from lavendertide.messages import (
    Answered,
    Declined,
    DeclineReason,
    LossReason,
    Lost,
    Operation,
    Row,
    SubReply,
    SubRequest,
)
from lavendertide.options import BudgetedHedge, PolicyOptions
from lavendertide.queries.deadline import Deadline
from lavendertide.queries.dependencies import FanOutDependencies
from lavendertide.queries.fan_out import run_query
from lavendertide.queries.hedging import OwnerBudgets
from lavendertide.queries.query import (
    Query,
    SearchRequest,
    SearchResponse,
    fingerprint_of,
)
from lavendertide.queries.replicas import ReplicaSelector
from lavendertide.queries.results_memory import ResultsMemory
from lavendertide.queries.snapshot import Holdings
from lavendertide.queries.target_reports import TargetReports
from lavendertide.queries.timing import Timings
from lavendertide.runtime import clock, tasks
from lavendertide.targets.place import TargetPlace

INDEX: Final = IndexName("venue-desk")
OWNER: Final = OwnerId("association")
PLAN: Final = Plan(
    PlanId("stall-clerk"),
    OWNER,
    PlanClass("counter"),
    rate_per_s=1,
    burst=1,
    concurrency=1,
)
REGION: Final = Region("eu-west-ie")
DOMAINS: Final = (FailureDomain("ie-dub-a"), FailureDomain("ie-dub-b"))
DEADLINE_S: Final = 5.0

_query_numbers = count(1)

Reaction = Callable[[SubRequest], SubReply | None]


def answered(request: SubRequest, spare_slots: int = 1) -> SubReply:
    """Reaction of a target that runs the request at once."""
    row = Row(f"{request.version}/{request.shard}", float(request.shard), "document")
    return Answered(
        attempt=request.attempt,
        query=request.query,
        shard=request.shard,
        version=request.version,
        rows=(row,),
        matches=1,
        amount=10,
        spare_slots=spare_slots,
    )


def silent(request: SubRequest) -> None:
    """Reaction of a target that never replies."""
    del request


def declines(reason: DeclineReason) -> Reaction:
    """Returns the reaction of a target that declines with a reason."""
    return lambda request: Declined(request.attempt, reason)


def loses(reason: LossReason) -> Reaction:
    """Returns the reaction of a target whose reply is lost."""
    return lambda request: Lost(request.attempt, reason)


class FakeDispatch:
    """A dispatch whose targets react at once; a silent one leaves its attempt open."""

    def __init__(self) -> None:
        self.reactions: dict[TargetId, Reaction] = {}
        self.sent: list[SubRequest] = []
        self.cancelled: list[AttemptId] = []
        self.open: dict[AttemptId, tuple[SubRequest, tasks.Mailbox[SubReply]]] = {}

    def send(self, request: SubRequest, inbox: tasks.Mailbox[SubReply]) -> None:
        """Records a sub-request and sends the target's reaction to the inbox."""
        self.sent.append(request)
        reply = self.reactions.get(request.target, answered)(request)
        if reply is None:
            self.open[request.attempt] = (request, inbox)
        else:
            inbox.send(reply)

    def cancel(self, attempts: list[AttemptId]) -> None:
        """Records cancelled attempts."""
        self.cancelled.extend(attempts)

    def sent_to(self, target: str) -> list[SubRequest]:
        """Returns the sub-requests sent to one target."""
        return [request for request in self.sent if request.target == target]


def index_of(
    shards: int,
    replicas: int = 2,
    versions: tuple[int, ...] = (1,),
    preference: str = "latency",
) -> Index:
    """Returns an index whose targets are named `t<shard>-<replica>`."""
    shard_map = tuple(
        tuple(TargetId(f"t{shard}-{replica}") for replica in range(replicas))
        for shard in range(shards)
    )
    by_version = {IndexVersion(version): shard_map for version in versions}
    return Index(INDEX, OWNER, preference, by_version)


class FakeCatalog(Catalog):
    """A catalog with one index."""

    def __init__(self, index: Index) -> None:
        self._indexes = {index.index: index}
        names = {
            target
            for shards in index.versions.values()
            for replicas in shards
            for target in replicas
        }
        self._targets = {name: _place(name) for name in names}


def _place(target: TargetId) -> TargetPlace:
    replica = int(target.rpartition("-")[2])
    domain = DOMAINS[replica % len(DOMAINS)]
    address = Address("127.0.0.1:1")
    return TargetPlace(target, OWNER, INDEX, address, REGION, domain, 2, 25)


class FakeConfiguration(Configuration):
    """A configuration whose catalog a test can replace with `publish`."""

    def __init__(self, index: Index) -> None:
        super().__init__()
        self._current = FakeCatalog(index)

    @property
    def catalog(self) -> Result[Catalog, Refusal]:
        """The current catalog."""
        return Success(self._current)

    def publish(self, index: Index) -> None:
        """Replaces the catalog with one of another index."""
        self._current = FakeCatalog(index)


@dataclass
class Tier:
    """A daemon's query path over fake targets."""

    index: Index
    dispatch: FakeDispatch
    configuration: FakeConfiguration
    dependencies: FanOutDependencies

    def search(
        self, deadline_s: float = DEADLINE_S, body: str = "order", page_size: int = 10
    ) -> SearchResponse:
        """Runs one search."""
        request = SearchRequest(
            CallerKey("k"), INDEX, int(deadline_s * 1000), page_size, body
        )
        query = Query(
            query=QueryId(f"q{next(_query_numbers)}"),
            plan=PLAN,
            request=request,
            deadline=Deadline(clock.monotonic_s() + deadline_s),
            deadline_ms=request.deadline_ms,
            fingerprint=fingerprint_of(OWNER, INDEX, Operation.SEARCH, body),
        )
        catalog = self.configuration.catalog.unwrap()
        return run_query(self.dependencies, query, self.index, catalog).unwrap()


def tier(
    index: Index,
    policies: PolicyOptions | None = None,
    memory: ResultsMemory | None = None,
) -> Tier:
    """Returns the query path of a daemon in the first failure domain."""
    chosen_policies = policies or PolicyOptions(
        hedging=BudgetedHedge(delay_cold_ms=5.0)
    )
    holdings, reports = Holdings(), TargetReports()
    dispatch, configuration = FakeDispatch(), FakeConfiguration(index)
    dependencies = FanOutDependencies(
        dispatch=dispatch,
        configuration=configuration,
        policies=chosen_policies,
        replica_selector=ReplicaSelector(
            chosen_policies.replicas, REGION, DOMAINS[0], holdings, reports
        ),
        holdings=holdings,
        reports=reports,
        timings=Timings(),
        memory=memory or ResultsMemory(1_000_000, 100_000),
        hedge_budgets=OwnerBudgets(),
        retry_budgets=OwnerBudgets(),
    )
    return Tier(index, dispatch, configuration, dependencies)


def with_policies(**policies: object) -> PolicyOptions:
    """Returns the default policies with some replaced."""
    return PolicyOptions().model_copy(update=policies)
