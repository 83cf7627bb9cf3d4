"""Tests of `standins.ports`."""

import unittest

from standins.ports import BLOCK_SIZE, PortBlock


class PortBlockTest(unittest.TestCase):
    """Guards against two concurrent launchers that use the same port."""

    def setUp(self) -> None:
        self.blocks = [PortBlock() for _ in range(3)]
        for block in self.blocks:
            self.addCleanup(block.release)

    def test_no_port_is_given_out_twice(self) -> None:
        taken = [port for block in self.blocks for port in block.allocate(50)]
        self.assertEqual(len(set(taken)), len(taken))

    def test_a_block_that_is_used_up_says_so(self) -> None:
        with self.assertRaises(OSError):
            self.blocks[0].allocate(BLOCK_SIZE)
