"""Tests of `lavendertide.forwarding.merging`."""

import unittest

from lavendertide.forwarding.merging import (
    RECORD_BYTES,
    merge_greatest_records,
    split_records,
)


def record(number: int) -> bytes:
    """Returns a record whose sort order is that of the number."""
    return number.to_bytes(RECORD_BYTES, "big")


class RecordsTest(unittest.TestCase):
    """A part is split into complete records."""

    def test_an_incomplete_record_is_ignored(self) -> None:
        self.assertEqual(
            split_records(record(1) + record(2) + b"rest"), [record(1), record(2)]
        )

    def test_an_empty_part_has_no_records(self) -> None:
        self.assertEqual(split_records(b""), [])


class GreatestRecordsTest(unittest.TestCase):
    """The result holds the greatest records of all parts in descending order."""

    def test_the_greatest_of_all_parts_come_first(self) -> None:
        parts = [record(1) + record(9), record(5), record(7) + record(3)]
        expected = record(9) + record(7) + record(5)
        self.assertEqual(merge_greatest_records(parts, 3), expected)

    def test_equal_records_are_all_kept(self) -> None:
        parts = [record(4) + record(4), record(4)]
        self.assertEqual(merge_greatest_records(parts, 5), record(4) * 3)

    def test_fewer_records_than_the_maximum_are_all_returned(self) -> None:
        self.assertEqual(merge_greatest_records([record(2)], 10), record(2))
