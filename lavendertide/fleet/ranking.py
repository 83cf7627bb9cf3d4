"""Rendezvous hashing: which members come first for a name.

Every daemon with the same roster computes the same order without asking anybody, and
a member that comes or goes moves only what it holds itself.
"""

import hashlib
from collections.abc import Iterable
from functools import lru_cache
from typing import Final

from lavendertide.configuration.catalog import TargetPlace
from lavendertide.ids import DaemonId
from lavendertide.messages import MemberRecord, MemberState

DIGEST_BYTES: Final = 8
DIGESTS_KEPT: Final = 8_192
_MASK: Final = 2**64 - 1
_MULTIPLIER: Final = 0x9E3779B97F4A7C15
_RANKED_BEHIND: Final = frozenset({MemberState.JOINING, MemberState.LEAVING})


def score(name: str, daemon: DaemonId) -> int:
    """Returns the weight of a member for a name.

    Only the digests of the two names are kept, not those of their pairs; mixing them
    is cheap enough to rank all targets again when a member changes.
    """
    mixed = ((_digest(name) ^ _digest(daemon)) * _MULTIPLIER) & _MASK
    mixed ^= mixed >> 32
    return (mixed * _MULTIPLIER) & _MASK


@lru_cache(maxsize=DIGESTS_KEPT)
def _digest(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big")


def rank_for_target(
    place: TargetPlace, members: Iterable[MemberRecord]
) -> list[MemberRecord]:
    """Returns who may hold a target's slots, the primary first.

    Members of the target's own failure domain come before the others of its region;
    members of other regions never hold it. Those that join or leave come last.
    """
    candidates = [member for member in members if member.region == place.region]
    return sorted(
        candidates,
        key=lambda member: (
            member.state in _RANKED_BEHIND,
            member.failure_domain != place.failure_domain,
            -score(place.target, member.daemon),
        ),
    )
