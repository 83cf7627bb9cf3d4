"""Process tests of callers that read slowly or send without reading.

They check that the process lives, that what it holds stays under a bound, and that an
ordinary request is answered while such callers stay connected.
"""

import contextlib
import socket
import sys
import tempfile
import time
import unittest
from dataclasses import replace
from pathlib import Path
from typing import Final

from returns.result import Success

from standins.deployment import KOINOPRAXIA, scaled_down
from standins.gateway_process import GatewayProcess, configuration, route, wait_until
from standins.launcher import Launcher
from standins.platform_store import PlainTarget, PlatformStore
from standins.ports import PortBlock
from standins.slow_callers import (
    CallerCrowd,
    Footprint,
    LongAnswerTarget,
    get_request,
    resident_bytes,
    search_request,
    send_without_end,
)
from tests.processes.callers import pinned_client

MEMORY_MB: Final = 160
MAX_FDS: Final = 400
ANSWER_BYTES: Final = 6_000_000
LONGEST_ANSWER_BYTES: Final = 8_388_608
CALLERS: Final = 40
PIPELINED: Final = 50
SILENT_CALLERS: Final = 600
# For each of the listeners for readiness, look-ups and metrics.
SILENT_ENTRY_CALLERS: Final = 250
ENTRY_PORTS: Final = (1, 3, 4)
# Pause after each caller's start and how long the crowd stays after the last one.
PACE_S: Final = 0.05
STAY_S: Final = 5.0
# What a slow caller reads and how often.
TRICKLE_BYTES: Final = 1_024
TRICKLE_INTERVAL_S: Final = 0.2
# A steady reader takes 8 MiB in 8 s.
STEADY_BYTES: Final = 104_858
STEADY_INTERVAL_S: Final = 0.1
INDEX: Final = "voucher-finder"
KEY: Final = "employer"
OTHER_INDEX: Final = "provider-desk"
OTHER_KEY: Final = "provider-clerk"
# Three rows of each of the shards, each shard's reply within its 256 KiB.
SHARDS: Final = 8
DOCUMENT_BYTES: Final = 80_000
SEARCHERS: Final = 100
# A daemon serves 1,024 connections.
SILENT_SEARCHERS: Final = 1_100
ENDLESS_BYTES: Final = 200_000_000
DAEMON_FILES_MAX: Final = 1_200
SETTINGS: Final = f"limits.memory-mb={MEMORY_MB}\nlimits.max-fds={MAX_FDS}\n"


