"""Tests of the shape of the code: who may import what."""

import ast
import unittest
from collections.abc import Iterator
from pathlib import Path

PACKAGE = Path(__file__).parent.parent / "lavendertide"
AGGREGATES = (
    "queries",
    "targets",
    "fleet",
    "plans",
    "configuration",
    "executions",
    "poison",
)


def imports_of(path: Path) -> Iterator[str]:
    """Returns the modules that a file imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.Import(names=names):
                yield from (name.name for name in names)
            case ast.ImportFrom(module=str(module)):
                yield module


class ImportsTest(unittest.TestCase):
    """Decisions know neither green threads nor encodings."""

    def test_only_the_runtime_imports_eventlet(self) -> None:
        found = [
            str(path.relative_to(PACKAGE))
            for path in PACKAGE.rglob("*.py")
            if path.parent.name != "runtime"
            and any(name.split(".")[0] == "eventlet" for name in imports_of(path))
        ]
        self.assertEqual(found, [])

    def test_aggregates_import_no_front_end(self) -> None:
        found = [
            f"{path.relative_to(PACKAGE)}: {name}"
            for aggregate in AGGREGATES
            for path in (PACKAGE / aggregate).rglob("*.py")
            for name in imports_of(path)
            if name.startswith(("lavendertide.daemon", "lavendertide.command_line"))
        ]
        self.assertEqual(found, [])

    def test_aggregates_import_no_encoding(self) -> None:
        found = [
            f"{path.relative_to(PACKAGE)}: {name}"
            for aggregate in AGGREGATES
            for path in (PACKAGE / aggregate).rglob("*.py")
            for name in imports_of(path)
            if name.startswith(("lavendertide.encodings", "urllib3", "thrift"))
        ]
        self.assertEqual(found, [])


class PatchingTest(unittest.TestCase):
    """What tests import leaves this process's sockets and threads as they are."""

    def test_no_test_reaches_a_module_that_patches(self) -> None:
        root = PACKAGE.parent
        left = [str(path.relative_to(root)) for path in root.glob("tests/**/*.py")]
        seen: set[str] = set()
        while left:
            name = left.pop()
            if name in seen or not (root / name).is_file():
                continue
            seen.add(name)
            for module in imports_of(root / name):
                left.append(f"{module.replace('.', '/')}.py")
        self.assertNotIn("lavendertide/runtime/patching.py", seen)
        self.assertIn("lavendertide/runtime/tasks.py", seen)


class ModulesTest(unittest.TestCase):
    """A newcomer finds in each module what it is for."""

    def test_every_module_opens_with_a_docstring(self) -> None:
        found = [
            str(path.relative_to(PACKAGE))
            for path in PACKAGE.rglob("*.py")
            if "generated" not in path.parts
            and ast.get_docstring(ast.parse(path.read_text())) is None
        ]
        self.assertEqual(found, [])
