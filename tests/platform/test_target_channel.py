"""Tests of `lavendertide.platform.target_channel`, over a socket within the process."""

import unittest
from dataclasses import replace

from lavendertide.encodings.http_messages import render_head
from lavendertide.forwarding.messages import Replied, TargetReply
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.overload.reported_load import ReportedLoad
from lavendertide.platform.target_channel import PlatformTargetChannel, parse_load
from lavendertide.runtime import clock
from standins.forwarding_records import request, target
from tests.encodings.fixed_peer import TIMEOUT_S, Peer

REPLY = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nLavendertide-Server-Stamp: s\r\n"
    b"Lavendertide-Request-Id: %b\r\n\r\n%b"
)


class PlatformTargetChannelTest(unittest.TestCase):
    """Requests carry the target's id and the remaining time; late replies are skipped.

    Without the id, another target at a reused address could run the request.
    """

    def exchange(self, reply: bytes, left_s: float) -> tuple[Peer, TargetReply]:
        """Sends a request with some time remaining; returns target and reply."""
        peer = Peer([reply])
        self.addCleanup(peer.close)
        channel = PlatformTargetChannel(peer.address)
        self.addCleanup(channel.close)
        self.assertTrue(channel.open(TIMEOUT_S))
        now_s = clock.monotonic_s()
        caller_request = replace(request(now_s), head=render_head("GET", "/x", []))
        call = TargetCall(
            1, 0, caller_request, target("t7"), now_s, now_s + left_s, lambda *_: None
        )
        return peer, channel.exchange(call, now_s)

    def headers(self, peer: Peer) -> dict[bytes, bytes]:
        """Returns the headers of the request that a target has read."""
        lines = peer.read[0].partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
        pairs = (line.partition(b":") for line in lines)
        return {name.strip().lower(): value.strip() for name, _, value in pairs}

    def test_the_request_carries_the_remaining_time(self) -> None:
        for left_s, left_ms in ((0.75, b"750"), (0.0004, b"1")):
            with self.subTest(left_s=left_s):
                peer, _ = self.exchange(REPLY % (b"r1", b"body"), left_s)
                remaining_ms = self.headers(peer)[b"lavendertide-deadline-ms"]
                self.assertEqual(remaining_ms, left_ms)

    def test_the_request_names_the_only_target_that_may_run_it(self) -> None:
        peer, _ = self.exchange(REPLY % (b"r1", b"body"), 0.5)
        target_id = self.headers(peer)[b"lavendertide-expect-instance"]
        self.assertEqual(target_id, b"t7")

    def test_a_late_reply_to_another_request_is_skipped(self) -> None:
        sent = REPLY % (b"r0", b"late") + REPLY % (b"r1", b"body")
        _, reply = self.exchange(sent, 0.5)
        assert isinstance(reply, Replied)
        self.assertEqual(reply.body, b"body")


class ReportedLoadTest(unittest.TestCase):
    """Invalid figures of a target's load must not steer requests."""

    def test_three_figures_and_sometimes_a_fourth_are_read(self) -> None:
        self.assertEqual(parse_load(b"3,0,4"), ReportedLoad(3, 0, 4))
        self.assertEqual(parse_load(b" 4, 7 ,4, 250"), ReportedLoad(4, 7, 4, 250))

    def test_invalid_figures_mean_nothing(self) -> None:
        for value in (b"", b"1,2", b"-1,0,2", b"1,x,2", b"1,2,0", b"1,2,9999999"):
            with self.subTest(value=value):
                self.assertIsNone(parse_load(value))
        for value in (
            b"1,0,2,",
            b"1,0,2,-5",
            b"1,0,2,0",
            b"1,0,2,999999",
            b"1,0,2,1e2",
        ):
            with self.subTest(value=value):
                self.assertEqual(parse_load(value), ReportedLoad(1, 0, 2))

    def test_long_headers_are_read_up_to_the_fourth_figure(self) -> None:
        self.assertIsNone(parse_load(b"1" * 65_536))
        self.assertEqual(parse_load(b"1," * 32_768), ReportedLoad(1, 1, 1))