class SlowReadersTest(unittest.TestCase):
    """One gateway with low limits and a crowd that doesn't read its answers.

    Without bounds on what is held for callers, a few of them take the memory or the
    descriptors of the machine, and the process ends.
    """

    def setUp(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        ports = PortBlock()
        self.addCleanup(ports.release)
        store = PlatformStore()
        self.addCleanup(store.close)
        routes = [
            route("lookups", service="desk"),
            route("downloads", service="other"),
            route("exports", service="shard-0"),
        ]
        store.put("op/config", configuration(3, *routes))
        for target in (
            PlainTarget("t1", "desk"),
            LongAnswerTarget("t2", "other", ANSWER_BYTES),
            LongAnswerTarget("t3", "shard-0", LONGEST_ANSWER_BYTES),
        ):
            self.addCleanup(target.close)
            store.put(f"servers/{target.name}", target.entry())
        self.gateway = GatewayProcess(
            "m1", folder, store.address, "", ports, settings=SETTINGS
        )
        self.addCleanup(self.gateway.stop)
        wait_until(self.gateway.is_ready)

    def is_answered(self) -> bool:
        """Returns whether an ordinary request is answered."""
        try:
            return self.gateway.get("/lookups/x").status == 200
        except OSError:
            return False

    def check(
        self, request: bytes, callers: int, pace_s: float, is_trickling: bool = False
    ) -> None:
        """Lets a crowd stay for a while and checks what the gateway holds."""
        port = self.gateway.ports[0]
        pid = self.gateway.process.pid
        with CallerCrowd(port, request, pace_s) as crowd:
            with Footprint(pid, port) as footprint:
                if is_trickling:
                    crowd.read_now_and_then(TRICKLE_BYTES, TRICKLE_INTERVAL_S)
                crowd.join(callers)
                time.sleep(STAY_S)
            report(self, footprint)
            self.assertIsNone(self.gateway.process.poll())
            self.assertLess(footprint.memory_bytes / 1e6, MEMORY_MB)
            self.assertLess(footprint.files, MAX_FDS)
            wait_until(self.is_answered)
        self.assertNotIn("Traceback", self.gateway.log_text)

    def test_callers_that_read_a_few_bytes_now_and_then(self) -> None:
        """Guards against a time limit that starts again with each byte."""
        self.check(get_request("/downloads/x"), CALLERS, PACE_S, is_trickling=True)

    def test_callers_that_never_read(self) -> None:
        """Guards against answers that are held without a bound on their sum."""
        self.check(get_request("/downloads/x"), CALLERS, PACE_S)

    def test_callers_that_send_many_requests_without_reading(self) -> None:
        """Guards against requests and answers that pile up behind an unread answer."""
        requests = get_request("/downloads/x") * PIPELINED
        self.check(requests, CALLERS, PACE_S)

    def test_callers_that_open_connections_and_send_nothing(self) -> None:
        """Guards against connections that take all descriptors."""
        self.check(b"", SILENT_CALLERS, 0.0)

    def test_silent_connections_to_the_entry_listeners(self) -> None:
        """Guards against connections to any listener that take all descriptors."""
        pid = self.gateway.process.pid
        with contextlib.ExitStack() as crowds:
            footprint = crowds.enter_context(Footprint(pid, self.gateway.ports[0]))
            for index in ENTRY_PORTS:
                crowd = CallerCrowd(self.gateway.ports[index], b"", 0.0)
                crowds.enter_context(crowd).join(SILENT_ENTRY_CALLERS)
            time.sleep(1.0)
            report(self, footprint)
            self.assertLess(footprint.files, MAX_FDS)
            wait_until(self.gateway.is_ready)
            wait_until(self.is_answered)
        self.assertNotIn("Traceback", self.gateway.log_text)

    def test_a_steady_reader_gets_the_longest_answer(self) -> None:
        """Guards against bounds that a caller within the published limits meets."""
        with socket.create_connection(("127.0.0.1", self.gateway.ports[0])) as caller:
            caller.settimeout(10.0)
            caller.sendall(get_request("/exports/x"))
            received = bytearray()
            while len(received) < LONGEST_ANSWER_BYTES:
                data = caller.recv(STEADY_BYTES)
                if not data:
                    break
                received += data
                time.sleep(STEADY_INTERVAL_S * len(data) / STEADY_BYTES)
        head, _, body = bytes(received).partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 200 "))
        self.assertGreater(len(body), LONGEST_ANSWER_BYTES - 1_024)


class SlowReadersOfSearchesTest(unittest.TestCase):
    """One daemon and a crowd that doesn't read its search results.

    A result has 1.9 MB, near the most that a query may hold by default (2 MiB).
    """

    def setUp(self) -> None:
        owner = scaled_down(KOINOPRAXIA, SHARDS, 2)
        plans = tuple(
            replace(plan, rate_per_s=10_000.0, burst=10_000, concurrency=10_000)
            for plan in owner.plans
        )
        self.launcher = Launcher((replace(owner, plans=plans),))
        self.addCleanup(self.launcher.stop)
        self.launcher.start()
        for target in self.launcher.placed_targets:
            if target.index.index == INDEX:
                self.launcher.change_target(
                    target.target, document_bytes=DOCUMENT_BYTES
                )

        self.daemon = min(self.launcher.callers)
        self.pid = self.launcher.pid_of(self.daemon)
        self.port = int(self.launcher.callers[self.daemon].rpartition(":")[2])

    def is_answered(self) -> bool:
        """Returns whether an ordinary search is answered."""
        client = pinned_client(self.launcher, OTHER_KEY, self.daemon)
        found = client.search(OTHER_INDEX, "x", 1_000, 10, time.monotonic())
        return isinstance(found, Success)

    def check(
        self, request: bytes, callers: int, pace_s: float, is_trickling: bool = False
    ) -> None:
        """Lets a crowd stay for a while and checks what the daemon holds."""
        with CallerCrowd(self.port, request, pace_s) as crowd:
            with Footprint(self.pid, self.port) as footprint:
                if is_trickling:
                    crowd.read_now_and_then(TRICKLE_BYTES, TRICKLE_INTERVAL_S)
                crowd.join(callers)
                time.sleep(STAY_S)
            report(self, footprint)
            self.assertLess(footprint.memory_bytes / 1e6, MEMORY_MB)
            self.assertLess(footprint.files, DAEMON_FILES_MAX)
            wait_until(self.is_answered)
        # A process that has ended has no resident memory.
        self.assertGreater(resident_bytes(self.pid), 0)

    def search(self) -> bytes:
        """Returns a request for a search with a long result."""
        return search_request(
            KEY,
            {"index": INDEX, "body": "x", "deadline_ms": 2_000, "page_size": 50},
        )

    def test_callers_that_read_a_few_bytes_now_and_then(self) -> None:
        """Guards against a time limit that starts again with each byte."""
        self.check(self.search(), SEARCHERS, PACE_S, is_trickling=True)

    def test_callers_that_never_read(self) -> None:
        """Guards against results that are held without a bound on their sum."""
        self.check(self.search(), SEARCHERS, PACE_S)

    def test_callers_that_send_many_requests_without_reading(self) -> None:
        """Guards against requests and results that pile up behind an unread one."""
        self.check(self.search() * PIPELINED, SEARCHERS, PACE_S)

    def test_callers_that_open_connections_and_send_nothing(self) -> None:
        """Guards against silent connections that leave no room for others."""
        self.check(b"", SILENT_SEARCHERS, 0.0)

    def test_callers_that_send_the_heads_of_requests_byte_by_byte(self) -> None:
        """Guards against heads that never end, whose callers count as busy."""
        head = b"POST /v1/search HTTP/1.1\r\nHost: daemon\r\nX-Long: "
        with CallerCrowd(self.port, head, 0.0) as crowd:
            crowd.send_now_and_then(b"x", 1.0)
            crowd.join(SILENT_SEARCHERS)
            wait_until(self.is_answered)
        self.assertGreater(resident_bytes(self.pid), 0)

    def test_a_caller_that_sends_the_length_of_a_chunk_without_end(self) -> None:
        """Guards against a line that is held until its end."""
        with Footprint(self.pid, self.port) as footprint:
            head = b"POST /v1/search HTTP/1.1\r\nHost: daemon\r\nX-Caller-Key: "
            head += KEY.encode() + b"\r\nTransfer-Encoding: chunked\r\n\r\n1;"
            send_without_end(self.port, head, b"x" * 65_536, ENDLESS_BYTES)
            time.sleep(1.0)
        report(self, footprint)
        self.assertLess(footprint.memory_bytes / 1e6, MEMORY_MB)
        wait_until(self.is_answered)


def report(test: unittest.TestCase, footprint: Footprint) -> None:
    """Prints what a process has held at most, for the record of a run."""
    held_mb = footprint.memory_bytes / 1e6
    print(f"{test.id()}: {held_mb:.0f} MB, {footprint.files} files", file=sys.stderr)


if __name__ == "__main__":
    unittest.main()
