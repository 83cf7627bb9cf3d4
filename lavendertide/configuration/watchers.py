"""Which daemons of a failure domain watch the configuration service.

Every daemon ranks the members of its failure domain by rendezvous hashing; the first
few watch, without anybody being asked. The version in force is part of the ranked
name, so that the role, and with it the cost of reading whole lists, moves on with each
publication.
"""

from collections.abc import Iterable
from typing import Final

from lavendertide.fleet.ranking import score
from lavendertide.ids import ConfigurationVersion
from lavendertide.messages import MemberRecord

WATCHERS_PER_DOMAIN: Final = 2


def is_watcher(
    own: MemberRecord,
    reachable: Iterable[MemberRecord],
    version: ConfigurationVersion,
) -> bool:
    """Returns whether a daemon watches the service.

    Args:
        own: The daemon itself.
        reachable: Members that serve and that it can reach.
        version: The version in force on it.
    """
    ranking_key = f"watch {own.failure_domain} {version}"
    own_score = score(ranking_key, own.daemon)
    ahead_count = 0
    for member in reachable:
        if member.failure_domain != own.failure_domain or member.daemon == own.daemon:
            continue
        ahead_count += score(ranking_key, member.daemon) > own_score
        if ahead_count >= WATCHERS_PER_DOMAIN:
            return False
    return True
