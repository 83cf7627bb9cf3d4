"""Decides which hosts to contact before they are named to callers.

Load pattern: more hosts end at once than may be suspected together, such as a failure
domain that loses power. A host watches a few others and takes the rest for reachable
unless they are suspected. Those that may not be suspected would be named to callers
until the suspects are removed. While hosts disagree, each one leaves out those that it
can't reach itself.
"""

from collections import Counter
from collections.abc import Collection
from typing import Final

from lavendertide.fleet.removal import may_suspect
from lavendertide.fleet.roster import SILENCE_S, Roster
from lavendertide.ids import DaemonId
from lavendertide.messages import MemberRecord, MemberState

# Hosts that are contacted in one check, once a second. Two checks reach all of 62 hosts
# that may not be suspected; dialling all of 510 at once would load them.
CONTACTS_PER_CHECK: Final = 32
# A host that has replied within this time isn't contacted again.
CONTACT_MAX_AGE_S: Final = 2.0


def select_unconfirmed(
    roster: Roster, listed: Collection[DaemonId], now_s: float
) -> list[MemberRecord]:
    """Returns the hosts to contact now; none unless suspicions are held back.

    Listed hosts come first, then those of the failure domains with most suspects.

    Args:
        roster: The known hosts.
        listed: The hosts that are named to callers.
        now_s: Present time, monotonic.
    """
    if may_suspect(roster):
        return []
    lost = Counter(
        member.failure_domain
        for member in roster.members
        if member.state is MemberState.SUSPECT
    )
    unconfirmed = [
        member
        for member in roster.serving
        if member.daemon != roster.own.daemon
        and roster.is_reachable(member.daemon, SILENCE_S, now_s)
        and not _is_confirmed(roster, member.daemon, now_s)
    ]
    unconfirmed.sort(
        key=lambda member: (member.daemon not in listed, -lost[member.failure_domain])
    )
    return unconfirmed[:CONTACTS_PER_CHECK]


def _is_confirmed(roster: Roster, daemon: DaemonId, now_s: float) -> bool:
    replied_at_s = roster.contacts.last_reply_at_s(daemon)
    return replied_at_s is not None and now_s - replied_at_s < CONTACT_MAX_AGE_S
