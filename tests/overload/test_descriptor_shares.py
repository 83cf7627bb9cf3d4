"""Tests of `lavendertide.overload.descriptor_shares`."""

import unittest

from lavendertide.overload.caller_connections import RESERVED_FILES
from lavendertide.overload.descriptor_shares import DescriptorShares

FRONT_MAX = 2_000


class DescriptorSharesTest(unittest.TestCase):
    """Guards against bounds that together exceed the host's descriptors."""

    def test_all_shares_together_leave_the_reserved_ones(self) -> None:
        for files in (400, 1_000, 4_100, 10_660):
            shares = DescriptorShares(files, FRONT_MAX)
            for members in (1, 33, 510, 5_000):
                with self.subTest(files=files, members=members):
                    parts = (shares.peers_max(members), shares.targets_max(members))
                    self.assertTrue(all(part > 0 for part in parts))
                    total = shares.callers_max + sum(parts)
                    self.assertLessEqual(total, files - RESERVED_FILES)

    def test_the_smallest_host_keeps_its_callers(self) -> None:
        self.assertEqual(DescriptorShares(4_100, FRONT_MAX).callers_max, FRONT_MAX)

    def test_a_large_fleet_leaves_half_to_targets(self) -> None:
        shares = DescriptorShares(4_100, FRONT_MAX)
        self.assertEqual(shares.targets_max(510), 950)
        self.assertGreater(shares.targets_max(33), 1_700)


if __name__ == "__main__":
    unittest.main()
