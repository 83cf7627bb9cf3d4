"""Tests of `lavendertide.runtime.tasks`."""

from lavendertide.runtime import tasks
from lavendertide.runtime.tasks import RESTART_PAUSE_S, TASK_FAILURES
from tests.virtual_time import VirtualTimeTestCase

TASKS_LOG = "lavendertide.runtime.tasks"


class SupervisedTaskTest(VirtualTimeTestCase):
    """A task that has to run as long as the process survives unexpected exceptions.

    Otherwise one malformed document would end the reading of the platform, or the
    detection of failed members, for good.
    """

    def setUp(self) -> None:
        super().setUp()
        self.runs = 0

    def fail_twice(self) -> None:
        """Fails at the first two runs and ends normally at the third."""
        self.runs += 1
        if self.runs <= 2:
            raise RecursionError("nested too deeply")

    def failures(self) -> float:
        """Returns how many failures of this task were counted."""
        return float(TASK_FAILURES.labels(self.fail_twice.__qualname__)._value.get())

    def test_it_starts_again_after_an_exception_until_it_returns(self) -> None:
        before = self.failures()
        with self.assertLogs(TASKS_LOG) as logs:
            tasks.spawn_supervised(self.fail_twice)
            tasks.sleep(10 * RESTART_PAUSE_S)
        self.assertEqual(self.runs, 3)
        self.assertEqual(len(logs.records), 2)
        self.assertEqual(self.failures() - before, 2)

    def test_it_waits_before_it_starts_again(self) -> None:
        with self.assertLogs(TASKS_LOG):
            tasks.spawn_supervised(self.fail_twice)
            tasks.sleep(0.9 * RESTART_PAUSE_S)
        self.assertEqual(self.runs, 1)

    def test_it_can_be_stopped_between_two_runs(self) -> None:
        with self.assertLogs(TASKS_LOG):
            task = tasks.spawn_supervised(self.fail_twice)
            tasks.sleep(0.5 * RESTART_PAUSE_S)
        task.stop()
        tasks.sleep(10 * RESTART_PAUSE_S)
        self.assertEqual(self.runs, 1)

    def test_other_tasks_run_once_and_their_exception_is_counted(self) -> None:
        before = self.failures()
        with self.assertLogs(TASKS_LOG):
            tasks.spawn(self.fail_twice)
            tasks.sleep(10 * RESTART_PAUSE_S)
        self.assertEqual((self.runs, self.failures() - before), (1, 1))
