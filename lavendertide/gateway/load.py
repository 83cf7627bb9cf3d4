"""Detects that this host uses most of the CPU time that is allotted to it."""

from typing import Final

# A host whose CPU utilization exceeds the upper limit is marked as loaded, so that
# callers are given other hosts first, until utilization falls to the lower limit. From
# about two thirds on, requests wait noticeably for the CPU.
LOADED_ABOVE: Final = 0.65
FREE_BELOW: Final = 0.4


class LoadMeter:
    """Compares the CPU time that the process uses with its allotment.

    Args:
        cores: CPU allotment of the process, in cores.
        used_s: CPU time used so far.
        now_s: Present time, monotonic.
    """

    def __init__(self, cores: float, used_s: float, now_s: float) -> None:
        self._cores = cores
        self._used_s = used_s
        self._measured_at_s = now_s
        self._is_loaded = False

    def measure(self, used_s: float, now_s: float) -> bool:
        """Measures the utilization since the last call; returns whether it is loaded.

        Args:
            used_s: CPU time of the process since its start.
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
