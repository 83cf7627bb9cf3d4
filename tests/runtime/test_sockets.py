"""Tests of `lavendertide.runtime.sockets`."""

import socket
import threading
import time
import unittest

from lavendertide.ids import Address
from lavendertide.runtime import clock
from lavendertide.runtime.sockets import ArrivalTrackingReader, listen


class ListenTest(unittest.TestCase):
    """Two processes cannot listen on the same address."""

    def test_an_address_in_use_is_refused(self) -> None:
        first = listen(Address("127.0.0.1:0"))
        self.addCleanup(first.close)
        port = first.getsockname()[1]
        with self.assertRaises(OSError):
            listen(Address(f"127.0.0.1:{port}"))


class ArrivalTrackingReaderTest(unittest.TestCase):
    """Data that is read arrived after the receive buffer was last empty."""

    def setUp(self) -> None:
        self.sender, receiver = socket.socketpair()
        self.addCleanup(self.sender.close)
        self.addCleanup(receiver.close)
        self.reader = ArrivalTrackingReader(receiver)
        self.addCleanup(self.reader.close)
        self.opened_at_s = self.reader.empty_at_s

    def test_reading_waiting_data_keeps_the_time(self) -> None:
        self.sender.sendall(b"waited")
        self.assertEqual(self.reader.read(6), b"waited")
        self.assertEqual(self.reader.empty_at_s, self.opened_at_s)

    def test_waiting_for_data_updates_the_time(self) -> None:
        sent_at_s: list[float] = []

        def send_after_read_waits() -> None:
            while self.reader.empty_at_s == self.opened_at_s:
                time.sleep(0.001)
            sent_at_s.append(clock.monotonic_s())
            self.sender.sendall(b"fresh")

        sender = threading.Thread(target=send_after_read_waits)
        sender.start()
        self.assertEqual(self.reader.read(5), b"fresh")
        sender.join()
        self.assertGreater(self.reader.empty_at_s, self.opened_at_s)
        self.assertLessEqual(self.reader.empty_at_s, sent_at_s[0])

    def test_a_closed_connection_reads_as_empty(self) -> None:
        self.sender.close()
        self.assertEqual(self.reader.read(1), b"")
