"""Tests of `lavendertide.reports.timeline`."""

import json
import unittest

from lavendertide.reports.timeline import (
    LogLine,
    build_timeline,
    format_line,
    parse_lines,
)


def line(second: int, host: str, message: str, **details: object) -> str:
    """Returns a line as a gateway writes it, with what a collector puts before it."""
    fields = {
        "time": f"2026-12-04 10:00:{second:02},000",
        "level": "INFO",
        "name": "lavendertide.x",
        "message": message,
        "host": host,
    }
    return f"{second}.0 {host} {json.dumps(fields | details)}\n"


LOG = [
    line(9, "a", "request ended", request="r1", outcome="partial"),
    line(1, "a", "platform lost", problem="timeout"),
    line(5, "a", "another target asked", request="r1", service="s1", target="t2"),
    line(4, "a", "target stalled", target="t2"),
    line(4, "a", "target stalled", target="t9"),
    line(4, "b", "platform lost"),
    line(6, "a", "request ended", request="r2"),
    "no line of a gateway\n",
    "{broken\n",
]


class TimelineTest(unittest.TestCase):
    """A request's lines, and the beliefs of its hosts that they rest on."""

    def setUp(self) -> None:
        self.lines = parse_lines(LOG)

    def test_lines_of_others_are_left_aside(self) -> None:
        self.assertEqual(len(self.lines), 7)

    def test_the_story_is_told_in_the_order_of_time(self) -> None:
        told = [found.message for found in build_timeline(self.lines, "r1")]
        self.assertEqual(
            told,
            [
                "platform lost",
                "target stalled",
                "another target asked",
                "request ended",
            ],
        )

    def test_other_hosts_and_targets_do_not_matter(self) -> None:
        found = build_timeline(self.lines, "r1")
        self.assertEqual({line.host for line in found}, {"a"})
        self.assertNotIn("t9", str(found))

    def test_a_limit_on_the_requests_route_matters(self) -> None:
        limits = [
            line(2, "a", "requests of a route are limited", route="search", limit=3.0),
            line(2, "a", "requests of a route are limited", route="other", limit=3.0),
            line(3, "a", "request over the limit", request="r3", route="search"),
        ]
        found = build_timeline(parse_lines(limits), "r3")
        self.assertEqual([each.details["route"] for each in found], ["search"] * 2)

    def test_what_another_requests_attempt_has_told_of_a_target_matters(self) -> None:
        down = line(4, "a", "target taken to be down", target="t2", attempt_of="r2")
        found = build_timeline(parse_lines([*LOG, down]), "r1")
        self.assertIn("target taken to be down", [each.message for each in found])

    def test_an_unknown_request_has_no_story(self) -> None:
        self.assertEqual(build_timeline(self.lines, "r9"), [])

    def test_a_line_shows_its_time_and_inputs(self) -> None:
        text = format_line(
            LogLine(10.5, "a", "request ended", {"outcome": "whole"}), 10.0
        )
        self.assertEqual(text, "   +0.500s a: request ended outcome=whole")
