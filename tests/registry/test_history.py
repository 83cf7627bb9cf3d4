"""Tests of `lavendertide.registry.history`."""

import unittest

from lavendertide.ids import TargetId
from lavendertide.registry.history import (
    CHANGES_MAX,
    NoChanges,
    RegistryChanges,
    RegistryHistory,
)
from standins.forwarding_records import at, target


class RegistryHistoryTest(unittest.TestCase):
    """A follower gets the last change of each target, or has to read everything."""

    def setUp(self) -> None:
        self.history = RegistryHistory()
        self.history.reset(at(10))
        self.history.append([(TargetId("a"), target("a"))], at(12))
        self.history.append(
            [(TargetId("a"), None), (TargetId("b"), target("b"))], at(15)
        )

    def test_only_the_last_change_of_each_target_is_returned(self) -> None:
        changes = self.history.changes_since(at(10))
        assert isinstance(changes, RegistryChanges)
        self.assertEqual(changes.records, (target("b"),))
        self.assertEqual(changes.withdrawn, ("a",))
        self.assertEqual(changes.position, at(15))

    def test_a_current_follower_gets_no_changes(self) -> None:
        changes = self.history.changes_since(at(15))
        assert isinstance(changes, RegistryChanges)
        self.assertEqual((changes.records, changes.withdrawn), ((), ()))

    def test_a_follower_that_is_ahead_keeps_its_revision(self) -> None:
        changes = self.history.changes_since(at(20))
        assert isinstance(changes, RegistryChanges)
        self.assertEqual(changes.position, at(20))

    def test_a_follower_too_far_behind_needs_everything(self) -> None:
        discarded = self.history.changes_since(at(9))
        self.assertIs(discarded, NoChanges.DISCARDED)
        many = [(TargetId("x"), target("x"))] * (CHANGES_MAX + 1)
        self.history.append(list(many), at(99))
        discarded = self.history.changes_since(at(10))
        self.assertIs(discarded, NoChanges.DISCARDED)

    def test_eras_have_no_changes_between_them(self) -> None:
        for revision in (1, 15, 99):
            with self.subTest(revision=revision):
                earlier = self.history.changes_since(at(revision, 0))
                self.assertIs(earlier, NoChanges.FOLLOWER_OUTDATED)
                later = self.history.changes_since(at(revision, 2))
                self.assertIs(later, NoChanges.SOURCE_OUTDATED)
