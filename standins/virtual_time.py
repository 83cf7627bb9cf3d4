"""Runs tasks on a clock that jumps to the next moment at which something is due.

The tasks are the product's own; only waiting takes no time. So a day of many hosts
takes as long as its decisions, and the same seed gives the same day.
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

# Where the clock starts; not zero, as no process starts at the same moment as its host.
START_S: Final = 1_000.0
# Sets timers of the same moment apart, whose order `eventlet` leaves to chance. A day
# has about a million, which together shift the last one by a tenth of a millisecond.
TIE_S: Final = 1e-10


class VirtualHub(BaseHub):  # type: ignore[misc]  # eventlet has no types
    """Fires timers one after another without waiting between them."""

    def __init__(self) -> None:
        self._now_s = START_S
        self._timers = itertools.count()
        super().__init__(lambda: self._now_s)

    def add_timer(self, timer: Any) -> float:
        """Adds a timer; ones of the same moment fire in the order of their adding."""
        at_s = self._now_s + float(timer.seconds) + next(self._timers) * TIE_S
        self.next_timers.append((at_s, timer))
        return at_s

    def wait(self, seconds: float | None = None) -> None:
        """Moves the clock on."""
        self._now_s += seconds or 0.0


class OrderedWaiter(queue.Waiter):  # type: ignore[misc]  # eventlet has no types
    """A task that waits for an item; hashed by when it came, not by its address.

    `eventlet` keeps those that wait in a set, so addresses would decide who is next.
    """

    __slots__ = ("_order",)
    _orders = itertools.count()

    def __init__(self) -> None:
        super().__init__()
        self._order = next(self._orders)

    def __hash__(self) -> int:
        """Returns its place in the order."""
        return self._order

    def __eq__(self, other: object) -> bool:
        """Returns whether both are the same."""
        return self is other


def run_on_virtual_clock(main: Callable[[], T]) -> T:
    """Runs a function and the tasks it spawns on a virtual clock of their own.

    Raises:
        BaseException: Whatever the function raises.
    """
    results: list[T] = []
    errors: list[BaseException] = []

    def enter() -> None:
        chosen: Any = VirtualHub
        # Hubs belong to a thread, so those of others go on by the usual clock.
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
