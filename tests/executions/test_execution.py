"""Tests of `lavendertide.executions.execution`."""

from lavendertide.executions.execution import Execution, ExecutionResult, Executor
from lavendertide.executions.ledger import Ledger, LedgerEntry
from lavendertide.ids import TargetId, TicketId
from lavendertide.messages import (
    DeclineReason,
    LossReason,
    Operation,
    Outcome,
    SubReply,
    SubRequest,
)
from lavendertide.options import TicketOptions
from lavendertide.queries.deadline import Deadline
from lavendertide.runtime import clock, tasks
from tests.queries.fakes import (
    PLAN,
    Reaction,
    Tier,
    answered,
    declines,
    index_of,
    loses,
    silent,
    tier,
)
from tests.virtual_time import VirtualTimeTestCase

REPLICAS = 3


class ExecutorTest(VirtualTimeTestCase):
    """Once a byte of a request may have reached a target, it is never sent again."""

    def setUp(self) -> None:
        self.tier: Tier = tier(index_of(1, replicas=REPLICAS, versions=(1, 2)))
        self.ledger = Ledger(TicketOptions())
        self.executor = Executor(self.ledger, self.tier.dependencies)
        self.entry: LedgerEntry = self.ledger.issue(PLAN.plan, 0.0).unwrap()

    def react(self, *reactions: Reaction) -> None:
        """Sets the reaction of each replica."""
        for replica, reaction in enumerate(reactions):
            self.tier.dispatch.reactions[TargetId(f"t0-{replica}")] = reaction

    def execute(self, deadline_s: float = 0.1) -> ExecutionResult:
        """Sends the request under the same ticket each time."""
        execution = Execution(
            TicketId("ticket"),
            PLAN,
            self.tier.index,
            Operation.REDEEM,
            "voucher",
            Deadline(clock.monotonic_s() + deadline_s),
        )
        catalog = self.tier.configuration.catalog.unwrap()
        return self.executor.execute(self.entry, execution, catalog)

    def test_it_runs_once_however_often_it_is_sent(self) -> None:
        outcomes = {self.execute().outcome for _ in range(5)}
        self.assertEqual(outcomes, {Outcome.RAN})
        self.assertEqual(len(self.tier.dispatch.sent), 1)

    def test_the_next_replica_is_tried_after_a_decline(self) -> None:
        shed = declines(DeclineReason.SHED)
        self.react(shed, shed, answered)
        self.assertIs(self.execute().outcome, Outcome.RAN)

    def test_a_request_declined_by_all_has_not_run_and_may_be_retried(self) -> None:
        self.react(*[declines(DeclineReason.SHED)] * REPLICAS)
        self.assertIs(self.execute().outcome, Outcome.NOT_RUN)
        self.react(*[answered] * REPLICAS)
        self.assertIs(self.execute().outcome, Outcome.RAN)

    def test_a_lost_attempt_is_never_sent_again(self) -> None:
        for reason in LossReason:
            with self.subTest(reason):
                self.setUp()
                self.react(*[loses(reason)] * REPLICAS)
                for _ in range(3):
                    self.assertIs(self.execute().outcome, Outcome.UNKNOWN)
                self.assertEqual(len(self.tier.dispatch.sent), 1)

    def test_no_other_replica_is_tried_after_a_silent_one(self) -> None:
        self.react(*[silent] * REPLICAS)
        for _ in range(2):
            self.assertIs(self.execute(0.05).outcome, Outcome.UNKNOWN)
        self.assertEqual(len(self.tier.dispatch.sent), 1)

    def test_a_quarantined_request_is_sent_to_one_replica(self) -> None:
        self.react(*[declines(DeclineReason.POISONED)] * REPLICAS)
        self.assertIs(self.execute().outcome, Outcome.NOT_RUN)
        self.assertEqual(len(self.tier.dispatch.sent), 1)

    def test_a_deadline_that_has_passed_runs_nothing(self) -> None:
        self.assertIs(self.execute(-1.0).outcome, Outcome.NOT_RUN)
        self.assertEqual(self.tier.dispatch.sent, [])

    def test_another_version_is_tried_if_one_is_gone(self) -> None:
        def only_version_one(request: SubRequest) -> SubReply | None:
            if request.version == 1:
                return answered(request)
            return declines(DeclineReason.VERSION_NOT_HELD)(request)

        self.react(*[only_version_one] * REPLICAS)
        self.assertIs(self.execute().outcome, Outcome.RAN)

    def test_an_index_of_many_shards_runs_nothing(self) -> None:
        self.tier.index = index_of(2)
        self.assertIs(self.execute().outcome, Outcome.NOT_RUN)
        self.assertEqual(self.tier.dispatch.sent, [])

    def test_a_second_sender_waits_for_the_first(self) -> None:
        self.react(*[silent] * REPLICAS)
        results: list[ExecutionResult] = []
        for _ in range(3):
            tasks.spawn(lambda: results.append(self.execute(2.0)))
        while not self.tier.dispatch.open:
            tasks.sleep(0.001)
        ((request, inbox),) = self.tier.dispatch.open.values()
        inbox.send(answered(request))
        while len(results) < 3:
            tasks.sleep(0.001)
        self.assertEqual({r.outcome for r in results}, {Outcome.RAN})
        self.assertEqual(len(self.tier.dispatch.sent), 1)
