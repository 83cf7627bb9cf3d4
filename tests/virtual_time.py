"""A test case on a virtual clock, so that a busy machine delays no task."""

import unittest

from standins.virtual_time import run_on_virtual_clock


class VirtualTimeTestCase(unittest.TestCase):
    """Runs each test with its set-up and clean-up on a virtual clock of its own."""

    def run(
        self, result: unittest.TestResult | None = None
    ) -> unittest.TestResult | None:
        """Runs the test; its waits take no real time and never end late."""
        return run_on_virtual_clock(
            lambda: super(VirtualTimeTestCase, self).run(result)
        )
