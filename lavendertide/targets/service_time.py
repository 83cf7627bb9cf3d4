"""A target's median service time, learned from its answers in constant memory."""

from typing import Final

INITIAL_MEDIAN_S: Final = 0.005
STEP_SHARE: Final = 0.05


class ServiceTime:
    """Moves a median estimate by a small share of itself towards each answer."""

    def __init__(self) -> None:
        self._median_s = INITIAL_MEDIAN_S

    @property
    def median_s(self) -> float:
        """The estimate."""
        return self._median_s

    def record(self, service_time_s: float) -> None:
        """Takes in how long one answer took."""
        step_s = STEP_SHARE * self._median_s
        self._median_s += step_s if service_time_s > self._median_s else -step_s
