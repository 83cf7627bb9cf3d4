"""Which daemons hold a target's slots in a launched deployment."""

from dataclasses import replace

from lavendertide.configuration.catalog import TargetPlace
from lavendertide.fleet.ranking import rank_for_target
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
from standins.deployment import OwnerSpec
from standins.launcher import Launcher


def targets_of(launcher: Launcher, index: str, daemon: str) -> list[str]:
    """Returns the targets of an index whose primary is a daemon."""
    return [
        placed.target
        for placed in launcher.placed
        if placed.index.index == index
        and _order(placed.owner, placed.target, placed.failure_domain)[0] == daemon
    ]


def breaches_of(launcher: Launcher) -> dict[str, int]:
    """Returns how often slots and connections of any target were overrun."""
    counts = launcher.target_counts().values()
    return {
        "slots": sum(each["slot_breaches"] for each in counts),
        "connections": sum(each["connection_breaches"] for each in counts),
    }


def ran(launcher: Launcher, target: str) -> int:
    """Returns how many requests a target has run."""
    return int(launcher.target_counts()[target]["ran"])


def _order(owner: OwnerSpec, target: str, failure_domain: str) -> list[str]:
    place = TargetPlace(
        target=TargetId(target),
        owner=OwnerId(owner.owner),
        index=IndexName(""),
        address=Address(""),
        region=Region(owner.region),
        failure_domain=FailureDomain(failure_domain),
        slots=1,
        connections=2,
    )
    member = MemberRecord(
        daemon=DaemonId(""),
        host=HostId(""),
        region=Region(owner.region),
        failure_domain=FailureDomain(""),
        peer_address=Address(""),
        caller_address=Address(""),
        incarnation=Incarnation(1),
        state=MemberState.SERVING,
    )
    domains = owner.failure_domains
    members = [
        replace(
            member,
            daemon=DaemonId(f"{owner.owner}-{number}"),
            failure_domain=FailureDomain(domains[number % len(domains)]),
        )
        for number in range(owner.hosts)
    ]
    return [each.daemon for each in rank_for_target(place, members)]
