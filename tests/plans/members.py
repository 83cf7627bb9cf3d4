"""Records of members for the tests of plans."""

from lavendertide.ids import (
    Address,
    DaemonId,
    FailureDomain,
    HostId,
    Incarnation,
    Region,
)
from lavendertide.messages import MemberRecord, MemberState


def record(daemon: DaemonId) -> MemberRecord:
    """Returns a member's record; its region is in its name."""
    return MemberRecord(
        daemon,
        HostId(daemon),
        Region(daemon.split("-")[0]),
        FailureDomain(daemon),
        Address(daemon),
        Address(daemon),
        Incarnation(1),
        MemberState.SERVING,
    )
