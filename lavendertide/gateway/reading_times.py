"""How long reads of the platform wait, so that no leaving target is noticed too late.

What keeps a host from noticing is a reader that is cut off from the platform while its
watch waits, and a host that waits for that reader. Both waits are parts of the time
within which a leaving target has to be left alone, so they follow the platform's bound.
"""

from dataclasses import dataclass
from typing import Final

# Part of that time for which a watch of the platform waits for a change. A cut is
# noticed after it and the margin of its answer; then hosts still have to read directly.
WATCH_SHARE: Final = 0.35
# Part of that time for which a reader waits for a change before it answers a host.
HOLD_SHARE: Final = 1 / 3
# How much later than it has to the answer of a watch, and of a reader, may come; the
# platform answers in milliseconds, and hosts of a failure domain are close.
WATCH_MARGIN_S: Final = 0.5
HOLD_MARGIN_S: Final = 0.4
# Time between the end of one read of the platform and the next, and to note its result.
PAUSE_S: Final = 0.3


@dataclass(frozen=True, slots=True)
class ReadingTimes:
    """The waits of one host.

    Attributes:
        leaving_s: Time after which a target that the platform calls leaving must not be
            asked any more.
    """

    leaving_s: float

    @property
    def watch_s(self) -> float:
        """How long a watch of the platform waits for a change."""
        return WATCH_SHARE * self.leaving_s

    @property
    def watch_timeout_s(self) -> float:
        """How long its answer is waited for."""
        return self.watch_s + WATCH_MARGIN_S

    @property
    def hold_s(self) -> float:
        """How long a reader waits for a change before it answers a host."""
        return HOLD_SHARE * self.leaving_s

    @property
    def hold_ends_s(self) -> float:
        """How long its answer is waited for."""
        return self.hold_s + HOLD_MARGIN_S

    @property
    def heard_max_s(self) -> float:
        """How long ago a reader that is not cut off has heard from the platform."""
        return self.watch_timeout_s + PAUSE_S
