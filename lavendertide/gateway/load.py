"""Whether this host uses most of the processor that it may use."""

from typing import Final

# Above the upper part a host asks that others are named before it, until it is below
# the lower part; requests wait noticeably for the processor from about two thirds on.
LOADED_ABOVE: Final = 0.65
FREE_BELOW: Final = 0.4


class LoadMeter:
    """Compares the processor time that was used with what may be used.

    Args:
        share: What the process may use, in cores.
    """

    def __init__(self, cores: float, used_s: float, now_s: float) -> None:
        self._cores = cores
        self._used_s = used_s
        self._measured_at_s = now_s
        self._is_loaded = False

    def measure(self, used_s: float, now_s: float) -> bool:
        """Takes in the processor time used so far; returns whether the host is loaded.

        Args:
            used_s: Processor time of the process since its start.
            now_s: Present time, monotonic.
        """
        elapsed_s = now_s - self._measured_at_s
        if elapsed_s <= 0.0:
            return self._is_loaded
        utilization = (used_s - self._used_s) / (elapsed_s * self._cores)
        self._used_s = used_s
        self._measured_at_s = now_s
        limit = FREE_BELOW if self._is_loaded else LOADED_ABOVE
        self._is_loaded = utilization > limit
        return self._is_loaded
