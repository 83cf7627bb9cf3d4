"""Tests of `lavendertide.command_line.fleet`."""

import json
import unittest
from typing import Any
from unittest import mock

from click.testing import CliRunner, Result
from returns.result import Failure, Result as ClientResult, Success

from lavendertide.admin_client import AdminClient
from lavendertide.command_line.main import commands
from lavendertide.encodings.admin_json import MemberDocument, StatusDocument
from lavendertide.errors import Refusal, unreachable


def serving_daemon(**overrides: Any) -> Success[StatusDocument]:
    """Returns the status of a serving daemon.

    Args:
        overrides: Fields with other values.
    """
    member = MemberDocument(
        daemon="a-1",
        host="h",
        region="r",
        failure_domain="d",
        state="serving",
        incarnation=1,
        callers="10.0.0.1:1",
        reachable=True,
    )
    status = StatusDocument(
        daemon="a-1",
        host="h",
        region="r",
        failure_domain="d",
        state="serving",
        readiness="serving",
        configuration=7,
        refused=None,
        in_flight=0,
        members=(member, member.model_copy(update={"reachable": False})),
    )
    return Success(status.model_copy(update=overrides))


def unreachable_daemon() -> Failure[Refusal]:
    """Returns the refusal for a daemon that does not reply."""
    return Failure(unreachable("10.0.0.2:1", "it is down", "Start it."))


class FleetTest(unittest.TestCase):
    """Any unhealthy, differing or unreachable daemon shows in the exit code."""

    def run_fleet(
        self, *results: ClientResult[StatusDocument, Refusal], as_json: bool = False
    ) -> Result:
        """Runs the command against one daemon for each result."""
        by_address = {f"10.0.0.{n}:1": result for n, result in enumerate(results, 1)}
        words = ["fleet", "--key", "k"]
        for address in by_address:
            words += ["--admin", address]

        def result_of(client: AdminClient) -> ClientResult[StatusDocument, Refusal]:
            return by_address[client._address]

        with mock.patch.object(AdminClient, "status", result_of):
            return CliRunner().invoke(commands, words + ["--json"] * as_json)

    def test_agreeing_daemons_give_exit_code_0(self) -> None:
        done = self.run_fleet(serving_daemon(), serving_daemon(daemon="a-2"))
        self.assertEqual(done.exit_code, 0, done.output)
        self.assertIn("1 of 2", done.stdout)

    def test_any_problem_gives_exit_code_1(self) -> None:
        for name, other in (
            ("another version", serving_daemon(configuration=6)),
            ("a refusal", serving_daemon(refused="bad")),
            ("not ready", serving_daemon(readiness="refreshing")),
            ("no answer", unreachable_daemon()),
        ):
            with self.subTest(name):
                self.assertEqual(self.run_fleet(serving_daemon(), other).exit_code, 1)

    def test_an_unreachable_daemon_has_its_row(self) -> None:
        done = self.run_fleet(serving_daemon(), unreachable_daemon())
        self.assertIn("No answer from 10.0.0.2:1", done.stdout)

    def test_exit_code_3_if_no_daemon_can_be_reached(self) -> None:
        self.assertEqual(
            self.run_fleet(unreachable_daemon(), unreachable_daemon()).exit_code, 3
        )

    def test_json_has_each_daemon(self) -> None:
        done = self.run_fleet(serving_daemon(), unreachable_daemon(), as_json=True)
        first, second = json.loads(done.stdout)["daemons"]
        self.assertEqual(
            (first["status"]["configuration"], first["problem"]), (7, None)
        )
        self.assertIsNone(second["status"])
        self.assertIn("it is down", second["problem"])
