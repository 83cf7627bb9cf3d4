"""Tests of `soak.accounts`: each fault in the accounts of a gateway is detected."""

import json
import unittest
from collections import Counter
from dataclasses import replace

from prometheus_client import CollectorRegistry, generate_latest

from lavendertide.gateway.request_ledger import (
    ConnectionEnd,
    RequestEnd,
    RequestLedger,
)
from soak.accounts import (
    Account,
    check_account,
    check_log,
    count_stops,
    parse_metrics,
)

SOUND = Account(7, Counter(answered=7), 0, Counter(closed=1, last=1), Counter())


class AccountTest(unittest.TestCase):
    """Guards against a soak test that passes although a gateway counts a fault."""

    def faults_of(self, account: Account) -> list[str]:
        """Returns the faults in an account, without the gateway's name."""
        return [
            line.removeprefix("account: g0 ") for line in check_account("g0", account)
        ]

    def test_a_sound_account(self) -> None:
        self.assertEqual(self.faults_of(SOUND), [])

    def test_requests_without_an_end(self) -> None:
        open_one = replace(SOUND, read=8)
        (line,) = self.faults_of(open_one)
        self.assertIn("read 8", line)
        (line,) = self.faults_of(replace(SOUND, unaccounted=-1))
        self.assertIn("unaccounted -1", line)

    def test_requests_with_another_end_than_a_response(self) -> None:
        for end in RequestEnd:
            if end is not RequestEnd.ANSWERED:
                ends = Counter({"answered": 6, end.value: 1})
                self.assertEqual(
                    self.faults_of(replace(SOUND, ends=ends)),
                    [f"ended 1 requests as {end.value}"],
                )

    def test_connections_closed_with_unread_data(self) -> None:
        for reason in (ConnectionEnd.IDLE, ConnectionEnd.INCOMPLETE):
            unread = Counter({reason.value: 2})
            self.assertEqual(
                self.faults_of(replace(SOUND, unread=unread)),
                [f"closed 2 unread as {reason.value}"],
            )

    def test_failed_bookkeeping(self) -> None:
        failures = Counter(admission=3)
        self.assertEqual(
            self.faults_of(replace(SOUND, failures=failures)),
            ["failed 3 times to record admission"],
        )


class ParseMetricsTest(unittest.TestCase):
    """Guards against names of metrics that the gateways don't export."""

    def test_the_metrics_of_a_ledger(self) -> None:
        registry = CollectorRegistry()
        ledger = RequestLedger(registry)
        for end in (RequestEnd.ANSWERED, RequestEnd.FAILED, None):
            ledger.record_read()
            account = ledger.account(0.0).__enter__()
            if end is not None:
                account.record_end(end)
        ledger.record_connection(ConnectionEnd.IDLE, has_unread=True)
        text = generate_latest(registry).decode()
        text += 'lavendertide_bookkeeping_failures_total{kind="admission"} 3.0\n'
        parsed = parse_metrics(text)
        self.assertEqual((parsed.read, parsed.unaccounted), (3, 0))
        self.assertFalse(parsed.is_settled)
        self.assertEqual(+parsed.ends, Counter(answered=1, failed=1))
        self.assertEqual(+parsed.unread, Counter(idle=1))
        self.assertEqual(parsed.failures, Counter(admission=3))

    def test_a_gateway_without_an_account(self) -> None:
        with self.assertRaises(KeyError):
            parse_metrics("lavendertide_other 1.0\n")


class LogTest(unittest.TestCase):
    """Guards against faults that only the log of an ended process tells."""

    def faults_of(self, **fields: object) -> list[str]:
        """Returns the faults that a log with one line, and other output, tells."""
        return list(check_log("g0", f"not a document\n{json.dumps(fields)}\n1\n"))

    def test_the_account_of_a_stopped_gateway(self) -> None:
        sound = {"message": "stopped", "read": 3, "ends": {"answered": 3}}
        self.assertEqual(self.faults_of(**sound), [])
        self.assertEqual(len(self.faults_of(**sound | {"read": 4})), 1)
        failed = {"read": 4, "ends": {"answered": 3, "failed": 1}}
        self.assertEqual(len(self.faults_of(**sound | failed)), 1)
        self.assertEqual(count_stops(json.dumps(sound)), 1)
        self.assertEqual(count_stops(json.dumps({"message": "stopped"})), 0)

    def test_the_faults_of_single_requests(self) -> None:
        for message, fields in (
            ("request without a complete response", {"end": "failed"}),
            ("connection closed with unread data", {"reason": "idle"}),
            ("bookkeeping failed", {"kind": "admission"}),
            ("request has no end", {}),
        ):
            found = self.faults_of(message=message, request="r1", **fields)
            self.assertEqual(len(found), 1, message)
        closed = {"message": "connection closed with unread data", "reason": "last"}
        self.assertEqual(self.faults_of(**closed), [])
