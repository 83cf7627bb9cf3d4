"""Process tests of peers and targets that read slowly or send very much.

They check that the gateway lives, that what it holds stays under a bound, and that an
ordinary request is answered while the crowd stays connected.
"""

import contextlib
import socket
import tempfile
import time
import unittest
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final

from standins.gateway_process import GatewayProcess, configuration, route, wait_until
from standins.platform_store import PlainTarget, PlatformStore, target_entry
from standins.ports import PortBlock
from standins.slow_callers import CallerCrowd, Footprint, LongAnswerTarget, get_request
from standins.slow_peers import (
    SlowPeer,
    frame_of_empty_records,
    send_unproven,
    unfinished_frame,
)
from standins.stalling_target import StallingTarget
from tests.processes.test_slow_readers import report

MEMORY_MB: Final = 160
MAX_FDS: Final = 400
SETTINGS: Final = f"limits.memory-mb={MEMORY_MB}\nlimits.max-fds={MAX_FDS}\n"
KEY: Final = "a key of stand-ins"
PEERS_PORT: Final = 2
# How long a crowd stays after its last member has joined.
STAY_S: Final = 5.0

UNPROVEN_PEERS: Final = 20
# The longest frame holds more of these; each becomes an object.
EMPTY_RECORDS: Final = 2_000_000
SLOW_PEERS: Final = 10
PULLS: Final = 4_000
LISTED_TARGETS: Final = 1_000

LONG_ANSWER_TARGETS: Final = 8
LONGEST_ANSWER_BYTES: Final = 8_388_608
LONG_ANSWER_CALLERS: Final = 40

BODY_BYTES: Final = 262_144
BODY_CALLERS: Final = 200
# What a target reads of a request in each interval.
READ_BYTES: Final = 1_024
READ_INTERVAL_S: Final = 0.2

HOLDING_TARGETS: Final = 24
# Each sends a search of all of these targets.
HOLDING_CALLERS: Final = 100
SILENT_PEERS: Final = 300
SILENT_CALLERS: Final = 200
MUTE_TARGETS: Final = 200
SEARCHING_CALLERS: Final = 20


def post_request(path: str, body: bytes) -> bytes:
    """Returns a request with a body for a path of the stand-ins' host."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: shop.example\r\n"
        "Lavendertide-Request-Id: slow\r\nLavendertide-Deadline-Ms: 60000\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def chunked_request(path: str, chunk: bytes, chunks: int) -> bytes:
    """Returns a request whose body comes in chunks, for the stand-ins' host."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: shop.example\r\n"
        "Lavendertide-Request-Id: slow\r\nLavendertide-Deadline-Ms: 60000\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()
    return head + (b"%x\r\n%b\r\n" % (len(chunk), chunk)) * chunks


