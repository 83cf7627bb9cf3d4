"""Tests of `lavendertide.runtime.sockets`."""

import unittest

from lavendertide.ids import Address
from lavendertide.runtime.sockets import listen


class ListenTest(unittest.TestCase):
    """An address belongs to one process."""

    def test_an_address_that_is_taken_is_refused(self) -> None:
        first = listen(Address("127.0.0.1:0"))
        self.addCleanup(first.close)
        port = first.getsockname()[1]
        with self.assertRaises(OSError):
            listen(Address(f"127.0.0.1:{port}"))
