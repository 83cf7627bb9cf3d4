"""Tests that README.md and docs/ agree with the code.

A renamed command, option, module, test or section would leave them out of date.
"""

import importlib.util
import re
import unittest

import click

from lavendertide.command_line.main import commands
from tests.command_line.documented_commands import (
    DOCS,
    OPERATIONS,
    PAGES,
    ROOT,
    find_commands,
)

ADDRESS = "10.0.0.7:7000"
ADDRESSES = ("ADMIN", "ADMIN-2", "HOST", "GATEWAY", "GATEWAY-2")


def parse(words: list[str]) -> click.Context:
    """Parses a command line without running it.

    Raises:
        click.ClickException: The command, an option or an argument is wrong.
    """
    filled = [ADDRESS if word in ADDRESSES else word for word in words]
    context = commands.make_context("lavendertide", filled)
    name, command, rest = commands.resolve_command(context, filled)
    assert command is not None
    return command.make_context(name, rest, parent=context)


class PagesTest(unittest.TestCase):
    """Commands, modules, make targets, links and test ids of the pages exist."""

    def test_commands_parse(self) -> None:
        found = [
            (p, words) for p in PAGES for words in find_commands("lavendertide", p)
        ]
        self.assertGreaterEqual(len(found), 16)
        for page, words in found:
            with self.subTest(page=page.name, words=words):
                if words[0] in commands.commands and len(words) == 1:
                    continue
                parse(words)

    def test_a_wrong_command_does_not_parse(self) -> None:
        for words in (["state"], ["status", "--admn", "ADMIN"], ["outcome"]):
            with self.subTest(words=words), self.assertRaises(click.ClickException):
                parse(words)

    def test_every_command_of_the_tool_is_documented(self) -> None:
        named = {w[0] for page in PAGES for w in find_commands("lavendertide", page)}
        self.assertEqual(set(commands.commands) - named, set())

    def test_modules_exist(self) -> None:
        found = {w[1] for page in PAGES for w in find_commands("python", page)}
        self.assertGreaterEqual(len(found), 5)
        for module in found:
            self.assertIsNotNone(importlib.util.find_spec(module), module)

    def test_make_targets_exist(self) -> None:
        makefile = (ROOT / "Makefile").read_text(encoding="utf-8")
        targets = set(re.findall(r"^([a-z]+):", makefile, re.MULTILINE))
        for page in PAGES:
            for words in find_commands("make", page):
                self.assertIn(words[0], targets, page.name)

    def test_links_lead_to_files(self) -> None:
        for page in PAGES:
            links = re.findall(r"\]\(([^)#:]+)\)", page.read_text(encoding="utf-8"))
            for link in links:
                self.assertTrue((page.parent / link).exists(), f"{page.name}: {link}")

    def test_test_ids_of_promises_exist(self) -> None:
        text = (DOCS / "PROMISES.md").read_text(encoding="utf-8")
        names = set(re.findall(r"\btests\.[a-z_.]+\.[A-Za-z0-9_.]+", text))
        self.assertGreaterEqual(len(names), 50)
        loader = unittest.defaultTestLoader
        for name in names:
            with self.subTest(name):
                loader.errors.clear()
                suite = loader.loadTestsFromName(name)
                self.assertEqual(
                    (loader.errors, suite.countTestCases() > 0), ([], True)
                )

    def test_sections_that_the_page_refers_to_exist(self) -> None:
        text = " ".join(OPERATIONS.read_text(encoding="utf-8").split())
        sections = set(re.findall(r"## (.+?)\n", OPERATIONS.read_text()))
        for name in re.findall(r"(?:see|read) \"([A-Z][^\"]+)\"", text):
            self.assertIn(name, sections)
