"""Tests of what callers get when targets reply with an invalid status line.

The front, the decisions and the channels to the targets are those of the gateway, on
connections of this machine.
"""

import http.client
import itertools
import time
import unittest
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Final

from lavendertide.forwarding.messages import TargetReply
from lavendertide.forwarding.target_call import TargetCall, TargetChannel
from lavendertide.ids import Address
from lavendertide.platform.target_channel import PlatformTargetChannel
from lavendertide.routes.route import RequestKind, Route
from standins.forwarding_records import route, shards, target
from standins.gateway_process import wait_until
from tests.encodings.fixed_peer import Peer
from tests.forwarding.scripted_targets import ScriptedForwarder, crashes
from tests.gateway.front_thread import FrontThread

TIMEOUT_S: Final = 10.0
# A reply that is recognized at once leaves nearly all of the time limit.
WAIT_MAX_S: Final = 5.0
AT_ONCE_S: Final = 2.0
# Time limit of a request that may be repeated, but only by a target that isn't there.
HOPELESS_WAIT_S: Final = 0.3
INVALID: Final = (
    b"HTTP/1.1 000 Any",
    b"HTTP/1.1 001 Any",
    b"HTTP/1.1 099 Any",
    b"HTTP/1.1 600 Any",
    b"HTTP/1.1 999 Any",
    b"HTTP/1.1 101 Any",
    b"HTTP/0.9 200 OK",
    b"HTTP/2.0 200 OK",
    b"RTSP/1.0 200 OK",
)
RECORD_BYTES: Final = 16
ODD: Final = b"odd".ljust(RECORD_BYTES, b"x")
SOUND: Final = b"sound".ljust(RECORD_BYTES, b"y")


class Framing(Enum):
    """How a reply says where it ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    # It ends with its connection.
    NONE = "none"

    def frame(self, body: bytes) -> bytes:
        """Returns the rest of a reply from its last headers on."""
        size = len(body)
        match self:
            case Framing.LENGTH:
                return b"Content-Length: %d\r\n\r\n%b" % (size, body)
            case Framing.CHUNKS:
                chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (size, body)
                return b"Transfer-Encoding: chunked\r\n\r\n" + chunk
            case Framing.NONE:
                return b"\r\n" + body


@dataclass(frozen=True)
class SentReply:
    """A target's reply."""

    line: bytes
    stamp: bytes
    framing: Framing
    body: bytes

    def start_peer(self) -> Peer:
        """Starts a target that sends the reply on one connection.

        It keeps the connection open if the reply says where it ends.
        """
        head = b"%b\r\nLavendertide-Server-Stamp: %b\r\n" % (self.line, self.stamp)
        sent = head + self.framing.frame(self.body)
        return Peer([sent] if self.framing is Framing.NONE else [sent, b""])


SOUND_REPLY: Final = SentReply(b"HTTP/1.1 200 OK", b"sound", Framing.LENGTH, SOUND)
ODD_REPLIES: Final = [
    SentReply(line, b"odd", framing, ODD) for line in INVALID for framing in Framing
]


class RecordingChannel(PlatformTargetChannel):
    """A connection to a target that is recorded when it is asked."""

    def __init__(self, address: Address, scripted: "SocketForwarder") -> None:
        super().__init__(address)
        self._scripted = scripted

    def exchange(self, call: TargetCall, now_s: float) -> TargetReply:
        """Records the target and sends the request."""
        self._scripted.called_targets.append(call.record.target)
        self._scripted.running += 1
        try:
            return super().exchange(call, now_s)
        finally:
            self._scripted.running -= 1


class SocketForwarder(ScriptedForwarder):
    """A forwarder whose targets are reached by sockets.

    Attributes:
        peers: The targets' ends of the connections that were opened.
        running: Number of exchanges that have not ended.
    """

    def __init__(self, destination_route: Route) -> None:
        super().__init__(destination_route)
        self.peers: list[Peer] = []
        self.running = 0
        self._replies: dict[Address, Iterator[SentReply]] = {}

    def listen(self, service: str, replies: Iterator[SentReply], *names: str) -> None:
        """Adds targets of a service; each connection to any gets the next reply."""
        for name in names:
            self.add(name, service, crashes)
            self._replies[target(name, service).address] = replies

    def _make_channel(self, address: Address) -> TargetChannel:  # type: ignore[override]
        peer = next(self._replies[address]).start_peer()
        self.peers.append(peer)
        return RecordingChannel(peer.address, self)


