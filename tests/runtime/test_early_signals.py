"""Tests of `lavendertide.runtime.early_signals`."""

import subprocess
import sys
import unittest

# Prints whether SIGHUP is ignored before the first large library is loaded.
PROGRAM = """
import signal, sys

class Watch:
    def find_spec(self, name, path=None, target=None):
        if name == "eventlet":
            print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)

sys.meta_path.insert(0, Watch())
import {module}
"""


class EarlySignalsTest(unittest.TestCase):
    """Guards against a process that SIGHUP ends while it loads its code."""

    def test_the_signal_is_ignored_before_the_libraries_are_loaded(self) -> None:
        for module in ("lavendertide.platform.__main__", "lavendertide.__main__"):
            with self.subTest(module=module):
                completed = subprocess.run(
                    [sys.executable, "-c", PROGRAM.format(module=module)],
                    capture_output=True,
                    text=True,
                    check=True,
                )
                self.assertEqual(completed.stdout.strip(), "True")
