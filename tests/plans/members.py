"""Plan and member records for the tests of plans."""

from lavendertide.configuration.catalog import Plan
from lavendertide.ids import DaemonId, OwnerId, PlanClass, PlanId
from lavendertide.messages import MemberRecord
from standins.records import member_record

PLAN = Plan(
    PlanId("clerk"), OwnerId("association"), PlanClass("counter"), 100.0, 20, 16
)


def record(daemon: DaemonId) -> MemberRecord:
    """Returns the record of a member; the first part of its name is its region."""
    return member_record(daemon, daemon.split("-")[0], daemon)
