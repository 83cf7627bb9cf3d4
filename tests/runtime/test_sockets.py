"""Tests of `lavendertide.runtime.sockets`."""

import socket
import threading
import time
import unittest

from lavendertide.ids import Address
from lavendertide.runtime import clock
from lavendertide.runtime.sockets import ArrivalTrackingReader, listen


class ListenTest(unittest.TestCase):
    """An address belongs to one process."""

    def test_an_address_that_is_taken_is_refused(self) -> None:
        first = listen(Address("127.0.0.1:0"))
        self.addCleanup(first.close)
        port = first.getsockname()[1]
        with self.assertRaises(OSError):
            listen(Address(f"127.0.0.1:{port}"))


class ArrivalTrackingReaderTest(unittest.TestCase):
    """What is read has arrived after the connection was last found empty."""

    def setUp(self) -> None:
        self.sender, receiver = socket.socketpair()
        self.addCleanup(self.sender.close)
        self.addCleanup(receiver.close)
        self.reader = ArrivalTrackingReader(receiver)
        self.addCleanup(self.reader.close)
        self.opened_at_s = self.reader.empty_at_s

    def test_what_has_waited_leaves_the_moment_as_it_was(self) -> None:
        self.sender.sendall(b"waited")
        self.assertEqual(self.reader.read(6), b"waited")
        self.assertEqual(self.reader.empty_at_s, self.opened_at_s)

    def test_what_was_waited_for_has_arrived_later(self) -> None:
        sent_at_s: list[float] = []

        def send_once_awaited() -> None:
            while self.reader.empty_at_s == self.opened_at_s:
                time.sleep(0.001)
            sent_at_s.append(clock.monotonic_s())
            self.sender.sendall(b"fresh")

        sender = threading.Thread(target=send_once_awaited)
        sender.start()
        self.assertEqual(self.reader.read(5), b"fresh")
        sender.join()
        self.assertGreater(self.reader.empty_at_s, self.opened_at_s)
        self.assertLessEqual(self.reader.empty_at_s, sent_at_s[0])

    def test_the_end_is_the_end(self) -> None:
        self.sender.close()
        self.assertEqual(self.reader.read(1), b"")
