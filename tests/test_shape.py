"""Tests of the dependencies between modules and of their docstrings."""

import ast
import re
import unittest
from collections.abc import Iterator
from pathlib import Path

PACKAGE = Path(__file__).parent.parent / "lavendertide"
PLATFORM_NAME = re.compile(r"/?[A-Za-z]+([-./_][a-z_]+)+/?|servers/")
# Names of HTTP and Python and a setting, which code outside `platform` uses as well.
STANDARD_NAMES = frozenset(
    {
        "content-type",
        "content-encoding",
        "keep-alive",
        "retry-after",
        "text/plain",
        "application/json",
        "application/octet-stream",
        "latin-1",
        "/metrics",
        "__main__",
        "fleet_key",
    }
)
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
    """Yields the modules that a file imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.Import(names=names):
                yield from (name.name for name in names)
            case ast.ImportFrom(module=str(module)):
                yield module


def texts_of(path: Path) -> Iterator[str]:
    """Yields the string and byte constants of a file, docstrings included."""
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.Constant(value=str(text)):
                yield text
            case ast.Constant(value=bytes(data)):
                yield data.decode("latin-1")


def platform_names() -> Iterator[str]:
    """Yields the platform's names that are recognizable by their spelling.

    They have a hyphen, a slash, a dot or an underscore between letters. Plain words
    such as `state` are also used elsewhere in the code.
    """
    for path in (PACKAGE / "platform").glob("*.py"):
        for text in texts_of(path):
            if PLATFORM_NAME.fullmatch(text) and text.lower() not in STANDARD_NAMES:
                yield text.lower()


class ImportsTest(unittest.TestCase):
    """Decisions depend neither on green threads nor on encodings.

    Otherwise another front end couldn't use the same code.
    """

    def test_only_the_runtime_imports_eventlet(self) -> None:
        violations = [
            str(path.relative_to(PACKAGE))
            for path in PACKAGE.rglob("*.py")
            if path.parent.name != "runtime"
            and any(name.split(".")[0] == "eventlet" for name in imports_of(path))
        ]
        self.assertEqual(violations, [])

    def test_aggregates_import_no_front_end(self) -> None:
        violations = [
            f"{path.relative_to(PACKAGE)}: {name}"
            for aggregate in AGGREGATES
            for path in (PACKAGE / aggregate).rglob("*.py")
            for name in imports_of(path)
            if name.startswith(("lavendertide.daemon", "lavendertide.command_line"))
        ]
        self.assertEqual(violations, [])

    def test_aggregates_import_no_encoding(self) -> None:
        violations = [
            f"{path.relative_to(PACKAGE)}: {name}"
            for aggregate in AGGREGATES
            for path in (PACKAGE / aggregate).rglob("*.py")
            for name in imports_of(path)
            if name.startswith(("lavendertide.encodings", "urllib3", "thrift"))
        ]
        self.assertEqual(violations, [])


class PlatformTest(unittest.TestCase):
    """Only the `platform` folder depends on the users' platform."""

    def test_nothing_outside_imports_the_folder(self) -> None:
        violations = [
            f"{path.relative_to(PACKAGE)}: {name}"
            for path in PACKAGE.rglob("*.py")
            if path.parent.name != "platform"
            for name in imports_of(path)
            if name.startswith("lavendertide.platform")
        ]
        self.assertEqual(violations, [])

    def test_nothing_outside_uses_the_platforms_names(self) -> None:
        names = set(platform_names())
        for known in ("lavendertide-request-id", "servers/", "min-coverage"):
            self.assertIn(known, names)
        violations = [
            f"{path.relative_to(PACKAGE)}: {text!r}"
            for path in PACKAGE.rglob("*.py")
            if path.parent.name != "platform" and "generated" not in path.parts
            for text in texts_of(path)
            if text.lower() in names
        ]
        self.assertEqual(violations, [])

    def test_decisions_import_no_framing(self) -> None:
        violations = [
            f"{path.relative_to(PACKAGE)}: {name}"
            for folder in ("forwarding", "registry", "routes")
            for path in (PACKAGE / folder).rglob("*.py")
            for name in imports_of(path)
            if name.startswith(
                ("lavendertide.encodings", "h11", "lavendertide.gateway")
            )
        ]
        self.assertEqual(violations, [])


class PatchingTest(unittest.TestCase):
    """Tests import no module that patches sockets and threads.

    The patches would apply to the test process itself.
    """

    def test_no_test_reaches_a_module_that_patches(self) -> None:
        root = PACKAGE.parent
        pending = [str(path.relative_to(root)) for path in root.glob("tests/**/*.py")]
        visited: set[str] = set()
        while pending:
            name = pending.pop()
            if name in visited or not (root / name).is_file():
                continue
            visited.add(name)
            for module in imports_of(root / name):
                pending.append(f"{module.replace('.', '/')}.py")
        self.assertNotIn("lavendertide/runtime/patching.py", visited)
        self.assertIn("lavendertide/runtime/tasks.py", visited)


class ModulesTest(unittest.TestCase):
    """Each module opens with a docstring."""

    def test_every_module_opens_with_a_docstring(self) -> None:
        violations = [
            str(path.relative_to(PACKAGE))
            for path in PACKAGE.rglob("*.py")
            if "generated" not in path.parts
            and ast.get_docstring(ast.parse(path.read_text())) is None
        ]
        self.assertEqual(violations, [])
