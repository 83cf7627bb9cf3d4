"""Builds daemon and target records for tests and benchmarks without processes."""

from lavendertide.ids import (
    Address,
    DaemonId,
    FailureDomain,
    HostId,
    Incarnation,
    IndexName,
    OwnerId,
    Region,
    TargetId,
)
from lavendertide.messages import MemberRecord, MemberState
from lavendertide.targets.place import TargetPlace

PEERS_PORT = 7_001
CALLERS_PORT = 7_000


def member_record(
    daemon: str,
    region: str,
    failure_domain: str,
    host: str = "",
    ip_number: str = "127.0.0.1",
    incarnation: int = 1,
    state: MemberState = MemberState.SERVING,
) -> MemberRecord:
    """Builds the record of a member; by default it runs on a host of its own."""
    return MemberRecord(
        daemon=DaemonId(daemon),
        host=HostId(host or f"{daemon}-host"),
        region=Region(region),
        failure_domain=FailureDomain(failure_domain),
        peer_address=Address(f"{ip_number}:{PEERS_PORT}"),
        caller_address=Address(f"{ip_number}:{CALLERS_PORT}"),
        incarnation=Incarnation(incarnation),
        state=state,
    )


def target_place(
    target: str,
    region: str,
    failure_domain: str,
    owner: str = "owner",
    index: str = "index",
    address: str = "127.0.0.1:8000",
) -> TargetPlace:
    """Builds a target with the fewest slots and connections in current deployments."""
    return TargetPlace(
        target=TargetId(target),
        owner=OwnerId(owner),
        index=IndexName(index),
        address=Address(address),
        region=Region(region),
        failure_domain=FailureDomain(failure_domain),
        slots=2,
        connections=25,
    )
