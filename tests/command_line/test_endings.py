"""Tests of interrupted commands, of failing output and of shell completion."""

import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from tests.command_line.test_commands import run_command

CODE = "from lavendertide.command_line.main import main; main()"
INTERRUPTED = 130
BROKEN_PIPE = 1
TIMEOUT_S = 60
PROGRAM_SCRIPT = f"""#!/bin/sh
exec "{sys.executable}" -c "{CODE}" "$@"
"""
# Completes a command line as bash does when Tab is pressed.
COMPLETION_SCRIPT = """
source "$1"
COMP_WORDS=("${@:2}")
COMP_CWORD=$((${#COMP_WORDS[@]} - 1))
_lavendertide_completion lavendertide
printf '%s\\n' "${COMPREPLY[@]}"
"""


class InterruptTest(unittest.TestCase):
    """Ctrl-C ends a waiting command with one line and exit code 130.

    Without its own handling, it would end with a traceback and hide that the request
    may still run.
    """

    def setUp(self) -> None:
        # A shell ignores SIGINT for commands that it starts in the background, and
        # child processes inherit that.
        previous = signal.signal(signal.SIGINT, signal.default_int_handler)
        self.addCleanup(signal.signal, signal.SIGINT, previous)

    def run_and_interrupt(self, *arguments: str) -> tuple[int, str, str]:
        """Interrupts a command once its request has reached a server.

        The server never replies. `HOST` in the arguments stands for its address.

        Returns:
            The exit code, standard output and standard error.
        """
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.settimeout(TIMEOUT_S)
            address = f"127.0.0.1:{server.getsockname()[1]}"
            words = [address if word == "HOST" else word for word in arguments]
            process = subprocess.Popen(
                [sys.executable, "-c", CODE, *words],
                stdout=subprocess.PIPE,
                stderr=subprocess.PIPE,
                text=True,
            )
            connection, _ = server.accept()
            with connection:
                connection.settimeout(TIMEOUT_S)
                connection.recv(1)
                process.send_signal(signal.SIGINT)
                stdout, stderr = process.communicate(timeout=TIMEOUT_S)
        return process.returncode, stdout, stderr

    def test_each_waiting_command_ends_with_one_line(self) -> None:
        caller = ("--host", "HOST", "--key", "k")
        for arguments in (
            ("status", "--admin", "HOST"),
            ("query", *caller, "venue-desk", "order"),
            ("redeem", *caller, "--ticket", "t", "refund-desk", "v-1"),
        ):
            with self.subTest(arguments[0]):
                code, stdout, stderr = self.run_and_interrupt(*arguments)
                self.assertEqual((code, stdout), (INTERRUPTED, ""), stderr)
                self.assertNotIn("Traceback", stderr)
                self.assertIn("may still run", stderr.strip().splitlines()[-1])


class OutputTest(unittest.TestCase):
    """A closed pipe or a full disk is not reported as an internal error."""

    def test_a_closed_output_pipe_is_no_internal_error(self) -> None:
        read_end, write_end = os.pipe()
        os.close(read_end)
        try:
            done = subprocess.run(
                [sys.executable, "-c", CODE, "settings"],
                stdout=write_end,
                stderr=subprocess.PIPE,
                text=True,
                timeout=TIMEOUT_S,
                check=False,
            )
        finally:
            os.close(write_end)
        self.assertEqual((done.returncode, done.stderr), (BROKEN_PIPE, ""))

    def test_a_full_disk_is_no_internal_error(self) -> None:
        with Path("/dev/full").open("w") as full:
            done = subprocess.run(
                [sys.executable, "-c", CODE, "settings"],
                stdout=full,
                stderr=subprocess.PIPE,
                text=True,
                timeout=TIMEOUT_S,
                check=False,
            )
        self.assertEqual(done.returncode, 1)
        self.assertIn("cannot write the output", done.stderr.splitlines()[0])
        self.assertNotIn("internal error", done.stderr)


class CompletionTest(unittest.TestCase):
    """The printed scripts complete commands, options and choices."""

    folder: Path

    @classmethod
    def setUpClass(cls) -> None:
        cls.folder = Path(cls.enterClassContext(tempfile.TemporaryDirectory()))
        program = cls.folder / "lavendertide"
        program.write_text(PROGRAM_SCRIPT)
        program.chmod(0o755)
        script = run_command("completion", "bash")
        (cls.folder / "completion.bash").write_text(script.stdout)

    def complete_in_bash(self, *words: str) -> list[str]:
        """Returns the completions that bash offers for the last word."""
        bash = shutil.which("bash")
        assert bash is not None
        path = f"{self.folder}:{os.environ['PATH']}"
        script = str(self.folder / "completion.bash")
        done = subprocess.run(
            [bash, "-c", COMPLETION_SCRIPT, "bash", script, "lavendertide", *words],
            capture_output=True,
            text=True,
            env={**os.environ, "PATH": path},
            timeout=TIMEOUT_S,
            check=True,
        )
        return done.stdout.split()

    def test_bash_completes_commands(self) -> None:
        self.assertEqual(self.complete_in_bash("st"), ["status"])
        self.assertEqual(self.complete_in_bash("re"), ["redeem", "report"])

    def test_bash_completes_options(self) -> None:
        self.assertEqual(self.complete_in_bash("status", "--ad"), ["--admin"])

    def test_bash_completes_choices(self) -> None:
        words = ("redeem", "--operation", "ch")
        self.assertEqual(self.complete_in_bash(*words), ["charge"])

    def test_zsh_and_fish_complete_commands(self) -> None:
        for shell in ("zsh", "fish"):
            with self.subTest(shell):
                environment = {
                    **os.environ,
                    "_LAVENDERTIDE_COMPLETE": f"{shell}_complete",
                    "COMP_WORDS": "lavendertide st",
                    "COMP_CWORD": "1" if shell == "zsh" else "st",
                }
                done = subprocess.run(
                    [str(self.folder / "lavendertide")],
                    capture_output=True,
                    text=True,
                    env=environment,
                    timeout=TIMEOUT_S,
                    check=True,
                )
                self.assertIn("status", done.stdout)
                self.assertNotIn("targets", done.stdout)
