"""Tests of `lavendertide.forwarding.reply_recorder`: what is known belongs to one run.

The load: targets that hang, restart or leave while calls to them are open, so that the
calls end after the registry has the new run, or no run.
"""

from dataclasses import replace

from lavendertide.ids import TargetId
from lavendertide.routes.route import RequestKind
from lavendertide.runtime import clock, tasks
from standins.forwarding_records import route, target
from tests.forwarding.scripted_targets import ScriptedForwarder, closes_after
from tests.virtual_time import VirtualTimeTestCase


class TargetRunsTest(VirtualTimeTestCase):
    """Calls to an earlier run show nothing of the present one."""

    def setUp(self) -> None:
        super().setUp()
        # Requests that aren't repeated, so that the new run gets none.
        orders = route(kind=RequestKind.NON_IDEMPOTENT, wait_max_s=0.4)
        self.scripted = ScriptedForwarder(orders)
        self.scripted.add("a", "desk", closes_after(0.2))
        for number in range(2):
            tasks.spawn(self.scripted.forward, None, f"r{number}")
        tasks.sleep(0.1)

    def test_failures_of_the_last_run_do_not_count_against_a_new_one(self) -> None:
        """A target that had crashed and was up again was avoided as down."""
        self.scripted.registry.put(replace(target("a"), started_at_ms=2))
        tasks.sleep(0.5)
        view = self.scripted.views.view_of(TargetId("a"))
        self.assertEqual(view.failures, 0)
        self.assertEqual(view.current_failure_rate(clock.monotonic_s()), 0.0)

    def test_calls_to_a_target_that_has_left_leave_no_view(self) -> None:
        """Each target that left with open calls kept its view for ever."""
        self.scripted.registry.remove(TargetId("a"), clock.monotonic_s())
        tasks.sleep(5.0)
        self.scripted.registry.expire(clock.monotonic_s())
        self.assertIsNone(self.scripted.views.find(TargetId("a")))
