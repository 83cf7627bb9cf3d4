"""Finds the commands that the documents name."""

import re
import shlex
from pathlib import Path

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
OPERATIONS = DOCS / "OPERATIONS.md"
PAGES = (ROOT / "README.md", *sorted(DOCS.glob("*.md")))


def find_commands(program: str, page: Path) -> list[list[str]]:
    """Returns the words after a program's name wherever a page gives a command.

    A command stands in a line of its own, with an indent of four, or in backticks.
    """
    text = page.read_text(encoding="utf-8")
    own_lines = re.findall(rf"^    {program} ([^#\n]+)", text, re.MULTILINE)
    spans = re.findall(rf"`{program}\s([^`]+)`", text)
    return [shlex.split(line) for line in (*own_lines, *spans)]
