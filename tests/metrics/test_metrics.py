"""Tests of `lavendertide.metrics`."""

import unittest

from lavendertide.errors import Fault, RefusalKind
from lavendertide.ids import IndexName, OwnerId, PlanClass
from lavendertide.messages import Outcome
from lavendertide.metrics import names
from lavendertide.metrics.labels import (
    CLASSES_MAX,
    INDEXES_MAX,
    OTHER,
    OWNERS_MAX,
    BoundedLabel,
)
from lavendertide.metrics.metrics import Metrics
from lavendertide.metrics.owner_counts import OwnerCounts
from lavendertide.queries.hedging import OwnerBudgets, WithheldCause
from lavendertide.queries.timing import LatencyEstimate

ESTIMATE = LatencyEstimate(
    quickest_s=0.005, straggler_s=0.02, recent_straggler_s=0.01, cap_s=0.1
)


class BoundedLabelTest(unittest.TestCase):
    """A label takes no more values than its bound, apart from `other`."""

    def test_values_above_the_bound_are_other(self) -> None:
        label = BoundedLabel(2)
        values = [label.value(name) for name in ("a", "b", "c", "a")]
        self.assertEqual(values, ["a", "b", OTHER, "a"])


class MetricsTest(unittest.TestCase):
    """Each owner has its own series, and the number of series is bounded."""

    def test_each_owner_has_its_own_series(self) -> None:
        metrics = Metrics()
        for owner in ("association", "koinopraxia"):
            metrics.observe_search(
                OwnerId(owner), PlanClass("counter"), Outcome.RAN, 0.01, 1.0
            )
        text = metrics.exposition().decode()
        for owner in ("association", "koinopraxia"):
            line = (
                "lavendertide_query_latency_seconds_count"
                f'{{owner="{owner}",plan_class="counter"}} 1.0'
            )
            self.assertIn(line, text)

    def test_owner_counts_are_read_at_each_scrape(self) -> None:
        metrics = Metrics()
        hedges = {OwnerId("association"): 3}
        metrics.register_owner_counts(
            OwnerCounts(names.HEDGES, "Hedges.", lambda: hedges)
        )
        hedges[OwnerId("association")] = 4
        line = 'lavendertide_hedges_total{owner="association"} 4.0'
        self.assertIn(line, metrics.exposition().decode())

    def test_hedging_state_is_read_at_each_scrape(self) -> None:
        metrics = Metrics()
        budgets, estimates = OwnerBudgets(), {IndexName("venue-desk"): ESTIMATE}
        metrics.register_hedging(lambda: budgets.withheld, lambda: estimates)
        budget = budgets.budget_of(OwnerId("association"))
        budget.record_withheld(WithheldCause.NO_ROOM)
        text = metrics.exposition().decode()
        for line in (
            "lavendertide_hedges_withheld_total"
            '{cause="no_room",owner="association"} 1.0',
            'lavendertide_straggler_seconds{index="venue-desk",window="long"} 0.02',
            'lavendertide_straggler_seconds{index="venue-desk",window="recent"} 0.01',
        ):
            self.assertIn(line, text)

    def test_many_indexes_make_a_bounded_number_of_series(self) -> None:
        metrics = Metrics()
        estimates = {IndexName(f"index-{number}"): ESTIMATE for number in range(1_000)}
        metrics.register_hedging(dict, lambda: estimates)
        lines = metrics.exposition().decode().splitlines()
        series = [line for line in lines if "straggler_seconds{" in line]
        self.assertEqual(len(series), 2 * INDEXES_MAX)

    def test_responses_after_their_deadline_are_counted(self) -> None:
        metrics = Metrics()
        for is_late in (True, False):
            metrics.observe_search(
                OwnerId("association"),
                PlanClass("counter"),
                Outcome.RAN,
                0.2,
                1.0,
                is_late,
            )
        line = 'lavendertide_deadline_breaches_total{owner="association"} 1.0'
        self.assertIn(line, metrics.exposition().decode())

    def test_many_owners_make_a_bounded_number_of_series(self) -> None:
        metrics = Metrics()
        for number in range(1_000):
            owner = OwnerId(f"owner-{number}")
            metrics.observe_search(
                owner, PlanClass(f"class-{number}"), Outcome.RAN, 0.01, 1.0
            )
            metrics.count_refusal(owner, RefusalKind.OVERLOADED, Fault.SYSTEM)
        lines = metrics.exposition().decode().splitlines()
        counts = [line for line in lines if "latency_seconds_count" in line]
        self.assertLessEqual(len(counts), OWNERS_MAX + CLASSES_MAX + 2)
        refusals = [line for line in lines if line.startswith("lavendertide_refusals_")]
        self.assertLessEqual(len(refusals), 2 * (OWNERS_MAX + 1))
