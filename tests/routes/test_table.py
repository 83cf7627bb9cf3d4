"""Tests of `lavendertide.routes`: matching, splitting, adoption and replication."""

import unittest
from collections import Counter
from dataclasses import replace

from lavendertide.encodings.routes_json import decode_table, encode_table
from lavendertide.ids import ConfigurationVersion, DaemonId, RouteName, ServiceName
from lavendertide.messages import (
    ConfigurationOffer,
    ConfigurationPull,
    ConfigurationPush,
)
from lavendertide.routes.active_routes import ActiveRoutes
from lavendertide.routes.replication import RouteReplication
from lavendertide.routes.route import SplitServices, WeightedService
from lavendertide.routes.split import SplitCounters
from lavendertide.routes.table import RouteTable
from standins.forwarding_records import route, shards, table

SPLIT = SplitServices(
    (
        WeightedService(ServiceName("blue"), 3.0),
        WeightedService(ServiceName("green"), 1.0),
    )
)
PEER = DaemonId("peer")


class RouteTableTest(unittest.TestCase):
    """The longest prefix of a path wins."""

    def setUp(self) -> None:
        base = route()
        self.table = table(
            1,
            replace(base, name=RouteName("short"), prefix="/a/"),
            replace(base, name=RouteName("long"), prefix="/a/b/"),
        )

    def matching_route(self, host: str, path: str) -> str | None:
        """Returns the name of the route that matches a host name and path."""
        found = self.table.find(host, path)
        return found.name if found is not None else None

    def test_the_longest_prefix_matches(self) -> None:
        self.assertEqual(self.matching_route("shop.example", "/a/b/c"), "long")
        self.assertEqual(self.matching_route("shop.example", "/a/bc"), "short")

    def test_the_query_is_ignored(self) -> None:
        self.assertEqual(self.matching_route("shop.example", "/a/x?y=/a/b/"), "short")

    def test_port_and_case_of_the_host_name_are_ignored(self) -> None:
        self.assertEqual(self.matching_route("Shop.Example:8080", "/a/x"), "short")

    def test_other_hosts_and_paths_have_no_route(self) -> None:
        self.assertIsNone(self.matching_route("other.example", "/a/x"))
        self.assertIsNone(self.matching_route("shop.example", "/b/"))


class SplitCountersTest(unittest.TestCase):
    """Requests are split in proportion to the weights, even over a few of them."""

    def test_the_shares_are_exact(self) -> None:
        counters = SplitCounters()
        chosen = Counter(counters.choose(RouteName("r"), SPLIT) for _ in range(400))
        self.assertEqual(chosen, {"blue": 300, "green": 100})

    def test_each_service_is_chosen_within_a_few_requests(self) -> None:
        counters = SplitCounters()
        chosen = [counters.choose(RouteName("r"), SPLIT) for _ in range(8)]
        self.assertIn("green", chosen[:4])
        self.assertIn("green", chosen[4:])


class ActiveRoutesTest(unittest.TestCase):
    """Only higher versions are adopted."""

    def test_an_older_version_is_never_adopted(self) -> None:
        active_routes = ActiveRoutes()
        self.assertTrue(active_routes.adopt(table(5, route()), "platform", 0.0))
        self.assertFalse(active_routes.adopt(table(4, route()), "peer", 1.0))
        self.assertFalse(active_routes.adopt(table(5, route()), "peer", 1.0))
        self.assertEqual(active_routes.version, 5)

    def test_the_age_of_the_replaced_version_is_logged(self) -> None:
        active_routes = ActiveRoutes()
        with self.assertLogs("lavendertide.routes.active_routes", "INFO") as logs:
            active_routes.adopt(table(5, route()), "platform", 1_000.0)
            active_routes.adopt(table(6, route()), "platform", 1_007.5)
        ages = [vars(record)["replaced_age_s"] for record in logs.records]
        self.assertEqual(ages, [0.0, 7.5])


class RouteReplicationTest(unittest.TestCase):
    """A host that can't read the platform receives its routes from a peer."""

    def make(self, version: int) -> tuple[ActiveRoutes, RouteReplication]:
        """Returns a host that has adopted a version; none if it is zero."""
        active_routes = ActiveRoutes()
        if version:
            active_routes.adopt(
                table(version, route(shards(3)), route(SPLIT)), "test", 0.0
            )
        return active_routes, RouteReplication(
            active_routes, encode_table, decode_table, 0.0
        )

    def test_a_newer_version_is_pulled_and_adopted(self) -> None:
        old, behind = self.make(0)
        new, ahead = self.make(7)
        pull = behind.handle_version(ConfigurationVersion(7), 1.0)
        assert isinstance(pull, ConfigurationPull)
        push = ahead.handle(pull, PEER, 1.0)
        assert isinstance(push, ConfigurationPush)
        behind.handle(push, PEER, 1.0)
        self.assertEqual(old.version, 7)
        assert old.table is not None and new.table is not None
        self.assertEqual(old.table.routes, new.table.routes)

    def test_a_pull_of_a_known_version_is_replied_to_with_an_offer(self) -> None:
        _, ahead = self.make(7)
        _, same = self.make(7)
        self.assertIsNone(same.handle_version(ConfigurationVersion(7), 1.0))
        _, behind = self.make(6)
        pull = behind.handle_version(ConfigurationVersion(7), 1.0)
        assert pull is not None
        known = replace(
            pull, known=replace(pull.known, version=ConfigurationVersion(7))
        )
        self.assertIsInstance(ahead.handle(known, PEER, 1.0), ConfigurationOffer)

    def test_one_pull_is_sent_for_many_heartbeats(self) -> None:
        _, behind = self.make(0)
        version = ConfigurationVersion(7)
        self.assertIsNotNone(behind.handle_version(version, 1.0))
        self.assertIsNone(behind.handle_version(version, 1.1))
        self.assertIsNotNone(behind.handle_version(version, 3.0))

    def test_an_invalid_table_is_rejected(self) -> None:
        active_routes, behind = self.make(3)
        _, ahead = self.make(7)
        pull = behind.handle_version(ConfigurationVersion(7), 1.0)
        assert pull is not None
        push = ahead.handle(pull, PEER, 1.0)
        assert isinstance(push, ConfigurationPush)
        with self.assertLogs("lavendertide.routes.replication", "WARNING"):
            behind.handle(replace(push, lists=b"{}"), PEER, 1.0)
        self.assertEqual(active_routes.version, 3)

    def test_the_version_is_unconfirmed_until_a_confirmation(self) -> None:
        _, replication = self.make(0)
        self.assertTrue(replication.needs_refresh(1.0))
        replication.record_confirmed(1.0)
        self.assertFalse(replication.needs_refresh(1.0))
        replication.refresh(2.0)
        self.assertTrue(replication.needs_refresh(2.0))


class RoutesJsonTest(unittest.TestCase):
    """A decoded table equals the encoded one."""

    def test_every_destination_is_decoded_as_encoded(self) -> None:
        encoded: RouteTable = table(3, route(), route(SPLIT), route(shards(2)))
        decoded = decode_table(encode_table(encoded))
        self.assertEqual(decoded, encoded)
