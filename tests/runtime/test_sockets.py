"""Tests of `lavendertide.runtime.sockets`."""

import errno
import socket
import threading
import time
import unittest
from typing import cast

from lavendertide.ids import Address
from lavendertide.runtime import clock
from lavendertide.runtime.sockets import (
    ArrivalTrackingReader,
    accept,
    close_listener,
    listen,
)
from tests.virtual_time import VirtualTimeTestCase


class ListenTest(unittest.TestCase):
    """Two processes cannot listen on the same address."""

    def test_an_address_in_use_is_refused(self) -> None:
        first = listen(Address("127.0.0.1:0"))
        self.addCleanup(first.close)
        port = first.getsockname()[1]
        with self.assertRaises(OSError):
            listen(Address(f"127.0.0.1:{port}"))


class FailingListener:
    """A listener whose `accept` raises the given errors, then is closed."""

    def __init__(self, *errors: int) -> None:
        self._errors = [*errors, errno.EINVAL]
        self.accepted = 0

    def accept(self) -> tuple[socket.socket, str]:
        """Returns a connection for zero and raises any other error."""
        error = self._errors.pop(0)
        if error:
            raise OSError(error, "accept failed")
        self.accepted += 1
        return socket.socket(), ""


class AcceptTest(VirtualTimeTestCase):
    """Only closing a listener ends it.

    A process that stopped accepting because it was out of descriptors for a moment
    would look alive and serve nobody.
    """

    def accept_all(self, listener: FailingListener) -> int:
        """Accepts until the listener is closed; returns the number of connections."""
        count = 0
        while (connection := accept(cast(socket.socket, listener))) is not None:
            connection.close()
            count += 1
        return count

    def test_errors_of_single_connections_do_not_end_the_listener(self) -> None:
        listener = FailingListener(0, errno.ECONNABORTED, errno.EMFILE, errno.EMFILE, 0)
        with self.assertLogs("lavendertide.runtime.sockets") as logs:
            self.assertEqual(self.accept_all(listener), 2)
        self.assertEqual(len(logs.records), 3)

    def test_closing_ends_the_listener(self) -> None:
        for error in (errno.EBADF, errno.EINVAL):
            with self.subTest(error=error):
                self.assertEqual(self.accept_all(FailingListener(error, 0)), 0)

    def test_a_listener_that_was_closed_while_it_waits(self) -> None:
        listener = listen(Address("127.0.0.1:0"))
        close_listener(listener)
        self.assertIsNone(accept(listener))


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
