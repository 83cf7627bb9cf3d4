"""Tests of `lavendertide.reports.timeline`."""

import json
import unittest

from lavendertide.reports.timeline import (
    LogLine,
    build_timeline,
    format_line,
    parse_lines,
)


def log_line(second: int, host: str, message: str, **details: object) -> str:
    """Returns a line that a gateway wrote, with the prefix of a log collector."""
    fields = {
        "time": f"2026-12-04 10:00:{second:02},000",
        "level": "INFO",
        "name": "lavendertide.x",
        "message": message,
        "host": host,
    }
    return f"{second}.0 {host} {json.dumps(fields | details)}\n"


LOG = [
    log_line(9, "a", "request ended", request="r1", outcome="partial"),
    log_line(1, "a", "platform lost", problem="timeout"),
    log_line(
        5,
        "a",
        "sub-request repeated",
        request="r1",
        service="s1",
        target="t2",
    ),
    log_line(4, "a", "target stalled", target="t2"),
    log_line(4, "a", "target stalled", target="t9"),
    log_line(4, "b", "platform lost"),
    log_line(6, "a", "request ended", request="r2"),
    "no line of a gateway\n",
    "{broken\n",
]


class TimelineTest(unittest.TestCase):
    """A timeline has a request's own lines and the related lines of its hosts only."""

    def setUp(self) -> None:
        self.lines = parse_lines(LOG)

    def test_lines_of_other_programs_are_skipped(self) -> None:
        self.assertEqual(len(self.lines), 7)

    def test_the_timeline_is_in_the_order_of_time(self) -> None:
        messages = [entry.message for entry in build_timeline(self.lines, "r1")]
        self.assertEqual(
            messages,
            [
                "platform lost",
                "target stalled",
                "sub-request repeated",
                "request ended",
            ],
        )

    def test_lines_of_other_hosts_and_targets_are_left_out(self) -> None:
        history = build_timeline(self.lines, "r1")
        self.assertEqual({line.host for line in history}, {"a"})
        self.assertNotIn("t9", str(history))

    def test_a_limit_on_the_requests_route_is_related(self) -> None:
        limits = [
            log_line(
                2, "a", "requests of a route are limited", route="search", limit=3.0
            ),
            log_line(
                2, "a", "requests of a route are limited", route="other", limit=3.0
            ),
            log_line(
                3,
                "a",
                "request over the limit of its route",
                request="r3",
                route="search",
            ),
        ]
        history = build_timeline(parse_lines(limits), "r3")
        self.assertEqual([entry.details["route"] for entry in history], ["search"] * 2)

    def test_a_line_of_another_requests_attempt_is_related_by_its_target(self) -> None:
        down = log_line(4, "a", "target considered down", target="t2", attempt_of="r2")
        history = build_timeline(parse_lines([*LOG, down]), "r1")
        self.assertIn("target considered down", [entry.message for entry in history])

    def test_an_unknown_request_has_an_empty_timeline(self) -> None:
        self.assertEqual(build_timeline(self.lines, "r9"), [])

    def test_a_formatted_line_shows_its_time_and_details(self) -> None:
        text = format_line(
            LogLine(10.5, "a", "request ended", {"outcome": "whole"}), 10.0
        )
        self.assertEqual(text, "   +0.500s a: request ended outcome=whole")
