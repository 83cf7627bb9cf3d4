"""Tests of the commands that need no running daemon."""

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from lavendertide.reports.run import dump_run
from tests.reports.test_run import sample_run

UNUSED_ADDRESS = "127.0.0.1:1"


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Runs a command in its own process, without settings from the environment."""
    code = "from lavendertide.command_line.main import main; main()"
    environment = {k: v for k, v in os.environ.items() if "LAVENDERTIDE_" not in k}
    return subprocess.run(
        [sys.executable, "-c", code, *arguments],
        capture_output=True,
        text=True,
        env=environment,
        timeout=60,
        check=False,
    )


class CommandTest(unittest.TestCase):
    """A failed command has its documented exit code and prints one line."""

    def assert_exit(
        self, done: subprocess.CompletedProcess[str], code: int, message: str
    ) -> None:
        """Asserts the exit code and that the last line on standard error has a text."""
        self.assertEqual(done.returncode, code, done.stderr)
        self.assertNotIn("Traceback", done.stderr)
        self.assertIn(message, done.stderr.strip().splitlines()[-1])

    def test_an_unreachable_daemon_is_exit_code_3(self) -> None:
        for arguments in (
            ("status", "--admin", UNUSED_ADDRESS),
            ("drain", "--admin", UNUSED_ADDRESS),
            ("addresses", "--host", UNUSED_ADDRESS, "--key", "k"),
            ("query", "--host", UNUSED_ADDRESS, "--key", "k", "venue-desk", "order"),
        ):
            with self.subTest(arguments[0]):
                self.assert_exit(run_command(*arguments), 3, "No answer from")

    def test_wrong_usage_is_exit_code_2(self) -> None:
        self.assert_exit(run_command("status"), 2, "LAVENDERTIDE_ADMIN")
        self.assert_exit(run_command("status", "--admin", "here"), 2, "IP:port")

    def test_a_missing_settings_file_is_refused(self) -> None:
        self.assert_exit(run_command("check", "absent.yaml"), 1, "absent.yaml")

    def test_completion_is_printed_for_each_shell(self) -> None:
        for shell in ("bash", "zsh", "fish"):
            done = run_command("completion", shell)
            self.assertEqual(done.returncode, 0, done.stderr)
            self.assertIn("_LAVENDERTIDE_COMPLETE", done.stdout)

    def test_a_report_is_written(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            run, page = Path(folder) / "run.jsonl", Path(folder) / "page.html"
            run.write_text(dump_run(sample_run()))
            done = run_command("report", str(run), "-o", str(page))
            self.assertEqual(done.returncode, 0, done.stderr)
            self.assertIn("replica killed", page.read_text())

    def test_a_missing_run_is_refused(self) -> None:
        done = run_command("report", "absent.jsonl", "-o", "page.html")
        self.assert_exit(done, 1, "absent.jsonl")
