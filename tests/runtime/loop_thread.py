"""An event loop in a thread of its own, which a test can keep busy.

The test itself uses ordinary sockets, which would block the loop in its own thread.
"""

import queue
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future
from types import TracebackType
from typing import Final, TypeVar

from lavendertide.runtime import tasks, transfers

T = TypeVar("T")

RESULT_TIMEOUT_S: Final = 20.0
FOREVER_S: Final = 1_000.0


class LoopThread:
    """Runs functions as tasks of an event loop while the context is open."""

    def __init__(self) -> None:
        self._functions: queue.SimpleQueue[Callable[[], None] | None]
        self._functions = queue.SimpleQueue()
        self._waker, self._woken = socket.socketpair()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self) -> "LoopThread":
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._wake(None)
        self._thread.join()
        self._waker.close()
        self._woken.close()

    def call(self, function: Callable[[], T]) -> T:
        """Runs a function as a task; returns its result."""
        return self.start(function).result(RESULT_TIMEOUT_S)

    def start(self, function: Callable[[], T]) -> Future[T]:
        """Runs a function as a task; returns its future result."""
        result: Future[T] = Future()

        def run() -> None:
            try:
                result.set_result(function())
            except Exception as error:
                result.set_exception(error)

        self._wake(lambda: tasks.spawn(run))
        return result

    def stall(self, duration_s: float) -> None:
        """Keeps the loop busy, from a task that a socket has woken."""
        self._wake(lambda: time.sleep(duration_s))

    def _wake(self, function: Callable[[], object] | None) -> None:
        self._functions.put(None if function is None else lambda: _ignore(function()))
        self._waker.send(b"x")

    def _run(self) -> None:
        while True:
            if not transfers.wait_for_data(self._woken, FOREVER_S):
                continue
            self._woken.recv(1)
            function = self._functions.get()
            if function is None:
                return
            function()


def _ignore(result: object) -> None:
    """Drops the result of a function that is called for its effect."""
