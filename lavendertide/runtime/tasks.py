"""Tasks, mailboxes and signals on top of `eventlet`.

A task is sequential code that waits wherever it has to. A waiting task uses no
processor time.
"""

import contextlib
import logging
from collections.abc import Callable, Iterator
from typing import Any, Final, Generic, TypeVar

import eventlet
from eventlet import event, greenthread, queue
from prometheus_client import Counter

T = TypeVar("T")

TASK_FAILURES: Final = Counter(
    "lavendertide_task_failures",
    "Tasks that an unexpected exception has ended, by their function.",
    ("task",),
)

_log = logging.getLogger(__name__)


class Task:
    """A running task that can be stopped."""

    def __init__(self, thread: greenthread.GreenThread) -> None:
        self._thread = thread

    def stop(self) -> None:
        """Ends the task at its next wait."""
        self._thread.kill()


# Pause before a supervised task starts again, so that a lasting fault costs little.
RESTART_PAUSE_S: Final = 0.5


def spawn(function: Callable[..., Any], *arguments: Any) -> Task:
    """Starts a task; an exception that it does not handle is logged."""
    return Task(eventlet.spawn(_guarded, function, arguments))


def spawn_supervised(function: Callable[..., Any], *arguments: Any) -> Task:
    """Starts a task that has to run as long as the process.

    If an exception ends it, the exception is logged and the task starts again. It isn't
    started again once the function has returned.
    """
    return Task(eventlet.spawn(_supervised, function, arguments))


def _supervised(function: Callable[..., Any], arguments: tuple[Any, ...]) -> None:
    while not _guarded(function, arguments):
        sleep(RESTART_PAUSE_S)


def _guarded(function: Callable[..., Any], arguments: tuple[Any, ...]) -> bool:
    """Calls a function; returns whether it has ended without an exception."""
    try:
        function(*arguments)
    except Exception:
        name = getattr(function, "__qualname__", type(function).__name__)
        TASK_FAILURES.labels(name).inc()
        _log.exception("task failed", extra={"task": name})
        return False
    return True


def sleep(duration_s: float) -> None:
    """Suspends this task for a duration, while other tasks run."""
    eventlet.sleep(duration_s)


@contextlib.contextmanager
def time_limit(duration_s: float) -> Iterator[None]:
    """Ends the waits of this task within the block after a duration.

    Raises:
        TimeoutError: The time has passed.
    """
    with eventlet.Timeout(duration_s, TimeoutError("time limit exceeded")):
        yield


class Mailbox(Generic[T]):
    """A queue between tasks; sending never waits.

    Args:
        capacity: Maximum number of items; unbounded if none.
    """

    def __init__(self, capacity: int | None = None) -> None:
        self._items: queue.LightQueue = queue.LightQueue(capacity)

    def __len__(self) -> int:
        return int(self._items.qsize())

    def send(self, item: T) -> bool:
        """Adds an item; drops it and returns false if the mailbox is full."""
        try:
            self._items.put_nowait(item)
        except queue.Full:
            return False
        return True

    def receive(self, timeout_s: float | None = None) -> T | None:
        """Waits for an item; returns none after the timeout.

        A process that was busy handles its timers before its connections. So after the
        timeout the tasks whose connections have data run first, as they may send items.
        """
        try:
            item: T = self._items.get(timeout=timeout_s)
        except queue.Empty:
            sleep(0.0)
            return None if self._items.empty() else self._items.get_nowait()
        return item

    def receive_ready(self, first: T, items_max: int) -> list[T]:
        """Returns `first` and the items that are ready, `items_max` in all at most."""
        items = [first]
        while len(items) < items_max and not self._items.empty():
            items.append(self._items.get_nowait())
        return items

    def take_all(self) -> list[T]:
        """Removes and returns the items that are ready."""
        items: list[T] = []
        while not self._items.empty():
            items.append(self._items.get_nowait())
        return items


class Signal:
    """A flag that is set once and that tasks can wait for."""

    def __init__(self) -> None:
        self._event = event.Event()

    @property
    def is_set(self) -> bool:
        """Whether the flag is set."""
        return bool(self._event.ready())

    def set(self) -> None:
        """Sets the flag and wakes the waiting tasks."""
        if not self._event.ready():
            self._event.send(None)

    def wait(self, timeout_s: float | None = None) -> bool:
        """Waits until the flag is set; returns false after the timeout.

        As in `Mailbox.receive`, the tasks whose connections have data run before that.
        """
        self._event.wait(timeout=timeout_s)
        if not self.is_set:
            sleep(0.0)
        return self.is_set
