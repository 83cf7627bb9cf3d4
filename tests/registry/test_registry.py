"""Tests of `lavendertide.registry.registry`."""

import unittest

from lavendertide.ids import TargetId
from lavendertide.registry.record import TargetRecord, TargetState
from lavendertide.registry.registry import REREGISTRATION_S, TargetRegistry
from standins.forwarding_records import DESK, target


class TargetRegistryTest(unittest.TestCase):
    """The registry keeps the right targets through outages and restarts."""

    def setUp(self) -> None:
        self.registry = TargetRegistry()
        self.removed: list[TargetRecord] = []
        self.registry.set_removal_listener(self.removed.append)
        self.registry.put(target("a"))
        self.registry.put(target("b"))

    def ready_names(self, now_s: float = 0.0) -> set[str]:
        """Returns the names of the targets that accept requests."""
        return {record.target for record in self.registry.ready_targets(DESK, now_s)}

    def test_a_draining_target_gets_no_new_requests(self) -> None:
        self.registry.put(target("a", state=TargetState.DRAINING))
        self.assertEqual(self.ready_names(), {"b"})

    def test_a_target_is_removed_at_once_without_an_outage(self) -> None:
        self.registry.remove(TargetId("a"), 100.0)
        self.assertEqual(self.ready_names(), {"b"})
        self.assertEqual([record.target for record in self.removed], ["a"])

    def test_a_new_start_under_an_old_name_replaces_the_previous_one(self) -> None:
        self.registry.put(target("a", started_at_ms=2))
        self.assertEqual([record.started_at_ms for record in self.removed], [1])
        self.assertEqual(self.ready_names(), {"a", "b"})

    def test_entries_that_lapsed_in_an_outage_are_kept_until_registered_again(
        self,
    ) -> None:
        self.registry.record_platform_return(10.0)
        self.registry.replace([target("b")], 10.0)
        self.assertEqual(self.ready_names(), {"a", "b"})
        self.registry.put(target("a"))
        self.registry.expire(10.0 + REREGISTRATION_S)
        self.assertEqual(self.ready_names(), {"a", "b"})

    def test_a_target_that_left_after_an_outage_expires_without_another_read(
        self,
    ) -> None:
        self.registry.record_platform_return(10.0)
        self.registry.remove(TargetId("a"), 10.6)
        self.assertEqual(self.ready_names(10.0 + REREGISTRATION_S - 0.1), {"a", "b"})
        self.assertEqual(self.ready_names(10.0 + REREGISTRATION_S), {"b"})

    def test_a_target_that_does_not_register_again_expires(self) -> None:
        self.registry.record_platform_return(10.0)
        self.registry.replace([target("b")], 10.0)
        self.registry.expire(10.0 + REREGISTRATION_S - 0.1)
        self.assertEqual(self.ready_names(), {"a", "b"})
        self.registry.expire(10.0 + REREGISTRATION_S)
        self.assertEqual(self.ready_names(), {"b"})

    def test_targets_read_together_share_a_log_line(self) -> None:
        """Hundreds of targets read at a start would otherwise fill the log."""
        many = [target(f"t{number}") for number in range(100)]
        with self.assertLogs("lavendertide.registry.registry") as logs:
            self.registry.put(*many)
            self.registry.put(*many, target("new"))
        together, alone = logs.records
        self.assertEqual(together.getMessage(), "targets registered")
        self.assertEqual(vars(together)["count"], 100)
        self.assertEqual(alone.getMessage(), "target registered")
        self.assertEqual(vars(alone)["target"], "new")
