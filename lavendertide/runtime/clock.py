"""The clocks of the process, read only by tasks.

Functions that decide take the present time as an argument; the tasks that call them
read it here.
"""

import math
import random
import time
from typing import Final

_PHASE_S: Final = random.random()


def monotonic_s() -> float:
    """Returns seconds on a clock that never steps and goes on during a pause."""
    return time.monotonic()


def processor_s() -> float:
    """Returns the processor time that the process has used."""
    return time.process_time()


def wall_s() -> float:
    """Returns seconds since the epoch, for logs and for what callers see."""
    return time.time()


def next_tick_s(now_s: float, interval_s: float) -> float:
    """Returns the next moment of a grid that all periodic tasks of the process share.

    Tasks that wake together cost one wake-up. Each process has a phase of its own, so
    that those of one host don't all wake at the same moment.
    """
    ticks = math.floor((now_s - _PHASE_S) / interval_s) + 1
    return ticks * interval_s + _PHASE_S
