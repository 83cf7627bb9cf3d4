"""Tasks, mailboxes and waits on top of `eventlet`.

A task is written straight down and waits where it has to; a waiting task costs no
processor time.
"""

import logging
from collections.abc import Callable
from typing import Any, Generic, TypeVar

import eventlet
from eventlet import event, greenthread, queue

T = TypeVar("T")

_log = logging.getLogger(__name__)


class Task:
    """A running task that can be stopped."""

    def __init__(self, thread: greenthread.GreenThread) -> None:
        self._thread = thread

    def stop(self) -> None:
        """Ends the task at its next wait."""
        self._thread.kill()


def spawn(function: Callable[..., Any], *arguments: Any) -> Task:
    """Starts a task; an error that escapes it is logged, never lost."""
    return Task(eventlet.spawn(_guarded, function, arguments))


def _guarded(function: Callable[..., Any], arguments: tuple[Any, ...]) -> None:
    try:
        function(*arguments)
    except Exception:
        _log.exception("task failed", extra={"task": function.__qualname__})


def sleep(duration_s: float) -> None:
    """Lets other tasks run for a while."""
    eventlet.sleep(duration_s)


class Mailbox(Generic[T]):
    """A queue between tasks; sending never waits.

    Args:
        capacity: How many items it holds; none for no bound.
    """

    def __init__(self, capacity: int | None = None) -> None:
        self._items: queue.LightQueue = queue.LightQueue(capacity)

    def __len__(self) -> int:
        return int(self._items.qsize())

    def send(self, item: T) -> bool:
        """Adds an item; returns whether there was room."""
        try:
            self._items.put_nowait(item)
        except queue.Full:
            return False
        return True

    def receive(self, timeout_s: float | None = None) -> T | None:
        """Waits for an item; returns none once the time is over."""
        try:
            item: T = self._items.get(timeout=timeout_s)
        except queue.Empty:
            return None
        return item

    def receive_ready(self, first: T, items_max: int) -> list[T]:
        """Returns the first item and all others that are ready, up to a bound."""
        items = [first]
        while len(items) < items_max and not self._items.empty():
            items.append(self._items.get_nowait())
        return items


class Signal:
    """Something that happens once and that tasks can wait for."""

    def __init__(self) -> None:
        self._event = event.Event()

    @property
    def is_set(self) -> bool:
        """Whether it has happened."""
        return bool(self._event.ready())

    def set(self) -> None:
        """Says that it has happened."""
        if not self._event.ready():
            self._event.send(None)

    def wait(self, timeout_s: float | None = None) -> bool:
        """Waits until it has happened; returns whether it has."""
        self._event.wait(timeout=timeout_s)
        return self.is_set
