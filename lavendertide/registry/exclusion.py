"""Why a registered target gets no new requests."""

from dataclasses import dataclass
from enum import Enum


class ExclusionReason(Enum):
    """Reasons for which the registry leaves a target out."""

    # The target's entry says so.
    DRAINING = "draining"
    # The operator has evacuated the target's failure domain.
    EVACUATED = "evacuated_domain"
    # The target has announced it, whatever its entry says.
    LEAVING = "leaving"
    # The target is full and wants no requests of this host for a time.
    PAUSED = "paused"
    # The entry was lost in an outage of the platform and has not returned in time.
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class Exclusion:
    """Why a target is left out.

    Attributes:
        until_s: When that ends, monotonic; none if it isn't known.
    """

    reason: ExclusionReason
    until_s: float | None = None
