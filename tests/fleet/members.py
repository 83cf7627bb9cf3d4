"""Builds members, targets and rosters for tests."""

from dataclasses import replace

from lavendertide.fleet.roster import Roster
from lavendertide.ids import (
    Address,
    DaemonId,
    FailureDomain,
    HostId,
    Incarnation,
    Region,
)
from lavendertide.messages import MemberRecord, MemberState
from lavendertide.targets.place import TargetPlace
from standins.records import target_place

DOMAINS = ("north-a", "north-b", "north-c")


def member(number: int, state: MemberState = MemberState.SERVING) -> MemberRecord:
    """Returns a member of a region with three failure domains."""
    return MemberRecord(
        daemon=DaemonId(f"daemon-{number}"),
        host=HostId(f"host-{number}"),
        region=Region("north"),
        failure_domain=FailureDomain(DOMAINS[number % len(DOMAINS)]),
        peer_address=Address(f"127.0.0.1:{2_000 + number}"),
        caller_address=Address(f"127.0.0.1:{10_000 + number}"),
        incarnation=Incarnation(1),
        state=state,
    )


def place(number: int) -> TargetPlace:
    """Returns a target in one of the failure domains of the members."""
    failure_domain = DOMAINS[number % len(DOMAINS)]
    return target_place(f"target-{number}", "north", failure_domain)


def roster_of(count: int, own: int = 0) -> Roster:
    """Returns a daemon's roster of a fleet in which all members serve."""
    roster = Roster(member(own))
    roster.apply_records((member(number) for number in range(count)), 0.0)
    return roster


def later_run(record: MemberRecord) -> MemberRecord:
    """Returns a member's record after a restart."""
    return replace(record, incarnation=Incarnation(record.incarnation + 1))
