"""The registry entry that a target publishes."""

from dataclasses import dataclass
from enum import Enum

from lavendertide.ids import Address, FailureDomain, ServiceName, TargetId


class TargetState(Enum):
    """Whether a target accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class TargetRun:
    """One run of a target's process.

    Attributes:
        started_at_ms: Start time in Unix milliseconds; zero if it isn't published.
    """

    target: TargetId
    started_at_ms: int

    @property
    def is_dated(self) -> bool:
        """Whether the run can be told from another one under the same name."""
        return self.started_at_ms != 0


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """One registered target.

    Attributes:
        target: Identifies one run of a process, unless its owner reuses the name.
        slots: Requests that it runs concurrently.
        started_at_ms: Start time in Unix milliseconds; distinguishes runs of one name.
    """

    target: TargetId
    service: ServiceName
    address: Address
    failure_domain: FailureDomain
    slots: int
    state: TargetState
    started_at_ms: int

    @property
    def run(self) -> TargetRun:
        """The run of the target that the entry describes."""
        return TargetRun(self.target, self.started_at_ms)

    def is_same_start(self, other: "TargetRecord") -> bool:
        """Returns whether both records describe the same run of a process."""
        return (
            self.started_at_ms == other.started_at_ms and self.address == other.address
        )
