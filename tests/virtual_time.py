"""Tests whose tasks run on a virtual clock, which no busy machine delays."""

import unittest

from standins.virtual_time import run_on_virtual_clock


class VirtualTimeTestCase(unittest.TestCase):
    """Runs each test, its set-up and its clean-ups on a virtual clock of its own."""

    def run(
        self, result: unittest.TestResult | None = None
    ) -> unittest.TestResult | None:
        """Runs the test; waits in it take no time and are never late."""
        return run_on_virtual_clock(
            lambda: super(VirtualTimeTestCase, self).run(result)
        )
