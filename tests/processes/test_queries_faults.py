"""Process tests of queries while targets and daemons fail."""

import signal
import time
import unittest
from typing import Any

from standins.deployment import ASSOCIATION, scaled_down
from standins.launcher import Launcher
from tests.processes.callers import SearchLoad, pinned_client
from tests.processes.waiting import eventually

SHARDS = 4
OWNERS = (scaled_down(ASSOCIATION, SHARDS, 3),)
INDEX = "venue-desk"
ENTRY = "association-0"
# No load searches it, so daemons have no latency estimate for it.
ONE_SHARD_INDEX = "pick-list"


class QueryFaultTest(unittest.TestCase):
    """A response stays correct and reaches its own caller while targets and hosts fail.

    Late, mismatched or lost replies could put rows of another query into a response, or
    leave out a shard without a gap.
    """

    launcher: Launcher

    @classmethod
    def setUpClass(cls) -> None:
        cls.launcher = Launcher(OWNERS, overrides={"queries": {"in_flight_max": 16}})
        cls.addClassCleanup(cls.launcher.stop)
        cls.launcher.start()

    def change_target_for_test(self, target: str, **behaviour: Any) -> None:
        """Changes a target's behaviour and restores it after the test."""
        self.launcher.change_target(target, **behaviour)
        defaults = {
            "median_ms": 5.0,
            "misreply": "nothing",
            "padding_bytes": 0,
            "state": "serving",
        }
        restored = {field: defaults[field] for field in behaviour}
        self.addCleanup(self.launcher.change_target, target, **restored)

    def search(self, deadline_ms: int = 1_000, index: str = INDEX) -> dict[str, Any]:
        """Searches through one daemon and returns the response."""
        key = "picker" if index == ONE_SHARD_INDEX else "stall-clerk"
        client = pinned_client(self.launcher, key, ENTRY)
        result = client.search(index, "order", deadline_ms, 50, time.monotonic())
        document: dict[str, Any] = result.unwrap()
        return document

    def assert_correct(self, response: dict[str, Any]) -> None:
        """Asserts that a response accounts for each shard and has the covered rows."""
        gaps = [gap["shard"] for gap in response["gaps"]]
        self.assertEqual(sorted(response["covered"] + gaps), list(range(SHARDS)))
        self.assertEqual(response["matches"], 3 * len(response["covered"]))
        shards = {int(key.split("/")[2]) for key, _, _ in response["rows"]}
        self.assertEqual(shards, set(response["covered"]))

    def test_a_straggler_is_hedged(self) -> None:
        for replica in range(2):
            target = f"{INDEX}-1-{replica}"
            self.change_target_for_test(target, median_ms=3_000.0)
            eventually(self.is_whole_by_hedging)
            self.launcher.change_target(target, median_ms=5.0)

    def is_whole_by_hedging(self) -> bool:
        """Searches; returns whether the response is whole and used a hedge."""
        response = self.search(deadline_ms=400)
        self.assert_correct(response)
        return bool(response["whole"] and response["hedges"])

    def test_mismatched_replies_are_discarded(self) -> None:
        for mismatched in ("attempt", "shard", "version"):
            with self.subTest(mismatched):
                self.change_target_for_test(f"{INDEX}-2-0", misreply=mismatched)
                with SearchLoad(self.launcher, "stall-clerk", INDEX, 3) as load:
                    load.wait_for(15)
                for response in load.responses:
                    self.assert_correct(response)
                    bodies = {document for _, _, document in response["rows"]}
                    self.assertEqual(bodies, {response["asked"]})

    def test_late_replies_reach_no_other_query(self) -> None:
        for shard in range(SHARDS):
            self.change_target_for_test(f"{INDEX}-{shard}-0", median_ms=60.0)
        with SearchLoad(self.launcher, "stall-clerk", INDEX, 4) as load:
            client = pinned_client(self.launcher, "stall-clerk", ENTRY)
            for number in range(20):
                client.search(INDEX, f"short {number}", 25, 50, time.monotonic())
            load.wait_for(10)
        for response in load.responses:
            self.assert_correct(response)
            bodies = {document for _, _, document in response["rows"]}
            self.assertLessEqual(bodies, {response["asked"]})

    def test_a_lost_replica_leaves_responses_correct(self) -> None:
        with SearchLoad(self.launcher, "stall-clerk", INDEX, 4) as load:
            load.wait_for(10)
            self.launcher.crash_target(f"{INDEX}-0-0")
            load.wait_for(30)
        for response in load.responses:
            self.assert_correct(response)
        eventually(lambda: self.search()["whole"])

    def test_a_reply_that_is_too_large_is_a_gap(self) -> None:
        for replica in range(2):
            self.change_target_for_test(f"{INDEX}-3-{replica}", padding_bytes=2_000_000)
        response = self.search()
        self.assert_correct(response)
        self.assertEqual(
            [(gap["shard"], gap["reason"]) for gap in response["gaps"]],
            [(3, "result_too_large")],
        )

    def test_a_slow_index_has_all_the_time_of_the_deadline(self) -> None:
        for replica in range(3):
            self.change_target_for_test(
                f"{ONE_SHARD_INDEX}-0-{replica}", median_ms=700.0
            )
        response = self.search(index=ONE_SHARD_INDEX)
        self.assertEqual(response["covered"], [0])

    def test_a_long_deadline_is_capped_and_reported(self) -> None:
        self.assertEqual(self.search(60_000)["deadline_ms"], 2_000)

    def test_shedding_targets_are_reported_as_not_run(self) -> None:
        for replica in range(3):
            self.change_target_for_test(
                f"{ONE_SHARD_INDEX}-0-{replica}", state="shedding"
            )
        response = self.search(index=ONE_SHARD_INDEX)
        self.assertEqual((response["outcome"], response["covered"]), ("not_run", []))

    def test_more_than_may_be_in_flight_is_refused_as_not_run(self) -> None:
        for shard in range(SHARDS):
            for replica in range(2):
                self.change_target_for_test(
                    f"{INDEX}-{shard}-{replica}", median_ms=100.0
                )
        with SearchLoad(self.launcher, "stall-clerk", INDEX, 3 * 20) as load:
            eventually(lambda: "overloaded" in load.refusals)
        self.assertLessEqual(
            set(load.refusals),
            {"overloaded", "over_plan_concurrency", "over_plan_rate"},
        )

    def test_a_killed_holder_leaves_responses_correct(self) -> None:
        with SearchLoad(self.launcher, "stall-clerk", INDEX, 4) as load:
            load.wait_for(10)
            self.launcher.signal_daemon("association-2", signal.SIGKILL)
            load.wait_for(30)
        for response in load.responses:
            self.assert_correct(response)
        self.launcher.wait_for_exit("association-2")
        self.launcher.start_daemon("association-2")
        self.launcher.wait_until_ready("association-2")
