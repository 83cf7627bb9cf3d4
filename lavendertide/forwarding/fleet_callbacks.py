"""The forwarder's callbacks to the rest of the fleet."""

from collections.abc import Callable
from dataclasses import dataclass

from lavendertide.ids import TargetId
from lavendertide.messages import Verdict
from lavendertide.registry.record import TargetRun


@dataclass(frozen=True, slots=True)
class FleetCallbacks:
    """The forwarder's callbacks to the rest of the fleet.

    Attributes:
        broadcast_stall: Sends peers the name of a target that has stopped replying.
        record_leaving: Records that a run of a target is leaving, and sends it to
            peers that may not notice it.
        broadcast_verdict: Sends peers a verdict on a request that may crash targets.
        connection_hosts: Returns by how many hosts the targets' connections are divided
            here, at a time.
        budget_share: Returns this host's share, from 0 to 1, of the fleet's fixed
            number of extra sub-requests.
        has_previous_connections: Returns whether targets may still count connections
            that this host opened before its last start.
    """

    broadcast_stall: Callable[[TargetId], None]
    record_leaving: Callable[[TargetRun, float], None]
    broadcast_verdict: Callable[[Verdict], None]
    connection_hosts: Callable[[float], int]
    budget_share: Callable[[float], float]
    has_previous_connections: Callable[[float], bool]
