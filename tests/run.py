"""Runs all tests except those that KNOWN-RED.txt lists, and prints its entries.

Usage: `python -m tests.run [SEED]`. The seed is passed to the tests in
`LAVENDERTIDE_TEST_SEED` and printed, so that a failure can be reproduced.
"""

import logging
import os
import sys
import unittest
from pathlib import Path

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
SEED_VARIABLE = "LAVENDERTIDE_TEST_SEED"
DEFAULT_SEED = "1"


def read_known_red() -> dict[str, str]:
    """Returns the lines of KNOWN-RED.txt by the test id that they start with."""
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {entry.split("|")[0].strip(): entry for entry in entries}


def main() -> int:
    """Runs the tests and returns the exit code, which is 1 also if no test ran."""
    os.environ.setdefault(SEED_VARIABLE, DEFAULT_SEED)
    if len(sys.argv) > 1:
        os.environ[SEED_VARIABLE] = sys.argv[1]
    logging.getLogger("lavendertide").addHandler(logging.NullHandler())
    known_failures = read_known_red()
    suite = unittest.TestSuite(
        test
        for test in _flatten(
            unittest.defaultTestLoader.discover("tests", top_level_dir=".")
        )
        if test.id() not in known_failures
    )
    result = unittest.TextTestRunner(verbosity=1, buffer=False).run(suite)
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    for entry in known_failures.values():
        print(f"known red, passed over: {entry}")
    print(f"seed {os.environ[SEED_VARIABLE]}")
    passed = result.testsRun - failed - len(result.skipped)
    print(f"{passed} passed, {failed} failed, {len(result.skipped)} skipped")
    return 1 if failed or not result.testsRun else 0


def _flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    tests: list[unittest.TestCase] = []
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            tests.extend(_flatten(item))
        elif isinstance(item, unittest.TestCase):
            tests.append(item)
    return tests


if __name__ == "__main__":
    sys.exit(main())
