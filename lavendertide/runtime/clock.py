"""The clocks of the process, which only tasks read.

Functions that make decisions take the present time as an argument, and the tasks that
call them read it here.
"""

import math
import random
import time
from typing import Final

_PHASE_S: Final = random.random()


def monotonic_s() -> float:
    """Returns seconds on a clock that is never set and runs on during a pause."""
    return time.monotonic()


def processor_s() -> float:
    """Returns the processor time that the process has used, in seconds."""
    return time.process_time()


def wall_s() -> float:
    """Returns seconds since the epoch, for logs and responses to callers."""
    return time.time()


def next_tick_s(now_s: float, interval_s: float) -> float:
    """Returns the next point in time of a grid that all periodic tasks share.

    Tasks that wake at the same time cost the process only one wake-up. Each process has
    a random phase, so that the processes of one host don't wake simultaneously.
    """
    ticks = math.floor((now_s - _PHASE_S) / interval_s) + 1
    return ticks * interval_s + _PHASE_S
