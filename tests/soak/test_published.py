"""Tests of `soak.published`."""

import threading
import unittest

from soak.faults import StoreRestored, TargetReplaced
from soak.published import PublishedEntries
from standins.platform_store import Absence, PlatformStore

FAULT = StoreRestored(
    Absence.REFUSING,
    lost_writes=2,
    copy_age_s=0.1,
    away_s=0.1,
    rewritten_after_s=0.1,
    change=TargetReplaced(0),
)


class PublishedEntriesTest(unittest.TestCase):
    """What the store loses is written again, as it was written last."""

    def setUp(self) -> None:
        self.store = PlatformStore()
        self.addCleanup(self.store.close)
        self.published = PublishedEntries(self.store)
        for key in ("changed", "removed"):
            self.published.write(key, "before")

    def write(self) -> None:
        """Changes both keys and adds one."""
        self.published.write("changed", "after")
        self.published.write("added", "after")
        self.published.remove("removed")

    def test_it_is_in_the_store_at_the_end(self) -> None:
        for delay_s in (0.05, 0.15, 0.25):
            with self.subTest(delay_s=delay_s):
                self.setUp()
                before = {"changed", "removed"}
                self.assertEqual(set(self.store.copy().items), before)
                timer = threading.Timer(delay_s, self.write)
                timer.start()
                period = self.published.restore(FAULT, lambda: None)
                timer.join()
                self.assertEqual(set(self.store.copy().items), {"added", "changed"})
                away_s = period.until_s - period.from_s
                self.assertGreater(away_s, FAULT.away_s + FAULT.rewritten_after_s)

    def test_the_change_gets_a_revision_that_was_lost(self) -> None:
        revisions: list[int] = []
        before = self.store.revision

        def change() -> None:
            revisions.append(self.store.revision)
            self.published.write("added", "after")

        self.published.restore(FAULT, change)
        self.assertEqual(revisions, [before])
        self.assertEqual(self.store.reads, 0)

    def test_a_write_waits_until_the_store_is_back(self) -> None:
        self.store.go_away(Absence.STOPPED)
        threading.Timer(0.2, self.store.come_back).start()
        self.published.write("added", "after")
        self.assertIn("added", self.store.copy().items)
