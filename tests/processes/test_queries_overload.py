"""Process tests of searches beyond the targets' capacity."""

import time
import unittest
from dataclasses import replace

from returns.result import Success

from standins.deployment import KOINOPRAXIA, OwnerSpec, scaled_down
from standins.launcher import Launcher
from tests.processes.callers import SearchLoad, pinned_client
from tests.processes.waiting import eventually

SHARDS = 4
HOSTS = 2
INDEX = "voucher-finder"
KEY = "employer"
CALLERS = 80
USUAL_CALLERS = 2
TARGET_MEDIAN_MS = 60.0
OTHER_INDEX = "provider-desk"
OTHER_KEY = "provider-clerk"
WHOLE_SHARE_MIN = 0.9


def owner_with_unlimited_plans() -> OwnerSpec:
    """Returns an owner with plan limits so high that only the targets limit it."""
    owner = scaled_down(KOINOPRAXIA, SHARDS, HOSTS)
    plans = tuple(
        replace(plan, rate_per_s=10_000.0, burst=10_000, concurrency=10_000)
        for plan in owner.plans
    )
    return replace(owner, plans=plans)


class OverloadTest(unittest.TestCase):
    """Searches above the targets' capacity are refused, and the others are whole.

    Without refusals, searches would wait for slots beyond their deadlines and miss
    shards. The index must be usable again after the overload, and other indexes all the
    time.
    """

    launcher: Launcher

    @classmethod
    def setUpClass(cls) -> None:
        cls.launcher = Launcher((owner_with_unlimited_plans(),))
        cls.addClassCleanup(cls.launcher.stop)
        cls.launcher.start()
        for target in cls.launcher.placed_targets:
            if target.index.index == INDEX:
                cls.launcher.change_target(target.target, median_ms=TARGET_MEDIAN_MS)

    def setUp(self) -> None:
        with self.load(USUAL_CALLERS) as usual:
            usual.wait_for(20)
        self.assertEqual(usual.refusals, [])

    def load(self, callers: int) -> SearchLoad:
        """Returns callers that each send their next search after a response."""
        return SearchLoad(self.launcher, KEY, INDEX, callers)

    def count_sub_requests(self) -> int:
        """Returns the number of sub-requests that the index's targets have received."""
        counts = self.launcher.target_counts()
        return sum(
            count["requests"]
            for target, count in counts.items()
            if target.startswith(INDEX)
        )

    def test_the_excess_is_refused_and_the_rest_is_whole(self) -> None:
        before = self.count_sub_requests()
        with self.load(CALLERS) as load:
            eventually(lambda: "over_capacity" in load.refusals)
            load.wait_for(100)
            warm_up_count = len(load.responses)
            load.wait_for(200)
        self.assertEqual(set(load.refusals), {"over_capacity"})
        self.assertGreater(len(load.refusals), len(load.responses))
        steady = load.responses[warm_up_count:]
        whole = sum(response["whole"] for response in steady)
        self.assertGreaterEqual(whole, WHOLE_SHARE_MIN * len(steady))
        sent = sum(response["attempts"] for response in load.responses)
        self.assertLessEqual(self.count_sub_requests() - before, sent)

    def test_another_index_is_not_refused_meanwhile(self) -> None:
        with self.load(CALLERS) as load:
            eventually(lambda: "over_capacity" in load.refusals)
            with SearchLoad(self.launcher, OTHER_KEY, OTHER_INDEX, 2) as other:
                other.wait_for(20)
        self.assertEqual(other.refusals, [])

    def test_usual_load_is_answered_again_afterwards(self) -> None:
        with self.load(CALLERS) as load:
            eventually(lambda: "over_capacity" in load.refusals)
            load.wait_for(50)
        eventually(self.is_usual_load_answered)

    def is_usual_load_answered(self) -> bool:
        """Sends ten searches one after another; returns whether none is refused."""
        client = pinned_client(self.launcher, KEY, sorted(self.launcher.callers)[0])
        results = [
            client.search(INDEX, "order", 1_000, 50, time.monotonic())
            for _ in range(10)
        ]
        return all(isinstance(result, Success) for result in results)
