"""Tests of `lavendertide.routes.active_routes`, without a network."""

import unittest
from unittest import mock

from lavendertide.ids import ConfigurationVersion
from lavendertide.routes.active_routes import ActiveRoutes
from standins.forwarding_records import route, table


class ListenersTest(unittest.TestCase):
    """Each listener gets each table that is adopted."""

    def test_a_listener_that_fails_keeps_no_other_from_the_table(self) -> None:
        """Guards against parts of a host that stay with the former table for good."""
        routes = ActiveRoutes()
        failing, other = mock.Mock(side_effect=KeyError(2)), mock.Mock()
        routes.on_change(failing)
        routes.on_change(other)
        adopted = table(2, route())
        with self.assertLogs("lavendertide.routes", "ERROR"):
            self.assertTrue(routes.adopt(adopted, "test", 0.0))
        failing.assert_called_once_with(adopted)
        other.assert_called_once_with(adopted)
        self.assertEqual(routes.version, ConfigurationVersion(2))
