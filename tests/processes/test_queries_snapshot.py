"""Tests of snapshots on separate processes: versions and shards change under load."""

import unittest
from typing import Any

from standins.deployment import ASSOCIATION, scaled_down
from standins.launcher import Launcher
from tests.processes.callers import SearchLoad
from tests.processes.waiting import eventually

SHARDS = 4
OWNERS = (scaled_down(ASSOCIATION, SHARDS, 2),)
INDEX = "venue-desk"
ROWS_PER_SHARD = 3


class SnapshotChangeTest(unittest.TestCase):
    """No answer mixes versions, and each accounts for every shard of its own."""

    launcher: Launcher

    def setUp(self) -> None:
        self.launcher = Launcher(OWNERS)
        self.addCleanup(self.launcher.stop)
        self.launcher.start()

    def hold(self, target: str, shard: int, versions: dict[int, int | None]) -> None:
        """Lets a target hold versions; a shard of none is the target's own."""
        held = {
            str(version): [shard if other is None else other]
            for version, other in versions.items()
        }
        self.launcher.change_target(target, versions=held)

    def hold_everywhere(
        self, load: SearchLoad, versions: dict[int, int | None], halve: bool = False
    ) -> None:
        """Changes one target after another while queries run."""
        for placed in self.launcher.placed_targets:
            if placed.index.index == INDEX:
                changed = {
                    version: placed.shard // 2 if halve and version == 2 else shard
                    for version, shard in versions.items()
                }
                self.hold(placed.target, placed.shard, changed)
                load.wait_for(2)

    def assert_each_is_of_one_version(
        self, answers: list[dict[str, Any]], shards: dict[int, int]
    ) -> None:
        """Asserts what must hold of every answer.

        Args:
            answers: What callers got.
            shards: For each version how many shards it has.
        """
        for answer in answers:
            accounted = answer["covered"] + [gap["shard"] for gap in answer["gaps"]]
            self.assertEqual(sorted(accounted), list(range(shards[answer["version"]])))
            self.assertEqual(
                {tuple(key.split("/")[1:3]) for key, _, _ in answer["rows"]},
                {(str(answer["version"]), str(shard)) for shard in answer["covered"]},
            )
            self.assertEqual(answer["matches"], ROWS_PER_SHARD * len(answer["covered"]))
            bodies = {document for _, _, document in answer["rows"]}
            self.assertLessEqual(bodies, {answer["asked"]})

    def test_a_new_version_under_load(self) -> None:
        with SearchLoad(self.launcher, "stall-clerk", INDEX, 2) as load:
            load.wait_for(10)
            self.launcher.publish((1, 2))
            load.wait_for(10)
            self.hold_everywhere(load, {1: None, 2: None})
            load.wait_for_version(2)
            self.hold_everywhere(load, {2: None})
            load.wait_for(10)
        self.assert_each_is_of_one_version(load.answers, {1: SHARDS, 2: SHARDS})
        self.assertEqual({a["version"] for a in load.answers}, {1, 2})
        self.assertEqual({a["version"] for a in load.answers[-5:]}, {2})

    def test_a_repartition_under_load(self) -> None:
        def halve(lists: dict[str, Any]) -> None:
            for entry in lists["uses"]["indexes"]:
                if entry["index"] == INDEX:
                    shards = entry["versions"][1]["shards"]
                    entry["versions"][1]["shards"] = [
                        shards[0] + shards[1],
                        shards[2] + shards[3],
                    ]

        with SearchLoad(self.launcher, "stall-clerk", INDEX, 2) as load:
            load.wait_for(10)
            self.hold_everywhere(load, {1: None, 2: None}, halve=True)
            self.launcher.publish((1, 2), halve)
            load.wait_for_version(2)
            self.hold_everywhere(load, {2: None}, halve=True)
            load.wait_for(10)
        self.assert_each_is_of_one_version(load.answers, {1: SHARDS, 2: SHARDS // 2})
        self.assertEqual({a["version"] for a in load.answers[-5:]}, {2})

    def test_a_version_that_vanishes_is_left(self) -> None:
        with SearchLoad(self.launcher, "stall-clerk", INDEX, 2) as load:
            load.wait_for(10)
            self.launcher.publish((1, 2))
            self.hold_everywhere(load, {2: None})
            load.wait_for_version(2)
            eventually(lambda: all(a["whole"] for a in load.answers[-10:]))
        self.assert_each_is_of_one_version(load.answers, {1: SHARDS, 2: SHARDS})
        self.assertNotIn("no_snapshot", load.refusals)
        self.assertEqual({a["version"] for a in load.answers[-10:]}, {2})
