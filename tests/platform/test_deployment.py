"""Tests of the files under deploy/ with which the users' platform builds and runs."""

import re
import subprocess
import sys
import unittest
from importlib import metadata
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
# Prints the modules that the gateway's main module imports.
LOADED = """
import sys
before = set(sys.modules)
import lavendertide.platform.__main__
print("\\n".join(set(sys.modules) - before))
"""


class RequirementsTest(unittest.TestCase):
    """deploy/requirements.txt lists every package that the gateway imports.

    The platform's machines have no other packages, so the gateway would not start there
    after an import of one that is not listed.
    """

    def test_the_gateway_loads_no_other_package(self) -> None:
        declared = re.findall(r"^([\w.-]+)==", REQUIREMENTS.read_text(), re.MULTILINE)
        names = {_normalize_name(name) for name in declared} | {"lavendertide"}
        completed = subprocess.run(
            [sys.executable, "-c", LOADED],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        top_level = {module.partition(".")[0] for module in completed.stdout.split()}
        packages = metadata.packages_distributions()
        loaded = {
            _normalize_name(name) for top in top_level for name in packages.get(top, [])
        }
        self.assertIn("eventlet", loaded)
        self.assertEqual(loaded - names, set())

    def test_the_versions_match_the_lock_file(self) -> None:
        lock = (ROOT / "requirements.lock").read_text()
        for line in REQUIREMENTS.read_text().split():
            with self.subTest(line):
                self.assertIn(line + " ", lock)


def _normalize_name(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).lower()
