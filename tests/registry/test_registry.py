"""Tests of `lavendertide.registry.registry`."""

import unittest

from lavendertide.ids import TargetId
from lavendertide.registry.record import TargetRecord, TargetState
from lavendertide.registry.registry import REAPPEAR_S, TargetRegistry
from standins.forwarding_records import DESK, target


class TargetRegistryTest(unittest.TestCase):
    """The registered targets, through outages and restarts."""

    def setUp(self) -> None:
        self.registry = TargetRegistry()
        self.gone: list[TargetRecord] = []
        self.registry.set_removal_listener(self.gone.append)
        self.registry.put(target("a"))
        self.registry.put(target("b"))

    def ready(self, now_s: float = 0.0) -> set[str]:
        """Returns the names of the targets that take requests."""
        return {record.target for record in self.registry.ready_targets(DESK, now_s)}

    def test_a_draining_target_takes_nothing_new(self) -> None:
        self.registry.put(target("a", state=TargetState.DRAINING))
        self.assertEqual(self.ready(), {"b"})

    def test_a_removed_target_is_gone_at_once_in_calm_times(self) -> None:
        self.registry.remove(TargetId("a"), 100.0)
        self.assertEqual(self.ready(), {"b"})
        self.assertEqual([record.target for record in self.gone], ["a"])

    def test_a_new_start_under_an_old_name_replaces_the_former(self) -> None:
        self.registry.put(target("a", started_at_ms=2))
        self.assertEqual([record.started_at_ms for record in self.gone], [1])
        self.assertEqual(self.ready(), {"a", "b"})

    def test_entries_that_lapsed_in_an_outage_are_kept_until_they_are_back(
        self,
    ) -> None:
        self.registry.note_return(10.0)
        self.registry.replace([target("b")], 10.0)
        self.assertEqual(self.ready(), {"a", "b"})
        self.registry.put(target("a"))
        self.registry.expire(10.0 + REAPPEAR_S)
        self.assertEqual(self.ready(), {"a", "b"})

    def test_one_that_left_after_the_return_is_gone_without_another_read(self) -> None:
        self.registry.note_return(10.0)
        self.registry.remove(TargetId("a"), 10.6)
        self.assertEqual(self.ready(10.0 + REAPPEAR_S - 0.1), {"a", "b"})
        self.assertEqual(self.ready(10.0 + REAPPEAR_S), {"b"})

    def test_one_that_does_not_come_back_is_gone(self) -> None:
        self.registry.note_return(10.0)
        self.registry.replace([target("b")], 10.0)
        self.registry.expire(10.0 + REAPPEAR_S - 0.1)
        self.assertEqual(self.ready(), {"a", "b"})
        self.registry.expire(10.0 + REAPPEAR_S)
        self.assertEqual(self.ready(), {"b"})

    def test_targets_that_come_together_share_a_line_of_the_log(self) -> None:
        """The pattern: hundreds of targets are learned at the start."""
        many = [target(f"t{number}") for number in range(100)]
        with self.assertLogs("lavendertide.registry.registry") as logs:
            self.registry.put(*many)
            self.registry.put(*many, target("new"))
        together, alone = logs.records
        self.assertEqual(together.getMessage(), "targets registered")
        self.assertEqual(vars(together)["count"], 100)
        self.assertEqual(alone.getMessage(), "target registered")
        self.assertEqual(vars(alone)["target"], "new")
