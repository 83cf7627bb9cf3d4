"""Tests of `lavendertide.forwarding.host_status`."""

import json
import unittest

from lavendertide.encodings.explanation_json import encode_status
from lavendertide.forwarding.host_status import (
    COLD_LISTED_MAX,
    HostStatus,
    StoreStatus,
    cold_status,
)
from lavendertide.ids import NO_VERSION, ServiceName
from lavendertide.registry.registry import TargetRegistry
from lavendertide.routes.active_routes import RoutesAge
from lavendertide.routes.route import Service
from lavendertide.warmup.cold_status import ColdTargetStatus
from lavendertide.warmup.cold_targets import ColdTargets
from standins.forwarding_records import DESK, at, target


class ColdStatusTest(unittest.TestCase):
    """Guards against an operator who can't see why requests to a target are refused."""

    def setUp(self) -> None:
        self.registry = TargetRegistry()
        self.cold = ColdTargets(
            lambda name: Service(name, 24, 60.0, 20.0), lambda *_: 3
        )

    def add(self, name: str, left_s: float, service: str = DESK) -> None:
        """Registers a cold target."""
        record = target(name, service)
        self.registry.put(record)
        self.cold.record_notice(record.run, left_s, 0.0)

    def describe(self, service: str | None = None) -> tuple[ColdTargetStatus, ...]:
        """Returns what is reported after 1 s."""
        services = None if service is None else {ServiceName(service)}
        return cold_status(self.cold, self.registry, services, 1.0)

    def test_a_cold_target_has_its_allowance_and_what_was_transferred(self) -> None:
        self.add("t1", 5.0)
        record = self.registry.targets[0]
        self.cold.give(record, 1, 0.9)
        self.cold.receive(record.run, 7, 1.2, 0.9)
        self.cold.try_send(record, 1.0)
        (status,) = self.describe()
        expected = ColdTargetStatus(record.target, DESK, 4.0, 28, 3, 1, 1, 7)
        self.assertEqual(status, expected)

    def test_the_report_has_it(self) -> None:
        self.add("t1", 5.0)
        status = HostStatus(
            "m1", "serving", RoutesAge(NO_VERSION, 0.0), (), (), 1, self.describe()
        )
        document = json.loads(encode_status(status))
        self.assertEqual(document["cold_count"], 1)
        self.assertEqual(document["cold"][0]["part"], 3)

    def test_the_report_has_how_far_the_store_was_read(self) -> None:
        store = StoreStatus(at(42, 3), 0.25, 2)
        status = HostStatus(
            "m1", "serving", RoutesAge(NO_VERSION, 0.0), (), (), store=store
        )
        expected = {"era": 3, "revision": 42, "age_s": 0.25, "restorations": 2}
        self.assertEqual(json.loads(encode_status(status))["store"], expected)

    def test_those_of_other_services_and_warm_ones_are_left_out(self) -> None:
        self.add("t1", 5.0)
        self.add("t2", 0.5)
        self.add("t3", 5.0, "other")
        self.assertEqual([each.target for each in self.describe(DESK)], ["t1"])

    def test_a_report_lists_a_bounded_number(self) -> None:
        """Guards against a report that is as long as the list of targets."""
        for number in range(2 * COLD_LISTED_MAX):
            self.add(f"t{number}", 5.0 + number)
        listed = self.describe()
        self.assertEqual(len(listed), COLD_LISTED_MAX)
        self.assertEqual(listed[0].target, f"t{2 * COLD_LISTED_MAX - 1}")
