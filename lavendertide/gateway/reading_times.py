"""Timeouts of platform reads, derived from the bound on noticing a leaving target.

Two waits can delay a host in noticing a leaving target: that of a reader that is cut
off from the platform during a watch call, and that of the host for the reader's reply.
Both are fractions of the time within which hosts must stop sending to a leaving target,
so they follow the platform's bound on it.
"""

from dataclasses import dataclass
from typing import Final

# Fraction of `leaving_s` for which a leaving target still gets requests that no other
# target can serve. The rest covers callers that send shortly before.
LAST_RESORT_SHARE: Final = 0.5
# Fraction of `leaving_s` for which a watch call waits for a change. A partition is
# noticed after this wait and its margin; the hosts then still have to read directly.
WATCH_SHARE: Final = 0.35
# Fraction of `leaving_s` for which a source holds a follower's pull open for a change.
HOLD_SHARE: Final = 1 / 3
# How long after the wait the answer to a watch call, and to a pull, may arrive. The
# platform answers in milliseconds, and hosts of one failure domain are close together.
WATCH_MARGIN_S: Final = 0.5
HOLD_MARGIN_S: Final = 0.4
# Time between two reads of the platform, including the time to apply the result.
PAUSE_S: Final = 0.3


@dataclass(frozen=True, slots=True)
class ReadingTimes:
    """The read timeouts of one host.

    Attributes:
        leaving_s: Time after which a target that the platform marks as leaving must get
            no more requests.
    """

    leaving_s: float

    @property
    def last_resort_s(self) -> float:
        """Seconds for which a leaving target is the last resort of its service."""
        return LAST_RESORT_SHARE * self.leaving_s

    @property
    def watch_s(self) -> float:
        """Seconds for which a watch call waits for a change."""
        return WATCH_SHARE * self.leaving_s

    @property
    def watch_timeout_s(self) -> float:
        """Timeout of a watch call in seconds."""
        return self.watch_s + WATCH_MARGIN_S

    @property
    def hold_s(self) -> float:
        """Seconds for which a source holds a pull open for a change."""
        return HOLD_SHARE * self.leaving_s

    @property
    def hold_timeout_s(self) -> float:
        """Timeout of a pull in seconds."""
        return self.hold_s + HOLD_MARGIN_S

    @property
    def silence_max_s(self) -> float:
        """Longest platform silence, in seconds, at a source that isn't cut off."""
        return self.watch_timeout_s + PAUSE_S
