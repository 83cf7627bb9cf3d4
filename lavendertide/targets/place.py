"""The published location and capacity of a target."""

from dataclasses import dataclass

from lavendertide.ids import (
    Address,
    FailureDomain,
    IndexName,
    OwnerId,
    Region,
    TargetId,
)


@dataclass(frozen=True, slots=True)
class TargetPlace:
    """Location and capacity of a target, as its owner publishes them.

    Attributes:
        slots: Number of requests that the target runs at a time.
        connections: Number of connections that the target accepts.
    """

    target: TargetId
    owner: OwnerId
    index: IndexName
    address: Address
    region: Region
    failure_domain: FailureDomain
    slots: int
    connections: int
