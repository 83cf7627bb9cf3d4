"""Tests of `lavendertide.configuration.rules`."""

import unittest
from typing import Any

from hypothesis import given, settings, strategies as st
from returns.result import Failure, Result

from lavendertide.configuration.lists import Publication
from lavendertide.configuration.rules import check_publication
from lavendertide.errors import Refusal
from lavendertide.targets.budget import CONNECTIONS_MIN
from tests.configuration.published import deployment_lists, text_of

EXAMPLES = 150

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


def check(lists: dict[str, Any]) -> Result[Publication, Refusal]:
    """Checks lists as the configuration service would publish them."""
    return check_publication(text_of(lists))


def places_in(value: Any) -> list[tuple[Any, Any]]:
    """Returns every container of a document with each of its keys."""
    keys = list(value) if isinstance(value, dict) else range(len(value))
    found = [(value, key) for key in keys]
    for key in keys:
        if isinstance(value[key], dict | list):
            found.extend(places_in(value[key]))
    return found


class CheckPublicationTest(unittest.TestCase):
    """Guards against adopting an invalid publication, or refusing one vaguely."""

    def assert_refused(self, lists: dict[str, Any], expected_text: str) -> None:
        """Asserts that the lists are refused with a message that contains the text."""
        result = check(lists)
        self.assertIsInstance(result, Failure)
        self.assertIn(expected_text, str(result.failure()))

    def test_the_lists_of_the_deployments_are_valid(self) -> None:
        self.assertEqual(check(deployment_lists()).unwrap().plans.version, 1)

    def test_lists_of_two_versions_are_refused(self) -> None:
        lists = deployment_lists()
        lists["uses"]["version"] = 2
        self.assert_refused(lists, "both lists must have the same version")

    def test_an_unknown_key_is_refused(self) -> None:
        lists = deployment_lists()
        lists["plans"]["plans"][0]["rate"] = 3
        self.assert_refused(lists, "plans.plans.0.rate: there is no such key")

    def test_a_missing_key_is_refused(self) -> None:
        lists = deployment_lists()
        del lists["uses"]["indexes"][0]["slots"]
        self.assert_refused(lists, "uses.indexes.0.slots: the key is missing")

    def test_a_key_in_two_plans_is_refused(self) -> None:
        lists = deployment_lists()
        lists["plans"]["plans"][1]["keys"] = lists["plans"]["plans"][0]["keys"]
        self.assert_refused(lists, "caller key: 'stall-clerk' appears 2 times")

    def test_an_entitlement_to_another_owners_index_is_refused(self) -> None:
        lists = deployment_lists()
        lists["uses"]["uses"][0]["index"] = "voucher-finder"
        self.assert_refused(lists, "may not use index 'voucher-finder'")

    def test_a_shard_on_an_unknown_target_is_refused(self) -> None:
        lists = deployment_lists()
        lists["uses"]["indexes"][0]["versions"][0]["shards"][0] = ["nowhere"]
        self.assert_refused(lists, "target 'nowhere' is not in the list of targets")

    def test_an_address_of_two_targets_is_refused(self) -> None:
        lists = deployment_lists()
        targets = lists["uses"]["indexes"][0]["targets"]
        targets[1]["address"] = targets[0]["address"]
        self.assert_refused(lists, "target address: '127.0.0.1:10000' appears 2 times")

    def test_an_invalid_address_is_refused(self) -> None:
        for address in ("10.0.0.256:7000", "10.0.0.1:0", "10.0.0.1:65536", "host:70"):
            lists = deployment_lists()
            lists["uses"]["indexes"][0]["targets"][0]["address"] = address
            self.assert_refused(lists, f"'{address}' is not IP:port")

    def test_a_failure_domain_in_two_regions_is_refused(self) -> None:
        lists = deployment_lists()
        lists["uses"]["indexes"][0]["targets"][0]["region"] = "attiki"
        self.assert_refused(lists, "a failure domain has one region")

    def test_too_few_connections_for_the_slots_are_refused(self) -> None:
        lists = deployment_lists()
        lists["uses"]["indexes"][0]["connections"] = 3
        self.assert_refused(lists, "3 connections are too few for 2 slots")

    def test_a_cap_without_a_connection_for_control_is_refused(self) -> None:
        for connections in (2, 4, CONNECTIONS_MIN - 1):
            lists = deployment_lists()
            lists["uses"]["indexes"][0].update(slots=1, connections=connections)
            self.assert_refused(lists, "its targets must accept 8 or more")

    def test_the_smallest_cap_with_a_connection_for_control_is_valid(self) -> None:
        lists = deployment_lists()
        lists["uses"]["indexes"][0].update(slots=1, connections=CONNECTIONS_MIN)
        self.assertEqual(check(lists).unwrap().plans.version, 1)

    def test_a_burst_too_large_for_its_rate_is_refused(self) -> None:
        lists = deployment_lists()
        lists["plans"]["plans"][0].update(rate_per_s=0.01, burst=100)
        self.assert_refused(lists, "lower burst or raise rate_per_s")

    def test_an_invalid_rate_is_refused(self) -> None:
        for rate in ("400", float("nan"), float("inf"), 0, -1, True):
            lists = deployment_lists()
            lists["plans"]["plans"][0]["rate_per_s"] = rate
            self.assert_refused(lists, "plans.plans.0.rate_per_s")

    def test_a_repeated_replica_is_refused(self) -> None:
        lists = deployment_lists()
        replicas = lists["uses"]["indexes"][0]["versions"][0]["shards"][0]
        replicas.append(replicas[0])
        self.assert_refused(lists, "version 1 shard 0: target 'venue-desk-0-0' appears")

    def test_a_shard_without_a_target_is_refused(self) -> None:
        lists = deployment_lists()
        lists["uses"]["indexes"][0]["versions"][0]["shards"][3] = []
        self.assert_refused(lists, "shard 3: no target holds it")

    def test_a_repeated_index_version_is_refused(self) -> None:
        lists = deployment_lists()
        versions = lists["uses"]["indexes"][0]["versions"]
        versions.append(versions[0])
        self.assert_refused(
            lists, "versions of index 'venue-desk': '1' appears 2 times"
        )

    def test_a_repeated_entitlement_is_refused(self) -> None:
        lists = deployment_lists()
        lists["uses"]["uses"].append(lists["uses"]["uses"][0])
        self.assert_refused(lists, "'stall-clerk on venue-desk' appears 2 times")

    def test_a_version_below_one_is_refused(self) -> None:
        self.assert_refused(deployment_lists(0), "plans.version")

    def test_more_than_a_megabyte_is_refused(self) -> None:
        result = check_publication(text_of(deployment_lists()) + b" " * 1024 * 1024)
        self.assertIn("more than the 1048576", str(result.failure()))

    def test_the_same_publication_gets_the_same_message(self) -> None:
        lists = deployment_lists()
        lists["plans"]["plans"][2]["burst"] = 0
        lists["uses"]["uses"][0]["index"] = "nowhere"
        messages = {str(check(lists).failure()) for _ in range(3)}
        self.assertEqual(len(messages), 1)

    def test_every_refusal_names_a_remedy(self) -> None:
        self.assertIn(
            "under a higher version", check(deployment_lists(0)).failure().remedy
        )


class FuzzedPublicationTest(unittest.TestCase):
    """Guards against exceptions of the checks on malformed input."""

    @settings(derandomize=True, max_examples=EXAMPLES, deadline=None)
    @given(st.binary(max_size=64))
    def test_bytes(self, text: bytes) -> None:
        self.assertIsInstance(check_publication(text), Failure)

    @settings(derandomize=True, max_examples=EXAMPLES, deadline=None)
    @given(json_values)
    def test_json(self, value: Any) -> None:
        self.assertIsInstance(check_publication(text_of(value)), Failure)

    @settings(derandomize=True, max_examples=EXAMPLES, deadline=None)
    @given(st.data(), json_values)
    def test_a_changed_place(self, data: st.DataObject, value: Any) -> None:
        lists = deployment_lists()
        container, key = data.draw(st.sampled_from(places_in(lists)))
        container[key] = value
        self.assertIsInstance(check(lists), Result)

    def test_deep_nesting(self) -> None:
        self.assertIsInstance(check_publication(b"[" * 200_000), Failure)
