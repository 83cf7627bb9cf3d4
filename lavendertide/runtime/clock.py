"""The clocks of the process, read only by tasks.

Functions that decide take the present time as an argument; the tasks that call them
read it here.
"""

import time


def monotonic_s() -> float:
    """Returns seconds on a clock that never steps and goes on during a pause."""
    return time.monotonic()


def wall_s() -> float:
    """Returns seconds since the epoch, for logs and for what callers see."""
    return time.time()
