"""Selection of the daemons that watch the configuration service.

Every daemon ranks the members of its failure domain by rendezvous hashing, and the
first few watch. No coordination is needed. The version in force is part of the hashed
key, so that the role, and with it the cost of reading full lists, moves to other
daemons with each publication.
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
    """Returns whether a daemon is to watch the service.

    Args:
        own: Record of the daemon itself.
        reachable: Serving members that it can reach.
        version: Version in force on the daemon.
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
