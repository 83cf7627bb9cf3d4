"""Tests of `lavendertide.forwarding.pool`."""

import unittest

from lavendertide.forwarding.pool import connection_share


class ConnectionShareTest(unittest.TestCase):
    """All hosts together stay within the connections that a target accepts."""

    def test_connections_of_two_starts_fit_if_slots_allow_it(self) -> None:
        for connections, slots, hosts in ((25, 2, 6), (110, 6, 8), (40, 3, 6)):
            share = connection_share(connections, slots, hosts, False)
            self.assertLessEqual(2 * share * hosts, connections)
            self.assertGreaterEqual(share, slots)

    def test_connections_of_one_start_always_fit(self) -> None:
        for hosts in range(1, 27):
            self.assertLessEqual(connection_share(26, 2, hosts, False) * hosts, 26)

    def test_a_host_can_use_all_slots_if_its_full_share_allows_it(self) -> None:
        self.assertEqual(connection_share(26, 2, 8, False), 2)

    def test_previous_connections_fit_after_a_power_loss(
        self,
    ) -> None:
        """All hosts restart at once while targets still count their old connections."""
        sites = ((26, 2, 8), (25, 2, 6), (110, 6, 8), (40, 3, 6), (14, 1, 6))
        for connections, slots, hosts in sites:
            with self.subTest(connections=connections, slots=slots, hosts=hosts):
                previous = connection_share(connections, slots, hosts, False)
                fresh = connection_share(connections, slots, hosts, True)
                self.assertLessEqual((previous + fresh) * hosts, connections)
                self.assertGreaterEqual(fresh, 1)

    def test_each_host_of_a_large_fleet_has_one_connection(self) -> None:
        self.assertEqual(connection_share(60, 2, 76, False), 1)
