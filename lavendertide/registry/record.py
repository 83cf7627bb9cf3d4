"""What a target says of itself."""

from dataclasses import dataclass
from enum import Enum

from lavendertide.ids import Address, FailureDomain, ServiceName, TargetId


class TargetState(Enum):
    """Whether a target takes new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """One target as it has registered itself.

    Attributes:
        target: Identifies one start of a target, unless its owner reuses the name.
        slots: Requests that it runs at a time.
        started_at_ms: Unix time of its start; tells starts under one name apart.
    """

    target: TargetId
    service: ServiceName
    address: Address
    failure_domain: FailureDomain
    slots: int
    state: TargetState
    started_at_ms: int

    def is_same_start(self, other: "TargetRecord") -> bool:
        """Returns whether both speak of the same run of the same process."""
        return (
            self.started_at_ms == other.started_at_ms and self.address == other.address
        )
