"""Tests of `lavendertide.configuration.rules`."""

import json
import unittest
from typing import Any

from returns.result import Failure, Result

from lavendertide.configuration.lists import Publication
from lavendertide.configuration.rules import check_publication
from lavendertide.errors import Refusal
from standins.deployment import OWNERS, count_targets, place_targets, publication


def todays_lists() -> dict[str, Any]:
    """Returns the lists of today's deployments."""
    addresses = [f"127.0.0.1:{10_000 + n}" for n in range(count_targets(OWNERS))]
    return publication(OWNERS, place_targets(OWNERS, addresses), 1)


def check(lists: dict[str, Any]) -> Result[Publication, Refusal]:
    """Checks lists as the configuration service would hand them out."""
    return check_publication(json.dumps(lists).encode())


class CheckPublicationTest(unittest.TestCase):
    """A publication is taken as a whole or refused with the place and the remedy."""

    def assert_refused(self, lists: dict[str, Any], words: str) -> None:
        """Asserts that the refusal names the place."""
        result = check(lists)
        self.assertIsInstance(result, Failure)
        self.assertIn(words, str(result.failure()))

    def test_todays_lists_are_good(self) -> None:
        self.assertEqual(check(todays_lists()).unwrap().plans.version, 1)

    def test_lists_of_two_versions_are_refused(self) -> None:
        lists = todays_lists()
        lists["uses"]["version"] = 2
        self.assert_refused(lists, "both lists are one version")

    def test_an_unknown_key_is_refused(self) -> None:
        lists = todays_lists()
        lists["plans"]["plans"][0]["rate"] = 3
        self.assert_refused(lists, "plans.plans.0.rate")

    def test_a_key_in_two_plans_is_refused(self) -> None:
        lists = todays_lists()
        lists["plans"]["plans"][1]["keys"] = lists["plans"]["plans"][0]["keys"]
        self.assert_refused(lists, "caller key: 'stall-clerk' stands 2 times")

    def test_a_use_of_a_neighbours_index_is_refused(self) -> None:
        lists = todays_lists()
        lists["uses"]["uses"][0]["index"] = "voucher-finder"
        self.assert_refused(lists, "may not use index 'voucher-finder'")

    def test_a_shard_on_an_unknown_target_is_refused(self) -> None:
        lists = todays_lists()
        lists["uses"]["indexes"][0]["versions"][0]["shards"][0] = ["nowhere"]
        self.assert_refused(lists, "target 'nowhere' is not among the targets")
