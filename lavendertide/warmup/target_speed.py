"""What the ranking of cold targets asks of a target's speed.

Load pattern: targets that are slow while they are cold, beside warm ones that are full.
"""

from typing import Final, Protocol

from lavendertide.registry.record import TargetRecord

# A target's replies are slow above this multiple of the usual time of the route.
SLOW_RATIO: Final = 1.5


class TargetSpeed(Protocol):
    """What this host knows of a target's speed; see `TargetView`."""

    @property
    def slowness_at_s(self) -> float:
        """When the speed was last observed, monotonic; zero if it never was."""

    @property
    def open_count(self) -> int:
        """Requests of this host that the target has not answered yet."""

    def current_slowness(self, now_s: float) -> float:
        """Returns the reply time relative to the usual one."""

    def is_avoided(self, now_s: float) -> bool:
        """Returns whether the target is down or full."""

    def is_stalled(self, now_s: float) -> bool:
        """Returns whether replies of the target are late."""


def has_capacity(record: TargetRecord, speed: TargetSpeed, now_s: float) -> bool:
    """Returns whether a target has a free slot and takes requests."""
    return (
        speed.open_count < record.slots
        and not speed.is_avoided(now_s)
        and not speed.is_stalled(now_s)
    )


def is_fast(speed: TargetSpeed, since_s: float, now_s: float) -> bool:
    """Returns whether the replies of a cold target show that it isn't slow."""
    has_replied = speed.slowness_at_s > since_s
    return has_replied and speed.current_slowness(now_s) < SLOW_RATIO
