"""Rendezvous hashing: which members come first for a name.

Every daemon with the same roster computes the same order without asking anybody, and
a member that comes or goes moves only what it holds itself.
"""

import hashlib
from collections.abc import Iterable

from lavendertide.configuration.catalog import TargetPlace
from lavendertide.ids import DaemonId
from lavendertide.messages import MemberRecord

SCORE_BYTES = 8


def score(name: str, daemon: DaemonId) -> int:
    """Returns the weight of a member for a name."""
    digest = hashlib.blake2b(f"{name}\n{daemon}".encode(), digest_size=SCORE_BYTES)
    return int.from_bytes(digest.digest(), "big")


def rank_for_target(
    place: TargetPlace, members: Iterable[MemberRecord]
) -> list[MemberRecord]:
    """Returns who may hold a target's slots, the primary first.

    Members of the target's own failure domain come before the others of its region;
    members of other regions never hold it.
    """
    candidates = [member for member in members if member.region == place.region]
    return sorted(
        candidates,
        key=lambda member: (
            member.failure_domain != place.failure_domain,
            -score(place.target, member.daemon),
        ),
    )
