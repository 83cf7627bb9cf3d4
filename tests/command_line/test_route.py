"""Tests of `lavendertide.command_line.route` with several gateways."""

import json
import unittest
from typing import Any
from unittest import mock

from click.testing import CliRunner, Result
from returns.result import Failure, Result as ClientResult, Success

from lavendertide.command_line.main import commands
from lavendertide.encodings.gateway_documents import decode
from lavendertide.errors import Refusal, unreachable
from lavendertide.gateway_client import GatewayClient

DOWN = Failure(unreachable("10.0.0.9:9464", "it is down", "Start it."))


def explanation(first: str, cause: str | None = None) -> Success[dict[str, Any]]:
    """Returns the explanation of a gateway that prefers a target."""
    target = {"target": first, "rank": 1, "score": 1.0, "reason": None}
    return Success(
        {
            "gateway": f"host-of-{first}",
            "state": "serving",
            "routes": {"version": 3, "age_s": 1.0},
            "route": {"name": "lookups", "required": 1},
            "admission": {"cause": cause, "retry_after_s": None, "limit": None},
            "evacuated": [],
            "services": [{"service": "desk", "is_next": True, "targets": [target]}],
        }
    )


class ComparisonTest(unittest.TestCase):
    """Guards against a gateway that differs or is silent and is not noticed."""

    def run_route(
        self, *documents: ClientResult[dict[str, Any], Refusal], as_json: bool = False
    ) -> Result:
        """Runs the command against one gateway for each document."""
        by_address = {f"10.0.0.{n}:9464": each for n, each in enumerate(documents)}
        words = [word for address in by_address for word in ("--gateway", address)]

        def answer(client: GatewayClient, host: str, path: str) -> object:
            return by_address[client._address]

        with mock.patch.object(GatewayClient, "explain", answer):
            return CliRunner().invoke(
                commands, ["route", *words, "h", "/p", *["--json"] * as_json]
            )

    def test_each_gateway_has_a_line(self) -> None:
        result = self.run_route(explanation("t1"), explanation("t2"))
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertRegex(result.stdout, r"(?m)^10.0.0.0:9464 .* 1 of 1 .* t1")
        self.assertRegex(result.stdout, r"(?m)^10.0.0.1:9464 .* 1 of 1 .* t2")

    def test_a_refusal_shows_in_the_exit_code(self) -> None:
        result = self.run_route(explanation("t1"), explanation("t2", "no_target"))
        self.assertEqual(result.exit_code, 1)
        self.assertIn("no_target", result.stdout)

    def test_a_silent_gateway_is_named(self) -> None:
        result = self.run_route(explanation("t1"), DOWN)
        self.assertEqual(result.exit_code, 1)
        self.assertIn("it is down", result.stdout)
        self.assertEqual(self.run_route(DOWN, DOWN).exit_code, 3)
        self.assertEqual(self.run_route(DOWN).exit_code, 3)

    def test_the_cold_targets_of_a_gateway_are_shown(self) -> None:
        cold = {"target": "t1", "left_s": 4.5, "allowance": 28, "part": 3}
        cold |= {"sent": 2, "given": 1, "received": 7}
        document = {**explanation("t1").unwrap(), "cold_count": 1, "cold": [cold]}
        document["services"] = []
        result = self.run_route(Success(document))
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertRegex(result.stdout, r"(?m)^t1 +4.50 +28 +3 +2 +1 +7")

    def test_json_has_the_documents_unchanged(self) -> None:
        result = self.run_route(explanation("t1"), DOWN, as_json=True)
        first, second = json.loads(result.stdout)["gateways"]
        self.assertEqual(first["explanation"], explanation("t1").unwrap())
        self.assertIsNone(second["explanation"])

    def test_an_answer_of_something_else_is_refused(self) -> None:
        for data in (b"", b"[]", b"{}", b"\xff", b"[" * 100_000):
            with self.subTest(data[:9]):
                self.assertIsInstance(decode(data), Failure)