class SlowPeersAndTargetsTest(unittest.TestCase):
    """One gateway with low limits and a crowd of peers, targets or callers.

    Without bounds on what each of them may hold, a few take the memory or the
    descriptors of the machine, and the process ends.
    """

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.ports = PortBlock()
        self.addCleanup(self.ports.release)
        self.store = PlatformStore()
        self.addCleanup(self.store.close)
        self.ordinary = PlainTarget("ordinary", "desk")
        self.addCleanup(self.ordinary.close)
        self.store.put("servers/ordinary", self.ordinary.entry())
        self.remote_ports: set[int] = set()

    def start(self, *services: str, searched: Sequence[str] = ()) -> None:
        """Publishes routes to services and starts the gateway.

        Args:
            services: Each gets a route of its own.
            searched: All of them get one route for searches.
        """
        routes = [route("lookups", service="desk")]
        routes += [route(f"to-{name}", service=name) for name in services]
        if searched:
            search: dict[str, Any] = {"top-k": 5, "min-coverage": 0.5}
            routes.append(route("searches", gather=list(searched), **search))
        document = configuration(3, *routes)
        names = {"desk", *services, *searched}
        document["services"] = [{"name": n, "max-conns": 50} for n in sorted(names)]
        self.store.put("op/config", document)
        self.gateway = GatewayProcess(
            "m1", self.folder, self.store.address, "", self.ports, settings=SETTINGS
        )
        self.addCleanup(self.gateway.stop)
        wait_until(self.gateway.is_ready)

    def is_answered(self) -> bool:
        """Returns whether an ordinary request is answered."""
        try:
            return self.gateway.get("/lookups/x").status == 200
        except OSError:
            return False

    def footprint(self) -> Footprint:
        """Returns a sampler of what the gateway and its connections hold."""
        return Footprint(
            self.gateway.process.pid,
            self.gateway.ports[0],
            frozenset({self.gateway.ports[PEERS_PORT]}),
            frozenset(self.remote_ports),
        )

    def check(self, footprint: Footprint) -> None:
        """Checks what the gateway has held, and that it still answers."""
        report(self, footprint)
        self.assertIsNone(self.gateway.process.poll())
        self.assertLess(footprint.memory_bytes / 1e6, MEMORY_MB)
        self.assertLess(footprint.files, MAX_FDS)
        wait_until(self.is_answered)
        self.assertNotIn("Traceback", self.gateway.log_text)

    def crowd(self, request: bytes, pace_s: float = 0.0) -> CallerCrowd:
        """Returns a crowd of callers that is closed after the test."""
        crowd = CallerCrowd(self.gateway.ports[0], request, pace_s)
        return self.enterContext(crowd)

    def stall(self, name: str, service: str) -> None:
        """Registers a target that reads slowly and never replies."""
        target = StallingTarget(name, service, READ_BYTES, READ_INTERVAL_S)
        self.addCleanup(target.close)
        self.remote_ports.add(target.port)
        self.store.put(f"servers/{name}", target.entry())

    def test_large_frames_of_peers_that_prove_no_key(self) -> None:
        """Guards against frames of unknown peers that are held without a bound."""
        self.start()
        with self.footprint() as footprint:
            for _ in range(UNPROVEN_PEERS):
                port = self.gateway.ports[PEERS_PORT]
                peer = send_unproven(port, unfinished_frame())
                self.addCleanup(peer.close)
            time.sleep(STAY_S)
        self.check(footprint)

    def test_a_frame_of_many_records_of_a_peer_that_proves_no_key(self) -> None:
        """Guards against frames that take much more memory once they are decoded."""
        self.start()
        with self.footprint() as footprint:
            port = self.gateway.ports[PEERS_PORT]
            peer = send_unproven(port, frame_of_empty_records(EMPTY_RECORDS))
            self.addCleanup(peer.close)
            time.sleep(STAY_S)
        self.check(footprint)

    def test_peers_that_read_no_replies(self) -> None:
        """Guards against replies to peers that pile up while they don't read."""
        for number in range(LISTED_TARGETS):
            entry = self.ordinary.entry(address=f"127.0.1.1:{1_000 + number}")
            self.store.put(f"servers/t{number}", entry | {"service": "other"})
        self.start("other")
        with self.footprint() as footprint:
            for number in range(SLOW_PEERS):
                peer = SlowPeer(self.gateway.ports[PEERS_PORT], number, KEY)
                self.addCleanup(peer.close)
                peer.pull_registry(PULLS)
            time.sleep(STAY_S)
        self.check(footprint)

    def test_targets_that_send_the_longest_bodies_at_once(self) -> None:
        """Guards against bodies that are held twice, or not counted while joined."""
        for number in range(LONG_ANSWER_TARGETS):
            name = f"long-{number}"
            target = LongAnswerTarget(name, "other", LONGEST_ANSWER_BYTES)
            self.addCleanup(target.close)
            self.remote_ports.add(int(target.address.rpartition(":")[2]))
            self.store.put(f"servers/{name}", target.entry())
        self.start("other")
        with self.footprint() as footprint:
            self.crowd(get_request("/to-other/x")).join(LONG_ANSWER_CALLERS)
            time.sleep(STAY_S)
        self.check(footprint)

    def test_targets_that_read_requests_slowly(self) -> None:
        """Guards against copies of requests that pile up before slow targets."""
        for number in range(LONG_ANSWER_TARGETS):
            self.stall(f"slow-{number}", "other")
        self.start("other")
        request = post_request("/to-other/x", bytes(BODY_BYTES))
        with self.footprint() as footprint:
            self.send_in_full(request, BODY_CALLERS)
            time.sleep(STAY_S)
        self.check(footprint)

    def test_bodies_of_requests_in_small_chunks(self) -> None:
        """Guards against pieces of a body that take many times their length."""
        self.start()
        request = chunked_request("/lookups/x", b"xy", BODY_BYTES // 2 - 1)
        with self.footprint() as footprint:
            self.send_in_full(request, BODY_CALLERS)
            time.sleep(STAY_S)
        self.check(footprint)

    def test_a_crowd_of_callers_peers_and_targets_takes_no_descriptors(self) -> None:
        """Guards against connections to targets and peers outside of the bound."""
        services = [f"holding-{number}" for number in range(HOLDING_TARGETS)]
        for service in services:
            self.stall(service, service)
        self.start(searched=services)
        with self.footprint() as footprint:
            self.crowd(get_request("/searches/x")).join(HOLDING_CALLERS)
            for _ in range(SILENT_PEERS):
                peer = send_unproven(self.gateway.ports[PEERS_PORT], b"")
                self.addCleanup(peer.close)
            self.crowd(b"").join(SILENT_CALLERS)
            time.sleep(STAY_S)
        self.check(footprint)

    def test_connections_to_many_targets_take_no_descriptors(self) -> None:
        """Guards against searches of many targets that open more than the bound."""
        services = [f"mute-{number}" for number in range(MUTE_TARGETS)]
        for service in services:
            # The system accepts the connections, and nothing reads them.
            listener = socket.create_server(("127.0.0.1", 0), backlog=128)
            self.addCleanup(listener.close)
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            self.store.put(f"servers/{service}", target_entry(service, address))
        self.start(searched=services)
        with self.footprint() as footprint:
            self.crowd(get_request("/searches/x")).join(SEARCHING_CALLERS)
            time.sleep(STAY_S)
        self.check(footprint)

    def send_in_full(self, request: bytes, callers: int) -> None:
        """Sends a request on many connections, as far as the gateway takes it."""
        port = self.gateway.ports[0]
        for _ in range(callers):
            with contextlib.suppress(OSError):
                caller = send_unproven(port, request)
                self.addCleanup(caller.close)


if __name__ == "__main__":
    unittest.main()
