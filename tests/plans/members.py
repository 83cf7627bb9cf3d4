"""Records of members for the tests of plans."""

from lavendertide.ids import DaemonId
from lavendertide.messages import MemberRecord
from standins.records import member_record


def record(daemon: DaemonId) -> MemberRecord:
    """Returns a member's record; its region is in its name."""
    return member_record(daemon, daemon.split("-")[0], daemon)
