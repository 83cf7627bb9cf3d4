"""Tests of waits whose time limit passes while their process is busy."""

import socket
import time
import unittest
from collections.abc import Callable
from typing import Final, TypeVar

from lavendertide.encodings.http_client_connection import ClientConnection
from lavendertide.encodings.http_messages import HttpResponse, render_body, render_head
from lavendertide.ids import Address
from lavendertide.runtime import clock, tasks, transfers
from tests.runtime.loop_thread import LoopThread

T = TypeVar("T")

LIMIT_S: Final = 0.4
BUSY_AFTER_S: Final = 0.15
BUSY_S: Final = 0.8
ARRIVES_AFTER_S: Final = 0.1
RESPONSE: Final = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
# More than both systems' buffers of a connection hold.
LONG: Final = b"x" * 8_388_608


class BusyLoopTest(unittest.TestCase):
    """What has arrived is found, although the limit has passed meanwhile.

    Guards against replies of targets and peers that are taken for lost, and callers
    that are taken for slow, after the process itself was busy.
    """

    def setUp(self) -> None:
        self.loop = self.enterContext(LoopThread())
        self.waiting, self.other = socket.socketpair()
        self.addCleanup(self.waiting.close)
        self.addCleanup(self.other.close)

    def run_beside_stall(self, wait: Callable[[], T], act: Callable[[], object]) -> T:
        """Runs a wait during which the loop is busy beyond the limit.

        Args:
            wait: The wait.
            act: What the other side does before the limit has passed.
        """
        result = self.loop.start(wait)
        time.sleep(BUSY_AFTER_S)
        self.loop.stall(BUSY_S)
        time.sleep(ARRIVES_AFTER_S)
        act()
        return result.result(20.0)

    def limit_s(self) -> float:
        """Returns the limit of a wait that begins now."""
        return clock.monotonic_s() + LIMIT_S

    def test_data_that_has_arrived_is_received(self) -> None:
        received = self.run_beside_stall(
            lambda: transfers.receive(self.waiting, 10, self.limit_s()),
            lambda: self.other.send(b"x"),
        )
        self.assertEqual(received, b"x")

    def test_data_that_has_arrived_is_noticed(self) -> None:
        has_data = self.run_beside_stall(
            lambda: transfers.wait_for_data(self.waiting, LIMIT_S),
            lambda: self.other.send(b"x"),
        )
        self.assertTrue(has_data)

    def test_an_end_of_the_connection_is_noticed(self) -> None:
        has_data = self.run_beside_stall(
            lambda: transfers.wait_for_data(self.waiting, LIMIT_S), self.other.close
        )
        self.assertTrue(has_data)

    def test_room_for_more_data_is_used(self) -> None:
        """What the other side reads within the limit extends it."""
        self.other.settimeout(10.0)
        limit_s = self.limit_s()
        seen: list[int] = []

        def ends_at_s(accepted: int) -> float:
            seen.append(accepted)
            return limit_s if accepted == seen[0] else limit_s + 10.0

        received = 0
        sent = self.loop.start(
            lambda: transfers.send_pieces(self.waiting, LONG, ends_at_s)
        )
        time.sleep(BUSY_AFTER_S)
        self.loop.stall(BUSY_S)
        time.sleep(ARRIVES_AFTER_S)
        while received < len(LONG):
            received += len(self.other.recv(1_048_576))
        self.assertEqual(sent.result(10.0), len(LONG))

    def test_nothing_arrives(self) -> None:
        with self.assertRaises(TimeoutError):
            self.run_beside_stall(
                lambda: transfers.receive(self.waiting, 10, self.limit_s()),
                lambda: None,
            )

    def test_an_item_that_a_connection_brings_is_received(self) -> None:
        inbox: tasks.Mailbox[bytes] = tasks.Mailbox()

        def forward() -> None:
            inbox.send(transfers.receive(self.waiting, 10, clock.monotonic_s() + 10.0))

        self.loop.start(forward)
        received = self.run_beside_stall(
            lambda: inbox.receive(LIMIT_S), lambda: self.other.send(b"x")
        )
        self.assertEqual(received, b"x")

    def test_a_signal_that_a_connection_brings_is_noticed(self) -> None:
        signal = tasks.Signal()

        def forward() -> None:
            transfers.receive(self.waiting, 10, clock.monotonic_s() + 10.0)
            signal.set()

        self.loop.start(forward)
        is_set = self.run_beside_stall(
            lambda: signal.wait(LIMIT_S), lambda: self.other.send(b"x")
        )
        self.assertTrue(is_set)

    def test_a_response_of_a_target_is_read(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        port = listener.getsockname()[1]

        def exchange() -> HttpResponse:
            connection = ClientConnection(Address(f"127.0.0.1:{port}"))
            connection.open(LIMIT_S)
            head = render_head("GET", "/", ()) + render_body("GET", b"")
            return connection.exchange("GET", [head], LIMIT_S)

        def respond() -> None:
            accepted, _ = listener.accept()
            self.addCleanup(accepted.close)
            accepted.recv(1_000)
            accepted.sendall(RESPONSE)

        self.assertEqual(self.run_beside_stall(exchange, respond).body, b"ok")
