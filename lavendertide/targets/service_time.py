"""Estimates a target's median service time in constant memory."""

from typing import Final

INITIAL_MEDIAN_S: Final = 0.005
STEP_SHARE: Final = 0.05


class ServiceTime:
    """Median estimate, moved by `STEP_SHARE` of itself towards each answer's time."""

    def __init__(self) -> None:
        self._median_s = INITIAL_MEDIAN_S

    @property
    def median_s(self) -> float:
        """The estimated median in seconds."""
        return self._median_s

    def record(self, service_time_s: float) -> None:
        """Records the service time of one answer."""
        step_s = STEP_SHARE * self._median_s
        self._median_s += step_s if service_time_s > self._median_s else -step_s
