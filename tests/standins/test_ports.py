"""Tests of `standins.ports`."""

import unittest

from standins.ports import BLOCK_SIZE, PortBlock


class PortBlockTest(unittest.TestCase):
    """Guards against two concurrent launchers that use the same port."""

    def setUp(self) -> None:
        self.blocks = [PortBlock() for _ in range(3)]
        for block in self.blocks:
            self.addCleanup(block.release)

    def test_no_port_is_allocated_twice(self) -> None:
        allocated = [port for block in self.blocks for port in block.allocate(50)]
        self.assertEqual(len(set(allocated)), len(allocated))

    def test_an_exhausted_block_raises_an_error(self) -> None:
        with self.assertRaises(OSError):
            self.blocks[0].allocate(BLOCK_SIZE)
