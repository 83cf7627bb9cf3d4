"""Tests of `lavendertide.gateway.load` and of who is named to callers under load."""

import unittest
from dataclasses import replace

from lavendertide.fleet.addresses import select_with_headroom
from lavendertide.gateway.fleet_size import KEPT_S, UNKNOWN_HOSTS, FleetSize
from lavendertide.gateway.load import LoadMeter
from lavendertide.messages import MemberRecord
from tests.fleet.members import member


def hosts(*capacities: int) -> list[MemberRecord]:
    """Returns members of some capacities."""
    return [replace(member(n), capacity=c) for n, c in enumerate(capacities)]


class LoadMeterTest(unittest.TestCase):
    """A host is loaded while it uses most of its processor."""

    def test_it_is_loaded_above_and_free_below(self) -> None:
        meter = LoadMeter(0.5, 0.0, 0.0)
        self.assertFalse(meter.measure(0.2, 1.0))
        self.assertTrue(meter.measure(0.6, 2.0))
        self.assertTrue(meter.measure(0.85, 3.0))
        self.assertFalse(meter.measure(1.0, 4.0))


class WithRoomTest(unittest.TestCase):
    """Uneven hosts are given uneven work."""

    def test_equal_hosts_are_all_named(self) -> None:
        members = hosts(107, 107, 107)
        self.assertEqual(select_with_headroom(members), members)

    def test_a_few_large_hosts_take_a_load_that_fits_them(self) -> None:
        members = hosts(52, 215, 52, 215, 52)
        self.assertEqual(select_with_headroom(members), [members[1], members[3]])

    def test_a_burst_on_the_large_ones_is_spread_over_all_that_are_free(self) -> None:
        members = hosts(52, 215, 52, 215)
        busy = [replace(m, is_loaded=m.capacity == 215) for m in members]
        self.assertEqual(select_with_headroom(busy), [busy[0], busy[2]])

    def test_if_all_are_loaded_all_are_named(self) -> None:
        busy = [replace(m, is_loaded=True) for m in hosts(52, 215)]
        self.assertEqual(select_with_headroom(busy), busy)

    def test_hosts_that_do_not_say_what_they_have_are_equal(self) -> None:
        members = hosts(0, 0)
        self.assertEqual(select_with_headroom(members), members)


class FleetSizeTest(unittest.TestCase):
    """Budgets are divided by the largest number of hosts known lately."""

    def test_a_host_alone_assumes_others(self) -> None:
        size = FleetSize()
        size.see(1, 0.0)
        self.assertEqual(size.hosts, UNKNOWN_HOSTS)

    def test_hosts_that_vanish_count_for_a_while(self) -> None:
        size = FleetSize()
        size.see(8, 0.0)
        size.see(3, 10.0)
        self.assertEqual(size.hosts, 8)
        size.see(3, KEPT_S + 1.0)
        self.assertEqual(size.hosts, 3)
