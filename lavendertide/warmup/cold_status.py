"""What a host reports of the cold targets that it knows."""

from dataclasses import dataclass

from lavendertide.ids import ServiceName, TargetId


@dataclass(frozen=True, slots=True)
class ColdTargetStatus:
    """A cold target, and what this host may send to it.

    Attributes:
        left_s: Seconds for which it remains cold.
        allowance: Requests that all hosts may send in one second; none if it has no
            allowance. The other numbers are zero then.
        part: This host's part of them.
        sent: Requests of the part that were sent in the last second.
        given: Requests of the part that are left to other hosts.
        received: Requests of other hosts that this one may still use.
    """

    target: TargetId
    service: ServiceName
    left_s: float
    allowance: int | None
    part: int
    sent: int
    given: int
    received: int
