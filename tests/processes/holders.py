"""Finds the primary holders of targets and reads the targets' counters."""

from lavendertide.fleet.ranking import rank_for_target
from standins.deployment import OwnerSpec
from standins.launcher import Launcher
from standins.records import member_record, target_place


def primary_targets_of(launcher: Launcher, index: str, daemon: str) -> list[str]:
    """Returns the targets of an index whose primary holder is the given daemon."""
    return [
        placed.target
        for placed in launcher.placed_targets
        if placed.index.index == index
        and _rank_holders(placed.owner, placed.target, placed.failure_domain)[0]
        == daemon
    ]


def count_breaches(launcher: Launcher) -> dict[str, int]:
    """Returns how often the slots and the connections of all targets were exceeded."""
    counts = launcher.target_counts().values()
    return {
        "slots": sum(each["slot_breaches"] for each in counts),
        "connections": sum(each["connection_breaches"] for each in counts),
    }


def count_runs(launcher: Launcher, target: str) -> int:
    """Returns the number of requests that a target has run."""
    return int(launcher.target_counts()[target]["ran"])


def _rank_holders(owner: OwnerSpec, target: str, failure_domain: str) -> list[str]:
    place = target_place(target, owner.region, failure_domain, owner.owner)
    domains = owner.failure_domains
    members = [
        member_record(
            f"{owner.owner}-{number}", owner.region, domains[number % len(domains)]
        )
        for number in range(owner.hosts)
    ]
    return [each.daemon for each in rank_for_target(place, members)]
