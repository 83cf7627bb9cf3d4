"""Finds the command lines in README.md and docs/."""

import re
import shlex
from pathlib import Path

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
OPERATIONS = DOCS / "OPERATIONS.md"
PAGES = (ROOT / "README.md", *sorted(DOCS.glob("*.md")))


def find_commands(program: str, page: Path) -> list[list[str]]:
    """Returns the arguments of each command line of a program in a page.

    A command line is a line of its own, indented by four spaces, or in backquotes.
    """
    text = page.read_text(encoding="utf-8")
    own_lines = re.findall(rf"^    {program} ([^#\n]+)", text, re.MULTILINE)
    spans = re.findall(rf"`{program}\s([^`]+)`", text)
    return [shlex.split(line) for line in (*own_lines, *spans)]
