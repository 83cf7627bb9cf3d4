"""Tests of `lavendertide.gateway.load`, fleet size and hosts named under load."""

import unittest
from dataclasses import replace

from lavendertide.fleet.addresses import select_with_headroom
from lavendertide.fleet.fleet_size import ASSUMED_HOSTS, SHRINK_DELAY_S, FleetSize
from lavendertide.gateway.load import LoadMeter
from lavendertide.messages import MemberRecord
from tests.fleet.members import member


def hosts(*capacities: int) -> list[MemberRecord]:
    """Returns members with the given capacities."""
    return [replace(member(n), capacity=c) for n, c in enumerate(capacities)]


class LoadMeterTest(unittest.TestCase):
    """A host is loaded while it uses most of its CPU allotment."""

    def test_it_is_loaded_above_one_limit_and_free_below_another(self) -> None:
        meter = LoadMeter(0.5, 0.0, 0.0)
        self.assertFalse(meter.measure(0.2, 1.0))
        self.assertTrue(meter.measure(0.6, 2.0))
        self.assertTrue(meter.measure(0.85, 3.0))
        self.assertFalse(meter.measure(1.0, 4.0))


class SelectWithHeadroomTest(unittest.TestCase):
    """Hosts are named to callers according to their capacity and load."""

    def test_equal_hosts_are_all_named(self) -> None:
        members = hosts(107, 107, 107)
        self.assertEqual(select_with_headroom(members), members)

    def test_only_large_hosts_are_named_while_they_have_room(self) -> None:
        members = hosts(52, 215, 52, 215, 52)
        self.assertEqual(select_with_headroom(members), [members[1], members[3]])

    def test_free_hosts_are_named_while_the_large_ones_are_loaded(self) -> None:
        members = hosts(52, 215, 52, 215)
        busy = [replace(m, is_loaded=m.capacity == 215) for m in members]
        self.assertEqual(select_with_headroom(busy), [busy[0], busy[2]])

    def test_if_all_are_loaded_all_are_named(self) -> None:
        busy = [replace(m, is_loaded=True) for m in hosts(52, 215)]
        self.assertEqual(select_with_headroom(busy), busy)

    def test_hosts_of_unknown_capacity_are_equal(self) -> None:
        members = hosts(0, 0)
        self.assertEqual(select_with_headroom(members), members)


class FleetSizeTest(unittest.TestCase):
    """Budgets are divided by the largest number of hosts known recently."""

    def test_a_host_alone_assumes_others(self) -> None:
        size = FleetSize()
        size.update(1, 0.0)
        self.assertEqual(size.hosts, ASSUMED_HOSTS)

    def test_hosts_that_disappear_count_for_a_while(self) -> None:
        size = FleetSize()
        size.update(8, 0.0)
        size.update(3, 10.0)
        self.assertEqual(size.hosts, 8)
        size.update(3, SHRINK_DELAY_S + 1.0)
        self.assertEqual(size.hosts, 3)
