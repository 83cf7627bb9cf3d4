"""Tests of `lavendertide.reports.missing` and of the command `missing`."""

import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from lavendertide.command_line.main import commands
from tests.reports.test_timeline import log_line


def ended(route: str, outcome: str, **causes: int) -> str:
    """Returns the line that ends a request."""
    fields = {"missing_causes": causes} if causes else {}
    return log_line(1, "a", "request ended", route=route, outcome=outcome, **fields)


LOG = [
    ended("shop", "partial", no_target=1, hedge_not_due=2),
    ended("shop", "partial", hedge_not_due=1),
    ended("shop", "whole"),
    ended("feed", "too_few_shards", target_failed=3),
    log_line(2, "a", "target stalled", dropped_before=7, missing_causes={"x": 1}),
    log_line(3, "a", "request ended", route="feed", missing_causes="broken"),
    "{request ended\n",
]


class MissingTest(unittest.TestCase):
    """Guards against counts that leave out or add lines without saying so."""

    def setUp(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.log = folder / "a.log"
        self.log.write_text("".join(LOG))

    def run_missing(self, *arguments: str) -> str:
        """Runs the command and returns its output."""
        result = CliRunner().invoke(commands, ["missing", str(self.log), *arguments])
        self.assertEqual(result.exit_code, 0, result.output)
        return result.stdout

    def test_counts_by_cause_and_route(self) -> None:
        document = json.loads(self.run_missing("--json"))
        total = document["total"]
        self.assertEqual(document["dropped_lines"], 7)
        self.assertEqual((total["requests"], total["incomplete"]), (5, 3))
        self.assertEqual(total["missing"], 7)
        self.assertEqual(
            document["routes"]["shop"]["causes"],
            {
                "hedge_not_due": {"shards": 3, "searches": 2},
                "no_target": {"shards": 1, "searches": 1},
            },
        )

    def test_one_outcome(self) -> None:
        document = json.loads(self.run_missing("--json", "--outcome", "partial"))
        self.assertEqual(document["total"]["missing"], 4)

    def test_several_files_are_added_up(self) -> None:
        document = json.loads(self.run_missing(str(self.log), "--json"))
        self.assertEqual(document["total"]["missing"], 14)

    def test_the_text_has_a_line_for_each_cause(self) -> None:
        lines = [line.split() for line in self.run_missing().splitlines()]
        self.assertIn(["hedge_not_due", "3", "0.43", "2"], lines)
        self.assertIn(["shop", "3", "2", "hedge_not_due", "3", "2"], lines)

    def test_a_file_that_cannot_be_read_is_named(self) -> None:
        result = CliRunner().invoke(commands, ["missing", "/nowhere/a.log"])
        self.assertEqual(result.exit_code, 1)
        self.assertIn("/nowhere/a.log", result.stderr)
