"""Runs tasks on a virtual clock, which advances directly to the next timer.

The tasks run the real code, but waiting takes no time. So simulating a day of many
hosts takes only the time of its computations, and the same seed gives the same day.
"""

import itertools
import threading
from collections.abc import Callable
from typing import Any, Final, TypeVar
from unittest import mock

from eventlet import hubs, queue
from eventlet.hubs.hub import BaseHub

from lavendertide.runtime import clock

T = TypeVar("T")

# Time at which the clock starts. It is not zero because a process never starts at the
# same time as its host.
START_S: Final = 1_000.0
# Offset between timers that are due at the same time, since `eventlet` does not define
# their order. A day has about a million timers, so the last one is shifted by a tenth
# of a millisecond.
TIE_OFFSET_S: Final = 1e-10


class VirtualHub(BaseHub):  # type: ignore[misc]  # eventlet has no types
    """A hub that fires timers in order without waiting between them."""

    def __init__(self) -> None:
        self._now_s = START_S
        self._timers = itertools.count()
        super().__init__(lambda: self._now_s)

    def add_timer(self, timer: Any) -> float:
        """Adds a timer; timers due at the same time fire in the order of addition."""
        at_s = self._now_s + float(timer.seconds) + next(self._timers) * TIE_OFFSET_S
        self.next_timers.append((at_s, timer))
        return at_s

    def wait(self, seconds: float | None = None) -> None:
        """Advances the clock instead of waiting."""
        self._now_s += seconds or 0.0


class OrderedWaiter(queue.Waiter):  # type: ignore[misc]  # eventlet has no types
    """A queue waiter that is hashed by its order of creation, not by its address.

    `eventlet` keeps waiters in a set, so with the default hash memory addresses would
    decide which one is woken next.
    """

    __slots__ = ("_order",)
    _orders = itertools.count()

    def __init__(self) -> None:
        super().__init__()
        self._order = next(self._orders)

    def __hash__(self) -> int:
        """Returns the waiter's number in the order of creation."""
        return self._order

    def __eq__(self, other: object) -> bool:
        """Returns whether both are the same object."""
        return self is other


def run_on_virtual_clock(main: Callable[[], T]) -> T:
    """Runs a function and the tasks that it spawns on a new virtual clock.

    Raises:
        BaseException: Any exception that the function raises.
    """
    results: list[T] = []
    errors: list[BaseException] = []

    def enter() -> None:
        chosen: Any = VirtualHub
        # Each thread has its own hub, so other threads keep the real clock.
        hubs.use_hub(chosen)
        hub = hubs.get_hub()
        try:
            with (
                mock.patch.object(clock, "monotonic_s", hub.clock),
                mock.patch.object(queue, "Waiter", OrderedWaiter),
            ):
                OrderedWaiter._orders = itertools.count()
                results.append(main())
        except BaseException as error:
            errors.append(error)

    thread = threading.Thread(target=enter)
    thread.start()
    thread.join()
    if errors:
        raise errors[0]
    return results[0]
