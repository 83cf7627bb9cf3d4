"""Process tests of index versions and shards that change under load."""

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
    """No response mixes versions, and each accounts for every shard of its version.

    Targets change one after another while queries run, so for a while some targets hold
    a version that others don't.
    """

    launcher: Launcher

    def setUp(self) -> None:
        self.launcher = Launcher(OWNERS)
        self.addCleanup(self.launcher.stop)
        self.launcher.start()

    def set_versions(
        self, target: str, shard: int, versions: dict[int, int | None]
    ) -> None:
        """Sets the versions that a target holds, each with its shard.

        None stands for the given shard.
        """
        shards_by_version = {
            str(version): [shard if other is None else other]
            for version, other in versions.items()
        }
        self.launcher.change_target(target, versions=shards_by_version)

    def set_versions_everywhere(
        self, load: SearchLoad, versions: dict[int, int | None], halve: bool = False
    ) -> None:
        """Sets the versions of all targets, one after another, while queries run.

        With `halve`, version 2 has half as many shards, each made of two.
        """
        for placed in self.launcher.placed_targets:
            if placed.index.index == INDEX:
                changed = {
                    version: placed.shard // 2 if halve and version == 2 else shard
                    for version, shard in versions.items()
                }
                self.set_versions(placed.target, placed.shard, changed)
                load.wait_for(2)

    def assert_single_version(
        self, responses: list[dict[str, Any]], shards: dict[int, int]
    ) -> None:
        """Asserts that each response has the rows and shards of one version alone.

        Args:
            responses: The responses to check.
            shards: The number of shards of each version.
        """
        for response in responses:
            accounted_shards = response["covered"] + [
                gap["shard"] for gap in response["gaps"]
            ]
            self.assertEqual(
                sorted(accounted_shards), list(range(shards[response["version"]]))
            )
            self.assertEqual(
                {tuple(key.split("/")[1:3]) for key, _, _ in response["rows"]},
                {
                    (str(response["version"]), str(shard))
                    for shard in response["covered"]
                },
            )
            self.assertEqual(
                response["matches"], ROWS_PER_SHARD * len(response["covered"])
            )
            bodies = {document for _, _, document in response["rows"]}
            self.assertLessEqual(bodies, {response["asked"]})

    def test_a_new_version_under_load(self) -> None:
        with SearchLoad(self.launcher, "stall-clerk", INDEX, 2) as load:
            load.wait_for(10)
            self.launcher.publish((1, 2))
            load.wait_for(10)
            self.set_versions_everywhere(load, {1: None, 2: None})
            load.wait_for_version(2)
            self.set_versions_everywhere(load, {2: None})
            load.wait_for(10)
        self.assert_single_version(load.responses, {1: SHARDS, 2: SHARDS})
        self.assertEqual({r["version"] for r in load.responses}, {1, 2})
        self.assertEqual({r["version"] for r in load.responses[-5:]}, {2})

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
            self.set_versions_everywhere(load, {1: None, 2: None}, halve=True)
            self.launcher.publish((1, 2), halve)
            load.wait_for_version(2)
            self.set_versions_everywhere(load, {2: None}, halve=True)
            load.wait_for(10)
        self.assert_single_version(load.responses, {1: SHARDS, 2: SHARDS // 2})
        self.assertEqual({r["version"] for r in load.responses[-5:]}, {2})

    def test_a_version_that_disappears_is_no_longer_used(self) -> None:
        with SearchLoad(self.launcher, "stall-clerk", INDEX, 2) as load:
            load.wait_for(10)
            self.launcher.publish((1, 2))
            self.set_versions_everywhere(load, {2: None})
            load.wait_for_version(2)
            eventually(lambda: all(r["whole"] for r in load.responses[-10:]))
        self.assert_single_version(load.responses, {1: SHARDS, 2: SHARDS})
        self.assertNotIn("no_snapshot", load.refusals)
        self.assertEqual({r["version"] for r in load.responses[-10:]}, {2})
