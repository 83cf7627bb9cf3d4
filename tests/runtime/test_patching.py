"""Tests of `lavendertide.runtime.patching`, run in a separate process."""

import subprocess
import sys
import unittest

# Prints the modules of the standard library that are patched after a start.
PROGRAM = """
from lavendertide.runtime import patching
from eventlet import patcher
names = ("os", "select", "socket", "time", "thread")
print(*[name for name in names if patcher.is_monkey_patched(name)])
"""


class PatchingTest(unittest.TestCase):
    """All blocking calls are patched except locks.

    An unpatched call would block all tasks of the process. Patching locks as well would
    slow each start.
    """

    def test_all_blocking_calls_except_locks_are_patched(self) -> None:
        result = subprocess.run(
            [sys.executable, "-W", "ignore", "-c", PROGRAM],
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual(result.stdout.split(), ["os", "select", "socket", "time"])


if __name__ == "__main__":
    unittest.main()
