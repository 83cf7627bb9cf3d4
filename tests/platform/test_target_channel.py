"""Tests of `lavendertide.platform.target_channel`, over a socket within the process."""

import socket
import threading
import tracemalloc
import unittest
from dataclasses import replace

from lavendertide.encodings.http_messages import render_head
from lavendertide.forwarding.messages import Replied, TargetReply
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.ids import Address
from lavendertide.overload.reported_load import ReportedLoad
from lavendertide.platform.target_channel import (
    SHARED_MIN_BYTES,
    PlatformTargetChannel,
    parse_load,
)
from lavendertide.runtime import clock, tasks
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


class SharedBodyTest(unittest.TestCase):
    """Guards against one copy of a long body for each target that reads slowly.

    A search has a call for each shard, so the copies exceeded the memory of a host.
    """

    CALLS = 30
    BODY = bytes(250_000)

    def test_all_calls_share_the_body(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0), backlog=self.CALLS)
        self.addCleanup(listener.close)
        address = Address(f"127.0.0.1:{listener.getsockname()[1]}")
        now_s = clock.monotonic_s()
        head = render_head("POST", "/x", [])
        shared = replace(request(now_s), method="POST", head=head, body=self.BODY)
        call = TargetCall(
            1, 0, shared, target("t7"), now_s, now_s + TIMEOUT_S, lambda *_: None
        )
        channels = [PlatformTargetChannel(address) for _ in range(self.CALLS)]
        for channel in channels:
            self.addCleanup(channel.close)
            self.assertTrue(channel.open(TIMEOUT_S))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        waiting = [tasks.spawn(each.exchange, call, now_s) for each in channels]
        tasks.sleep(0.1)
        held_bytes, _ = tracemalloc.get_traced_memory()
        for task in waiting:
            task.stop()
        self.assertLess(held_bytes, self.CALLS * len(self.BODY) / 10)

    def test_a_target_reads_the_whole_request(self) -> None:
        for size in (0, 1, SHARED_MIN_BYTES, len(self.BODY)):
            with self.subTest(size=size):
                peer = WholeRequestPeer(REPLY % (b"r1", b"body"))
                self.addCleanup(peer.close)
                channel = PlatformTargetChannel(peer.address)
                self.addCleanup(channel.close)
                self.assertTrue(channel.open(TIMEOUT_S))
                now_s = clock.monotonic_s()
                head = render_head("POST", "/x", [])
                body = self.BODY[:size]
                sent = replace(request(now_s), method="POST", head=head, body=body)
                call = TargetCall(
                    1, 0, sent, target("t7"), now_s, now_s + TIMEOUT_S, lambda *_: None
                )
                self.assertIsInstance(channel.exchange(call, now_s), Replied)
                self.assertEqual(peer.body, body)


class WholeRequestPeer:
    """Reads one request to its end and replies to it.

    Attributes:
        address: Where it listens.
        body: The body that it has read.
    """

    def __init__(self, reply: bytes) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address(f"127.0.0.1:{self._listener.getsockname()[1]}")
        self.body = b""
        self._reply = reply
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Waits for the end of the reply and stops listening."""
        self._thread.join(TIMEOUT_S)
        self._listener.close()

    def _serve(self) -> None:
        connection, _ = self._listener.accept()
        with connection, connection.makefile("rb") as stream:
            length = 0
            while (line := stream.readline()) != b"\r\n":
                name, _, value = line.partition(b":")
                if name.lower() == b"content-length":
                    length = int(value)
            self.body = stream.read(length)
            connection.sendall(self._reply)


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
