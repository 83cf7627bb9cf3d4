"""Tests of `lavendertide.restoration.restorations` and `position`."""

import unittest

from lavendertide.ids import StoreEra
from lavendertide.restoration.position import NUMBER_MAX, UNNAMED_ERA, check_number
from lavendertide.restoration.restorations import Continuity, Restorations
from standins.forwarding_records import at


class RestorationsTest(unittest.TestCase):
    """The era of an answer tells whether it continues what was read before."""

    def setUp(self) -> None:
        self.restorations = Restorations()

    def record(self, *eras: int) -> list[Continuity]:
        """Returns what each of some answers means."""
        return [self.restorations.record(StoreEra(era)) for era in eras]

    def test_the_first_era_is_no_restoration(self) -> None:
        self.assertEqual(self.record(7, 7), [Continuity.CONTINUED] * 2)
        self.assertEqual(self.restorations.count, 0)

    def test_each_later_era_is_one(self) -> None:
        with self.assertLogs("lavendertide.restoration", "WARNING") as logs:
            self.assertEqual(self.record(1, 2, 4)[1:], [Continuity.RESTORED] * 2)
        self.assertEqual(self.restorations.count, len(logs.records))

    def test_an_earlier_era_says_nothing(self) -> None:
        self.assertEqual(self.record(5, 4, UNNAMED_ERA)[1:], [Continuity.OUTDATED] * 2)
        self.assertEqual(self.restorations.era, 5)

    def test_a_store_that_begins_to_name_its_era_is_read_anew(self) -> None:
        """Guards against a count of restorations that only shows an upgrade."""
        self.assertEqual(self.record(UNNAMED_ERA, 3)[1], Continuity.RESTORED)
        self.assertEqual(self.restorations.count, 0)


class PositionTest(unittest.TestCase):
    """Positions are ordered by era first."""

    def test_a_later_era_comes_after_greater_revisions(self) -> None:
        drawn = [at(95, 2), at(9, 0), at(2, 2), at(100, 1), at(1, 1)]
        ordered = [at(9, 0), at(1, 1), at(100, 1), at(2, 2), at(95, 2)]
        self.assertEqual(sorted(drawn), ordered)

    def test_numbers_out_of_range_are_refused(self) -> None:
        for number in (0, NUMBER_MAX):
            self.assertEqual(check_number(number, "era"), number)
        for odd in (-1, NUMBER_MAX + 1, True, 1.0, "1", None):
            with self.subTest(odd=odd), self.assertRaises(ValueError):
                check_number(odd, "era")
