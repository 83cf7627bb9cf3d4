"""A plan and records of members for the tests of plans."""

from lavendertide.configuration.catalog import Plan
from lavendertide.ids import (
    Address,
    DaemonId,
    FailureDomain,
    HostId,
    Incarnation,
    OwnerId,
    PlanClass,
    PlanId,
    Region,
)
from lavendertide.messages import MemberRecord, MemberState

PLAN = Plan(
    PlanId("clerk"), OwnerId("association"), PlanClass("counter"), 100.0, 20, 16
)


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
