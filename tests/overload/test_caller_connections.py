"""Tests of the bound on callers' connections."""

import unittest

from lavendertide.overload.caller_connections import (
    LEAST_CONNECTIONS,
    Admission,
    CallerConnections,
    connections_max_of,
)


class Connection:
    """A connection that records whether it was closed."""

    def __init__(self) -> None:
        self.is_idle = True
        self.is_closed = False

    def shut_down(self) -> None:
        """Records the call."""
        self.is_closed = True


class CallerConnectionsTest(unittest.TestCase):
    """Guards against silent connections that take all descriptors of a host."""

    def setUp(self) -> None:
        self.connections = CallerConnections(3)
        self.first, self.second, self.third = (Connection() for _ in range(3))
        for each in (self.first, self.second, self.third):
            self.assertIs(self.connections.add(each), Admission.ADDED)

    def test_the_one_that_is_idle_for_longest_is_closed(self) -> None:
        self.connections.mark_busy(self.first)
        self.connections.mark_idle(self.first)
        self.assertIs(self.connections.add(Connection()), Admission.REPLACED)
        self.assertTrue(self.second.is_closed)
        self.assertFalse(self.first.is_closed)
        self.assertEqual(len(self.connections), 3)

    def test_the_new_one_is_refused_if_none_is_idle(self) -> None:
        for each in (self.first, self.second, self.third):
            self.connections.mark_busy(each)
        self.assertIs(self.connections.add(Connection()), Admission.REFUSED)
        self.assertEqual(len(self.connections), 3)

    def test_one_whose_request_was_not_noticed_yet_is_kept(self) -> None:
        """Its caller couldn't tell whether the request has run."""
        self.first.is_idle = False
        self.assertIs(self.connections.add(Connection()), Admission.REPLACED)
        self.assertFalse(self.first.is_closed)
        self.assertTrue(self.second.is_closed)

    def test_a_closed_one_is_not_counted_again(self) -> None:
        self.connections.add(Connection())
        self.connections.mark_idle(self.first)
        self.connections.remove(self.first)
        self.assertNotIn(self.first, self.connections.idle)
        self.assertEqual(len(self.connections), 3)

    def test_without_a_bound_all_are_kept(self) -> None:
        connections = CallerConnections()
        for _ in range(5_000):
            self.assertIs(connections.add(Connection()), Admission.ADDED)

    def test_the_bound_leaves_files_to_others(self) -> None:
        self.assertEqual(connections_max_of(1_000, 2_000), 800)
        self.assertEqual(connections_max_of(10_660, 2_000), 2_000)
        self.assertEqual(connections_max_of(100, 2_000), LEAST_CONNECTIONS)
