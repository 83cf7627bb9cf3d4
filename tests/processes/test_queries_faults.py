"""Tests of queries on separate processes while targets and daemons fail."""

import signal
import time
import unittest
from typing import Any

from standins.deployment import ASSOCIATION, scaled_down
from standins.launcher import Launcher
from tests.processes.callers import SearchLoad, client_of
from tests.processes.waiting import eventually

SHARDS = 4
OWNERS = (scaled_down(ASSOCIATION, SHARDS, 3),)
INDEX = "venue-desk"
ENTRY = "association-0"
# Nobody else searches it, so its timing stays cold.
ONE_SHARD_INDEX = "pick-list"


class QueryFaultTest(unittest.TestCase):
    """An answer stays true and reaches its own caller while things fail."""

    launcher: Launcher

    @classmethod
    def setUpClass(cls) -> None:
        cls.launcher = Launcher(OWNERS, overrides={"queries": {"in_flight_max": 16}})
        cls.addClassCleanup(cls.launcher.stop)
        cls.launcher.start()

    def change(self, target: str, **behaviour: Any) -> None:
        """Changes a target until the test has ended."""
        self.launcher.change_target(target, **behaviour)
        usual = {
            "median_ms": 5.0,
            "misreply": "nothing",
            "padding_bytes": 0,
            "state": "serving",
        }
        restored = {field: usual[field] for field in behaviour}
        self.addCleanup(self.launcher.change_target, target, **restored)

    def search(self, deadline_ms: int = 1_000, index: str = INDEX) -> dict[str, Any]:
        """Searches through one daemon."""
        key = "picker" if index == ONE_SHARD_INDEX else "stall-clerk"
        client = client_of(self.launcher, key, ENTRY)
        answer = client.search(index, "order", deadline_ms, 50, time.monotonic())
        found: dict[str, Any] = answer.unwrap()
        return found

    def assert_true(self, answer: dict[str, Any]) -> None:
        """Asserts that an answer holds its own rows and accounts for each shard."""
        gaps = [gap["shard"] for gap in answer["gaps"]]
        self.assertEqual(sorted(answer["covered"] + gaps), list(range(SHARDS)))
        self.assertEqual(answer["matches"], 3 * len(answer["covered"]))
        shards = {int(key.split("/")[2]) for key, _, _ in answer["rows"]}
        self.assertEqual(shards, set(answer["covered"]))

    def test_a_straggler_is_hedged(self) -> None:
        for replica in range(2):
            target = f"{INDEX}-1-{replica}"
            self.change(target, median_ms=3_000.0)
            eventually(self.is_hedged_to_the_whole)
            self.launcher.change_target(target, median_ms=5.0)

    def is_hedged_to_the_whole(self) -> bool:
        """Searches; returns whether a hedge made the answer whole."""
        answer = self.search(deadline_ms=400)
        self.assert_true(answer)
        return bool(answer["whole"] and answer["hedges"])

    def test_wrong_replies_are_never_taken_in(self) -> None:
        for wrong in ("attempt", "shard", "version"):
            with self.subTest(wrong):
                self.change(f"{INDEX}-2-0", misreply=wrong)
                with SearchLoad(self.launcher, "stall-clerk", INDEX, 3) as load:
                    load.wait_for(15)
                for answer in load.answers:
                    self.assert_true(answer)
                    bodies = {document for _, _, document in answer["rows"]}
                    self.assertEqual(bodies, {answer["asked"]})

    def test_late_replies_reach_nobody_else(self) -> None:
        for shard in range(SHARDS):
            self.change(f"{INDEX}-{shard}-0", median_ms=60.0)
        with SearchLoad(self.launcher, "stall-clerk", INDEX, 4) as load:
            client = client_of(self.launcher, "stall-clerk", ENTRY)
            for number in range(20):
                client.search(INDEX, f"short {number}", 25, 50, time.monotonic())
            load.wait_for(10)
        for answer in load.answers:
            self.assert_true(answer)
            bodies = {document for _, _, document in answer["rows"]}
            self.assertLessEqual(bodies, {answer["asked"]})

    def test_a_lost_replica_leaves_true_answers(self) -> None:
        with SearchLoad(self.launcher, "stall-clerk", INDEX, 4) as load:
            load.wait_for(10)
            self.launcher.crash_target(f"{INDEX}-0-0")
            load.wait_for(30)
        for answer in load.answers:
            self.assert_true(answer)
        eventually(lambda: self.search()["whole"])

    def test_a_reply_that_is_too_large_is_a_gap(self) -> None:
        for replica in range(2):
            self.change(f"{INDEX}-3-{replica}", padding_bytes=2_000_000)
        answer = self.search()
        self.assert_true(answer)
        self.assertEqual(
            [(gap["shard"], gap["reason"]) for gap in answer["gaps"]],
            [(3, "result_too_large")],
        )

    def test_a_slow_index_has_all_the_time_of_the_deadline(self) -> None:
        for replica in range(3):
            self.change(f"{ONE_SHARD_INDEX}-0-{replica}", median_ms=700.0)
        answer = self.search(index=ONE_SHARD_INDEX)
        self.assertEqual(answer["covered"], [0])

    def test_a_long_deadline_is_cut_and_said(self) -> None:
        self.assertEqual(self.search(60_000)["deadline_ms"], 2_000)

    def test_shedding_targets_have_not_run_it(self) -> None:
        for replica in range(3):
            self.change(f"{ONE_SHARD_INDEX}-0-{replica}", state="shedding")
        answer = self.search(index=ONE_SHARD_INDEX)
        self.assertEqual((answer["outcome"], answer["covered"]), ("not_run", []))

    def test_more_than_may_be_in_flight_is_refused_as_not_run(self) -> None:
        for shard in range(SHARDS):
            for replica in range(2):
                self.change(f"{INDEX}-{shard}-{replica}", median_ms=100.0)
        with SearchLoad(self.launcher, "stall-clerk", INDEX, 3 * 20) as load:
            eventually(lambda: "overloaded" in load.refusals)
        self.assertLessEqual(
            set(load.refusals),
            {"overloaded", "over_plan_concurrency", "over_plan_rate"},
        )

    def test_a_killed_holder_leaves_true_answers(self) -> None:
        with SearchLoad(self.launcher, "stall-clerk", INDEX, 4) as load:
            load.wait_for(10)
            self.launcher.signal_daemon("association-2", signal.SIGKILL)
            load.wait_for(30)
        for answer in load.answers:
            self.assert_true(answer)
        self.launcher.wait_for_exit("association-2")
        self.launcher.start_daemon("association-2")
        self.launcher.wait_until_ready("association-2")
