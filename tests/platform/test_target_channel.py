"""Tests of `lavendertide.platform.target_channel`, over a socket within the process."""

import unittest
from dataclasses import replace

from lavendertide.encodings.http_messages import render_head
from lavendertide.forwarding.messages import Replied, TargetReply
from lavendertide.forwarding.pool import TargetCall
from lavendertide.platform.target_channel import PlatformTargetChannel
from lavendertide.runtime import clock
from standins.forwarding_records import request, target
from tests.encodings.fixed_peer import TIMEOUT_S, Peer

REPLY = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nLavendertide-Server-Stamp: s\r\n"
    b"Lavendertide-Request-Id: %b\r\n\r\n%b"
)


class PlatformTargetChannelTest(unittest.TestCase):
    """A request goes out with the target's name and the time that is left."""

    def exchange(self, reply: bytes, left_s: float) -> tuple[Peer, TargetReply]:
        """Sends a request with some time left; returns the target and its reply."""
        model = Peer([reply])
        self.addCleanup(model.close)
        wire = PlatformTargetChannel(model.address)
        self.addCleanup(wire.close)
        self.assertTrue(wire.open(TIMEOUT_S))
        now_s = clock.monotonic_s()
        asked = replace(request(now_s), head=render_head("GET", "/x", []))
        call = TargetCall(
            1, 0, asked, target("t7"), now_s, now_s + left_s, lambda *_: None
        )
        return model, wire.exchange(call, now_s)

    def headers(self, model: Peer) -> dict[bytes, bytes]:
        """Returns the headers that a target has read."""
        lines = model.read[0].partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
        pairs = (line.partition(b":") for line in lines)
        return {name.strip().lower(): value.strip() for name, _, value in pairs}

    def test_the_target_is_told_what_is_left_of_the_time(self) -> None:
        for left_s, left_ms in ((0.75, b"750"), (0.0004, b"1")):
            with self.subTest(left_s=left_s):
                model, _ = self.exchange(REPLY % (b"r1", b"body"), left_s)
                told = self.headers(model)[b"lavendertide-deadline-ms"]
                self.assertEqual(told, left_ms)

    def test_the_target_is_named_so_that_no_other_runs_it(self) -> None:
        model, _ = self.exchange(REPLY % (b"r1", b"body"), 0.5)
        named = self.headers(model)[b"lavendertide-expect-instance"]
        self.assertEqual(named, b"t7")

    def test_a_late_answer_to_another_request_is_left_aside(self) -> None:
        sent = REPLY % (b"r0", b"late") + REPLY % (b"r1", b"body")
        _, reply = self.exchange(sent, 0.5)
        assert isinstance(reply, Replied)
        self.assertEqual(reply.body, b"body")
