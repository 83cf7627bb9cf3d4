"""Tests of `soak.operator`: the published versions and those that may be in force."""

import random
import unittest

from soak.callers import RequestKind
from soak.faults import (
    ConfigurationGrown,
    LimitsChanged,
    PrioritiesChanged,
    RouteMoved,
    RouteRemoved,
    ShardsChanged,
    VersionsPublished,
)
from soak.operator import (
    APPLY_S,
    OperatorConfiguration,
    Period,
    PublishedVersion,
    PublishedVersions,
)


class OperatorConfigurationTest(unittest.TestCase):
    """Guards against changes that leave the configuration as it was."""

    def setUp(self) -> None:
        self.configuration = OperatorConfiguration()

    def names(self) -> list[str]:
        """Returns the names of the routes in the next document."""
        document = self.configuration.next_document(random.Random(1))
        return [route["name"] for route in document["routes"]]

    def test_versions_increase(self) -> None:
        generator = random.Random(1)
        versions = [
            self.configuration.next_document(generator)["version"] for _ in range(9)
        ]
        self.assertEqual(versions, sorted(set(versions)))

    def test_priorities(self) -> None:
        for change, priorities in (
            (PrioritiesChanged((3, 1, 2)), [3, 1, 2]),
            (VersionsPublished(((0, 0, 0), (2, 3, 0))), [2, 3, 0]),
        ):
            self.configuration.apply(change)
            document = self.configuration.next_document(random.Random(1))
            found = [route["priority"] for route in document["routes"]]
            self.assertEqual(found, priorities)

    def test_a_route_is_back_once_all_of_its_removals_are_over(self) -> None:
        removed = RouteRemoved(RequestKind.ORDER)
        self.configuration.apply(removed)
        self.configuration.apply(removed)
        self.configuration.revert(removed)
        self.assertEqual(self.names(), ["lookups", "searches"])
        self.assertNotIn(RequestKind.ORDER, self.configuration.services)
        self.configuration.revert(removed)
        self.assertEqual(self.names(), ["lookups", "orders", "searches"])

    def test_services(self) -> None:
        self.configuration.apply(RouteMoved(RequestKind.LOOKUP))
        self.configuration.apply(ShardsChanged(("shard-1", "other")))
        services = self.configuration.services
        self.assertEqual(services[RequestKind.LOOKUP], ("other",))
        self.assertEqual(services[RequestKind.ORDER], ("desk",))
        self.assertEqual(services[RequestKind.SEARCH], ("shard-1", "other"))
        self.configuration.apply(RouteMoved(RequestKind.LOOKUP))
        services = self.configuration.services
        self.assertEqual(services[RequestKind.LOOKUP], ("desk",))

    def test_limits_and_size(self) -> None:
        self.configuration.apply(LimitsChanged(4_000, 2_500))
        self.configuration.apply(ConfigurationGrown(300))
        document = self.configuration.next_document(random.Random(1))
        limits = {"idle-timeout-ms": 4_000, "header-timeout-ms": 2_500}
        self.assertEqual(document["limits"], limits)
        self.assertEqual(len(document["routes"]), 303)
        self.configuration.revert(ConfigurationGrown(300))
        self.assertEqual(len(self.names()), 3)


class PublishedVersionsTest(unittest.TestCase):
    """Guards against versions that are taken to be in force too long or too short."""

    def setUp(self) -> None:
        self.old = PublishedVersion(10.0, {})
        self.new = PublishedVersion(20.0, {})
        self.versions = PublishedVersions([self.old, self.new])

    def in_force_at(self, at_s: float, *disturbed: Period) -> list[PublishedVersion]:
        """Returns the versions that may be in force at one time."""
        return self.versions.find_in_force(Period(at_s, at_s), disturbed)

    def test_before_and_after_it_is_applied(self) -> None:
        self.assertEqual(self.in_force_at(19.9), [self.old])
        within_s = 20.0 + APPLY_S - 0.1
        self.assertEqual(self.in_force_at(within_s), [self.new, self.old])
        self.assertEqual(self.in_force_at(20.0 + APPLY_S + 0.1), [self.new])

    def test_while_the_store_can_not_be_read(self) -> None:
        first, second = Period(19.0, 22.0), Period(25.0, 28.0)
        after_s = 28.0 + APPLY_S
        found = self.in_force_at(after_s - 0.1, second, first)
        self.assertEqual(found, [self.new, self.old])
        self.assertEqual(self.in_force_at(after_s + 0.1, second, first), [self.new])
        # It was over before the version was published.
        earlier = Period(17.0, 19.0)
        found = self.in_force_at(20.0 + APPLY_S + 0.1, earlier)
        self.assertEqual(found, [self.new])
