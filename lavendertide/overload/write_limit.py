"""Decides how long a caller may take to accept a response.

It handles callers that accept a few bytes now and then: their progress extends the time
only at a stated rate, so that they can't hold a response for as long as they like. The
decision is local to a connection.
"""

from dataclasses import dataclass
from typing import Final

# The longest response within the published limits has 8 MiB, which ordinary callers
# accept in seconds. At this rate it takes 32 s.
PROGRESS_BYTES_PER_S: Final = 262_144.0
# Time that a caller has for any response.
BASE_S: Final = 10.0


@dataclass(frozen=True, slots=True)
class WriteLimit:
    """The time limit of one response.

    Attributes:
        began_s: When its first byte was about to be written, monotonic.
        base_s: Time that the caller has without any progress.
        bytes_per_s: Accepted bytes that extend the time by a second.
    """

    began_s: float
    base_s: float
    bytes_per_s: float = PROGRESS_BYTES_PER_S

    def ends_at_s(self, accepted_bytes: int) -> float:
        """Returns until when the caller has to accept more, monotonic.

        Args:
            accepted_bytes: What its system has accepted so far.
        """
        return self.began_s + self.base_s + accepted_bytes / self.bytes_per_s