class InvalidReplyTestCase(unittest.TestCase):
    """Sends a request for each invalid status line and each framing."""

    def ask(self, scripted: SocketForwarder) -> http.client.HTTPResponse:
        """Sends one request; returns the response, whose body is kept in `body`.

        It is checked that nothing of an invalid reply is in it.
        """
        with FrontThread(scripted) as front:
            caller = http.client.HTTPConnection(
                "127.0.0.1", front.port, timeout=TIMEOUT_S
            )
            headers = {"Host": "shop.example", "Lavendertide-Request-Id": "r1"}
            began_s = time.monotonic()
            try:
                caller.request("GET", "/x", headers=headers)
                response = caller.getresponse()
                self.body = response.read()
            finally:
                caller.close()
            # The loop would leave their tasks in memory.
            wait_until(lambda: scripted.running == 0)
        for peer in scripted.peers:
            peer.stop_listening()
        self.assertLess(time.monotonic() - began_s, AT_ONCE_S)
        self.assertNotIn(b"odd", self.body)
        self.assertNotIn("odd", str(response.getheaders()))
        return response


class OnlyTargetTest(InvalidReplyTestCase):
    """Guards against an invalid reply that is passed on, since no other target can."""

    def test_a_request_that_may_be_repeated_fails(self) -> None:
        for odd in ODD_REPLIES:
            with self.subTest(odd):
                scripted = SocketForwarder(route(wait_max_s=HOPELESS_WAIT_S))
                scripted.listen("desk", itertools.repeat(odd), "a")
                self.assertIn(self.ask(scripted).status, (502, 503, 504))

    def test_a_request_that_may_run_only_once_fails(self) -> None:
        """A second target, which would reply, isn't asked."""
        for odd in ODD_REPLIES:
            with self.subTest(odd):
                found = route(kind=RequestKind.NON_IDEMPOTENT, wait_max_s=WAIT_MAX_S)
                scripted = SocketForwarder(found)
                scripted.listen("desk", iter((odd, SOUND_REPLY)), "a", "b")
                self.assertEqual(self.ask(scripted).status, 502)
                self.assertEqual(len(scripted.called_targets), 1)


class SecondTargetTest(InvalidReplyTestCase):
    """Guards against an invalid reply that hides another target's valid one."""

    def test_the_valid_reply_is_passed_on(self) -> None:
        for odd in ODD_REPLIES:
            with self.subTest(odd):
                scripted = SocketForwarder(route(wait_max_s=WAIT_MAX_S))
                scripted.listen("desk", iter((odd, SOUND_REPLY)), "a", "b")
                response = self.ask(scripted)
                self.assertEqual((response.status, self.body), (200, SOUND))
                stamp = response.getheader("Lavendertide-Server-Stamp")
                self.assertEqual(stamp, "sound")
                self.assertCountEqual(scripted.called_targets, ["a", "b"])


class PartOfSearchTest(InvalidReplyTestCase):
    """Guards against an invalid reply that counts as a part of a search."""

    def test_the_part_is_missing_and_counted_as_such(self) -> None:
        for odd in ODD_REPLIES:
            with self.subTest(odd):
                found = route(shards(2, 0.5), wait_max_s=WAIT_MAX_S, attempts_max=1)
                scripted = SocketForwarder(found)
                scripted.listen("shard-0", itertools.repeat(odd), "a")
                scripted.listen("shard-1", iter((SOUND_REPLY,)), "b")
                response = self.ask(scripted)
                self.assertEqual((response.status, self.body), (200, SOUND))
                stamps = response.getheader("Lavendertide-Part-Stamps")
                missing = response.getheader("Lavendertide-Missing-Parts")
                self.assertEqual((stamps, missing), ("sound", "1"))

    def test_the_part_of_another_target_takes_its_place(self) -> None:
        for odd in ODD_REPLIES:
            with self.subTest(odd):
                found = route(shards(1, 1.0), wait_max_s=WAIT_MAX_S)
                scripted = SocketForwarder(found)
                scripted.listen("shard-0", iter((odd, SOUND_REPLY)), "a", "b")
                response = self.ask(scripted)
                self.assertEqual((response.status, self.body), (200, SOUND))
                stamps = response.getheader("Lavendertide-Part-Stamps")
                self.assertEqual(stamps, "sound")
